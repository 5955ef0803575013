package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/wire"
)

// answerFormat is the form of the answer that a caller requested.
type answerFormat struct {
	id      string
	model   string
	chat    bool
	usage   bool
	created time.Time
}

func (s answerFormat) object(stream bool) string {
	switch {
	case s.chat && stream:
		return "chat.completion.chunk"
	case s.chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func (s answerFormat) completion(stream bool, choices []choice) completion {
	prefix := "cmpl-"
	if s.chat {
		prefix = "chatcmpl-"
	}
	return completion{ID: prefix + s.id, Object: s.object(stream), Created: s.created.Unix(), Model: s.model, Choices: choices}
}

func usageOf(d *wire.Done) *usage {
	p, c := int(d.GetPromptTokens()), int(d.GetTotal())
	return &usage{PromptTokens: p, CompletionTokens: c, TotalTokens: p + c}
}

// bufferedSink buffers the answer until it is complete.
type bufferedSink struct {
	answerFormat
	w    http.ResponseWriter
	text strings.Builder
}

func (s *bufferedSink) tokens(t []string) error {
	for _, tok := range t {
		s.text.WriteString(tok)
	}
	return nil
}

func (s *bufferedSink) done(d *wire.Done) error {
	text, reason := s.text.String(), d.GetFinishReason()
	ch := choice{FinishReason: &reason}
	if s.chat {
		ch.Message = &replyMessage{Role: "assistant", Content: &text}
	} else {
		ch.Text = &text
	}
	c := s.completion(false, []choice{ch})
	c.Usage = usageOf(d)
	return writeJSON(s.w, http.StatusOK, c)
}

// streamSink writes tokens as server-sent events as they arrive.
type streamSink struct {
	answerFormat
	w        http.ResponseWriter
	flush    func()
	started  bool
	writeErr error
}

func newStreamSink(format answerFormat, w http.ResponseWriter) *streamSink {
	s := &streamSink{answerFormat: format, w: w, flush: func() {}}
	if f, ok := w.(http.Flusher); ok {
		s.flush = f.Flush
	}
	return s
}

func (s *streamSink) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) tokens(t []string) error {
	text := strings.Join(t, "")
	ch := choice{}
	if s.chat {
		ch.Delta = &replyMessage{Content: &text}
		if !s.started {
			ch.Delta.Role = "assistant"
		}
	} else {
		ch.Text = &text
	}
	return s.writeEvent(s.completion(true, []choice{ch}))
}

func (s *streamSink) done(d *wire.Done) error {
	reason := d.GetFinishReason()
	empty := ""
	ch := choice{FinishReason: &reason}
	if s.chat {
		ch.Delta = &replyMessage{}
	} else {
		ch.Text = &empty
	}
	if err := s.writeEvent(s.completion(true, []choice{ch})); err != nil {
		return err
	}
	if s.usage {
		c := s.completion(true, []choice{})
		c.Usage = usageOf(d)
		if err := s.writeEvent(c); err != nil {
			return err
		}
	}
	return s.writeData("[DONE]")
}

func (s *streamSink) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeData(string(data))
}

func (s *streamSink) writeData(data string) error {
	s.writeHeader()
	if s.writeErr != nil {
		return s.writeErr
	}
	_, s.writeErr = s.w.Write([]byte("data: " + data + "\n\n"))
	s.flush()
	return s.writeErr
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	data = append(data, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, err = w.Write(data)
	return err
}
