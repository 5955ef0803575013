package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// TestReservationsAreQueued sends frames to a sidecar with one decode slot. Each step
// acts on one attempt and lists the phases of all attempts afterwards.
func TestReservationsAreQueued(t *testing.T) {
	type step struct {
		do   string
		n    uint32
		want []phase
	}
	const none, running = phase(0), phaseRunning
	for _, c := range []struct {
		name   string
		policy Policy
		steps  []step
	}{
		{"reserved", Policy{AdmissionFair, true}, []step{
			{"reserve", 1, []phase{phaseReserved, none, none}},
			{"reserve", 2, []phase{phaseReserved, phaseWaiting, none}},
			{"start", 1, []phase{running, phaseWaiting, none}},
			{"hasty", 3, []phase{running, phaseWaiting, none}},
			{"end", 1, []phase{phaseEnded, phaseReserved, none}},
			{"reserve", 3, []phase{phaseEnded, phaseReserved, phaseWaiting}},
			{"cancel", 2, []phase{phaseEnded, phaseEnded, phaseReserved}},
			{"wait", 0, []phase{phaseEnded, phaseEnded, phaseEnded}},
		}},
		{"leaving", Policy{AdmissionFIFO, true}, []step{
			{"reserve", 1, []phase{phaseReserved, none, none}},
			{"reserve", 2, []phase{phaseReserved, phaseWaiting, none}},
			{"leave", 0, []phase{phaseReserved, phaseEnded, none}},
			{"start", 1, []phase{running, phaseEnded, none}},
		}},
		{"not reserved", Policy{AdmissionFair, false}, []step{
			{"reserve", 1, []phase{phaseReserved, none, none}},
			{"reserve", 2, []phase{phaseReserved, phaseReserved, none}},
			{"start", 2, []phase{phaseReserved, running, none}},
			{"start", 1, []phase{phaseWaiting, running, none}},
			{"cancel", 2, []phase{running, phaseEnded, none}},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, sess := newOneSlotServer(c.policy)
				defer s.Close()
				for i, step := range c.steps {
					applyStep(s, sess, step.do, step.n)
					synctest.Wait()
					for n, want := range step.want {
						assert.Equal(t, phaseOf(s, uint32(n+1)), want, "attempt %d after step %d", n+1, i)
					}
				}
			})
		})
	}
}

func newOneSlotServer(p Policy) (*Server, *session) {
	set := DefaultSettings()
	set.Policy = p
	info := engine.Info{Models: []string{"m"}, DecodeSlots: 1, StepBase: 10 * time.Millisecond}
	var streams []*scriptedStream
	for range 3 {
		streams = append(streams, &scriptedStream{})
	}
	s := NewServer(set, &scriptedEngine{streams: streams}, info, "i", event.New("test", "t", log.PanicLevel), metrics.NewSet())
	s.work.Go(s.admitLoop)
	opts := link.Options[wire.SidecarFrame]{QueueLimit: 64}
	return s, &session{entry: &wire.Hello{}, link: link.New[wire.SidecarFrame, wire.EntryFrame](nil, opts)}
}

func applyStep(s *Server, sess *session, do string, n uint32) {
	ref := &wire.Ref{RequestId: "r", Attempt: n}
	terms := &wire.Terms{Customer: "a", TtftMs: 5000, ShareMilli: 1000}
	reserve := &wire.Reserve{Ref: ref, Terms: terms, Model: "m", MaxTokens: 100}
	switch do {
	case "hasty":
		terms.TtftMs = 100
		s.handle(sess, &wire.EntryFrame{Body: &wire.EntryFrame_Reserve{Reserve: reserve}})
	case "reserve":
		s.handle(sess, &wire.EntryFrame{Body: &wire.EntryFrame_Reserve{Reserve: reserve}})
	case "start":
		s.handle(sess, &wire.EntryFrame{Body: &wire.EntryFrame_Start{Start: &wire.Start{Ref: ref, Terms: terms, Model: "m", MaxTokens: 100}}})
	case "cancel":
		s.handle(sess, &wire.EntryFrame{Body: &wire.EntryFrame_Cancel{Cancel: &wire.Cancel{Ref: ref}}})
	case "end":
		s.mu.Lock()
		r := s.runs[ref.Key()]
		s.finish(r, refusal(r.key, wire.Stage_STAGE_DECODE, outcome.Fail(outcome.EngineLost, ""), 0))
		s.mu.Unlock()
	case "leave":
		s.Leave()
	case "wait":
		time.Sleep(6 * time.Second)
	}
}

func phaseOf(s *Server, n uint32) phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[wire.Key{RequestID: "r", Attempt: n}]; r != nil {
		return r.phase
	}
	return 0
}
