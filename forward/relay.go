package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

const (
	// eventBuffer holds a few events of the usual 100 bytes.
	eventBuffer = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

// errSilent ends an attempt whose engine sends no more events.
var errSilent = errors.New("engine went silent")

// relay hands the events of an engine to the client as they arrive. Only whole events
// are handed on, so that a stream that breaks can go on elsewhere.
func (a *streamAttempt) relay(ctx context.Context, head AnswerHead, res *upstream.Response) outcome.Outcome {
	f, j, s := a.r.f, a.r.j, a.lease.server
	err := a.r.copyEvents(head, res)
	f.observe(j, s, err == nil)
	if err == nil {
		f.answered(j)
		f.observeHold(j, a.lease)
		f.service(j.service).engines.finished(a.lease.run)
		return outcome.Outcome{Kind: outcome.Completed}
	}
	reason := f.explain(ctx, err)
	if errors.Is(err, errClient) {
		reason = outcome.CallerGone
	}
	f.attemptLost(j, s, reason, err)
	return j.unanswered(reason)
}

// errClient means that the client takes no more events.
var errClient = errors.New("client left")

func (r *stream) copyEvents(head AnswerHead, res *upstream.Response) error {
	stop := r.watchSilence(res)
	defer stop.end()
	br := bufio.NewReaderSize(res.Body, eventBuffer)
	for {
		event, err := readEvent(br)
		if err != nil && err != io.EOF {
			if stop.silent() {
				return errSilent
			}
			return err
		}
		stop.reset()
		r.j.heard = time.Now()
		if len(event) > 0 {
			if werr := r.deliver(head, event, !wholeEventBuffered(br)); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// deliver hands one event to the client. The head of the first engine goes before the
// first event.
func (r *stream) deliver(head AnswerHead, event []byte, flush bool) error {
	j := r.j
	if !j.started {
		r.f.head(j, head, unknownLength)
		j.first = time.Since(j.arrived)
		r.f.Metrics.Timer(metrics.FirstEventTime).Update(j.first)
	}
	if id, ok := eventID(event); ok {
		r.lastEvent = id
		r.progress(time.Now())
	}
	if _, err := j.w.Write(event); err != nil {
		return errClient
	}
	if flush {
		j.w.(http.Flusher).Flush()
	}
	return nil
}

// progress notes one more event of the stream.
func (r *stream) progress(now time.Time) {
	j := r.j
	j.generated += max(j.table.Services[j.service].Engine.EventTokens, 1)
	r.run.Generated(j.generated)
	if !r.eventAt.IsZero() {
		j.pause = max(j.pause, now.Sub(r.eventAt))
	}
	r.eventAt = now
}

// readEvent reads up to the empty line that ends an event. At the end of the stream it
// returns what is left with io.EOF.
func readEvent(br *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := br.ReadBytes('\n')
		event = append(event, line...)
		if err != nil {
			return event, err
		}
		if len(event) > maxEvent {
			return nil, errTooLarge
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

// wholeEventBuffered reports whether the next event can be read without waiting.
func wholeEventBuffered(br *bufio.Reader) bool {
	next, err := br.Peek(br.Buffered())
	return err == nil && (bytes.Contains(next, []byte("\n\n")) || bytes.Contains(next, []byte("\n\r\n")))
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte{'\n'}) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

// silenceLimit is the pause after which a stream that can be resumed is given to
// another engine. Clients leave after a pause of 3.6 s; usual pauses are far below 0.3 s.
const silenceLimit = 1500 * time.Millisecond

// silence closes an answer whose engine sends nothing for silenceLimit, where the stream
// can go on elsewhere.
type silence struct {
	timer *time.Timer
	fired *atomic.Bool
}

func (r *stream) watchSilence(res *upstream.Response) silence {
	if !r.j.route.Resumable || r.j.sends >= r.j.route.Attempts {
		return silence{}
	}
	fired := new(atomic.Bool)
	t := time.AfterFunc(silenceLimit, func() {
		fired.Store(true)
		_ = res.Body.Close()
	})
	return silence{timer: t, fired: fired}
}

func (s silence) reset() {
	if s.timer != nil {
		s.timer.Reset(silenceLimit)
	}
}

func (s silence) end() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (s silence) silent() bool {
	return s.fired != nil && s.fired.Load()
}
