package sidecar

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// scriptedEngine returns its streams one after the other, the first from Decode.
type scriptedEngine struct {
	engine.Engine
	streams []*scriptedStream
	resumes int
}

func (e *scriptedEngine) next() (engine.Stream, error) {
	if len(e.streams) == 0 {
		return nil, engine.ErrNotFound
	}
	s := e.streams[0]
	e.streams = e.streams[1:]
	s.closed = make(chan struct{})
	return s, s.open
}

func (e *scriptedEngine) Decode(context.Context, engine.DecodeRequest) (engine.Stream, error) {
	return e.next()
}

func (e *scriptedEngine) Resume(context.Context, string, int) (engine.Stream, error) {
	e.resumes++
	return e.next()
}

// scriptedStream yields events, then err; without err it blocks until closed.
type scriptedStream struct {
	open   error
	events []engine.StreamEvent
	err    error
	once   sync.Once
	closed chan struct{}
}

func (s *scriptedStream) Next() (engine.StreamEvent, error) {
	if len(s.events) > 0 {
		ev := s.events[0]
		s.events = s.events[1:]
		return ev, nil
	}
	if s.err == nil {
		<-s.closed
		return engine.StreamEvent{}, io.ErrUnexpectedEOF
	}
	return engine.StreamEvent{}, s.err
}

func (s *scriptedStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

func tokenEvents(from, to int) []engine.StreamEvent {
	var out []engine.StreamEvent
	for i := from; i < to; i++ {
		out = append(out, engine.StreamEvent{Position: i, Token: string(rune('a' + i))})
	}
	return out
}

func completeAnswer(from, to int) []engine.StreamEvent {
	return append(tokenEvents(from, to), engine.StreamEvent{Done: true, Total: to, FinishReason: "stop"})
}

func TestDecodeUnderStreamFaults(t *testing.T) {
	cut := io.ErrUnexpectedEOF
	for _, c := range []struct {
		name    string
		streams []*scriptedStream
		text    string
		end     string // reason, or "" for a complete answer
		kind    wire.Kind
		resumes int
	}{
		{"unbroken", []*scriptedStream{{events: completeAnswer(0, 4)}}, "abcd", "", 0, 0},
		{"cut and resumed", []*scriptedStream{{events: tokenEvents(0, 2), err: cut}, {events: completeAnswer(2, 4)}}, "abcd", "", 0, 1},
		{"repeated tokens", []*scriptedStream{{events: tokenEvents(0, 3), err: cut}, {events: completeAnswer(1, 4)}}, "abcd", "", 0, 1},
		{"stalled and resumed", []*scriptedStream{{events: tokenEvents(0, 2)}, {events: completeAnswer(2, 4)}}, "abcd", "", 0, 1},
		{"missing token", []*scriptedStream{{events: append(tokenEvents(0, 1), tokenEvents(2, 4)...)}, {events: completeAnswer(1, 4)}}, "abcd", "", 0, 1},
		{"end before the last token", []*scriptedStream{{events: append(tokenEvents(0, 2), engine.StreamEvent{Done: true, Total: 4})}, {events: completeAnswer(2, 4)}}, "abcd", "", 0, 1},
		{"every resumed stream cut", []*scriptedStream{{events: tokenEvents(0, 2), err: cut}, {err: cut}, {err: cut}, {err: cut}}, "ab", string(outcome.EngineLost), wire.Kind_KIND_FAILED, 3},
		{"not found after the cut", []*scriptedStream{{events: tokenEvents(0, 2), err: cut}}, "ab", string(outcome.EngineLost), wire.Kind_KIND_FAILED, 1},
		{"start unanswered, run found", []*scriptedStream{{open: engine.ErrIndeterminate}, {events: completeAnswer(0, 4)}}, "abcd", "", 0, 1},
		{"start unanswered, run not found", []*scriptedStream{{open: engine.ErrIndeterminate}}, "", string(outcome.EngineLost), wire.Kind_KIND_UNKNOWN, 1},
		{"start refused", []*scriptedStream{{open: engine.ErrFull}}, "", string(outcome.NoDecodeSlot), wire.Kind_KIND_NOT_RUN, 0},
		{"KV lost in the transfer", []*scriptedStream{{err: engine.ErrNotFound}}, "", string(outcome.KVLost), wire.Kind_KIND_NOT_RUN, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				eng := &scriptedEngine{streams: c.streams}
				s := NewServer(DefaultSettings(), eng, engine.Info{}, "i", event.New("test", "t", log.PanicLevel), metrics.NewSet())
				r := &run{key: wire.Key{RequestID: "r", Attempt: 1}, phase: phaseRunning}
				s.runs[r.key] = r
				s.begin(r, func(w *worker) { w.decode(&wire.Start{Ref: r.key.Ref()}) })
				s.work.Wait()
				text := ""
				for _, tok := range r.out.tokens {
					text += tok
				}
				assert.Equal(t, text, c.text)
				assert.Equal(t, eng.resumes, c.resumes)
				assert.Equal(t, r.out.final.GetRefused().GetReason(), c.end)
				assert.Equal(t, r.out.final.GetRefused().GetKind(), c.kind)
				assert.Equal(t, r.out.final.GetDone() != nil, c.end == "")
			})
		})
	}
}
