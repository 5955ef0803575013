package sidecar

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// memoryStream is the sidecar's end of an in-memory session; it records sent frames.
type memoryStream struct {
	drpc.Stream
	mu     sync.Mutex
	sent   []*wire.SidecarFrame
	closed chan struct{}
}

func (s *memoryStream) Recv() (*wire.EntryFrame, error) {
	<-s.closed
	return nil, io.EOF
}

func (s *memoryStream) Send(f *wire.SidecarFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, f)
	return nil
}

func (s *memoryStream) Close() error {
	close(s.closed)
	return nil
}

// countingEngine counts Decode calls and blocks each until its context ends.
type countingEngine struct {
	engine.Engine
	decodes int
}

func (e *countingEngine) Decode(ctx context.Context, _ engine.DecodeRequest) (engine.Stream, error) {
	e.decodes++
	<-ctx.Done()
	return nil, ctx.Err()
}

// testServer is a server with in-memory sessions.
type testServer struct {
	*Server
	eng *countingEngine
}

func newTestServer() *testServer {
	eng := &countingEngine{}
	info := engine.Info{DecodeSlots: 2, Models: []string{"m"}}
	return &testServer{NewServer(DefaultSettings(), eng, info, "i", event.New("test", "t", log.PanicLevel), metrics.NewSet()), eng}
}

func (s *testServer) session(entry string) (*session, *memoryStream) {
	st := &memoryStream{closed: make(chan struct{})}
	sess := &session{entry: &wire.Hello{EntryId: entry, Incarnation: entry}}
	sess.link = link.New(st, link.Options[wire.SidecarFrame]{
		HeartbeatInterval: time.Hour, IdleHeartbeatInterval: time.Hour, SilenceLimit: time.Hour, QueueLimit: 64, Transport: st,
		Active: func() bool { return false }, MakeHeartbeat: s.heartbeat,
	})
	go func() { _ = sess.link.Run(s.ctx, func(*wire.EntryFrame) {}) }()
	s.addSession(sess)
	return sess, st
}

var key = wire.Key{RequestID: "r", Attempt: 1}

func reserve() *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Reserve{Reserve: &wire.Reserve{Ref: key.Ref(), Model: "m", Terms: &wire.Terms{TtftMs: 10000, TbtMs: 1000}}}}
}
func startFrame() *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Start{Start: &wire.Start{Ref: key.Ref(), Model: "m"}}}
}
func fence() *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Fence{Fence: &wire.Fence{Ref: key.Ref()}}}
}
func attach() *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Attach{Attach: &wire.Attach{Ref: key.Ref()}}}
}
func cancel() *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Cancel{Cancel: &wire.Cancel{Ref: key.Ref()}}}
}

// elapse is a placeholder for time that passes without a frame.
func elapse(d time.Duration) *wire.EntryFrame {
	return &wire.EntryFrame{Body: &wire.EntryFrame_Beat{Beat: &wire.EntryBeat{IntervalMs: uint32(d.Milliseconds())}}}
}

// TestLedgerOrder checks that the ledger reports an attempt as not run only if it has
// not run and never will, whatever the order and timing of its frames.
func TestLedgerOrder(t *testing.T) {
	const (
		untilLapsed  = 5 * time.Second
		untilDeleted = 3 * time.Minute
	)
	for _, c := range []struct {
		name   string
		frames []*wire.EntryFrame
		// want is the last answer, runs the number of decodes started.
		want string
		runs int
	}{
		{"granted", []*wire.EntryFrame{reserve()}, "granted", 0},
		{"started", []*wire.EntryFrame{reserve(), startFrame()}, "granted", 1},
		{"start twice", []*wire.EntryFrame{reserve(), startFrame(), startFrame()}, "granted", 1},
		{"start without a reservation", []*wire.EntryFrame{startFrame()}, "NOT_RUN reservation_lapsed", 0},
		{"reserve twice", []*wire.EntryFrame{reserve(), reserve()}, "UNKNOWN duplicate", 0},
		{"start after the fence", []*wire.EntryFrame{reserve(), fence(), startFrame()}, "NOT_RUN fenced", 0},
		{"reserve after the fence", []*wire.EntryFrame{fence(), reserve()}, "NOT_RUN fenced", 0},
		{"fence before the start", []*wire.EntryFrame{reserve(), fence()}, "fenced ran=false", 0},
		{"fence after the start", []*wire.EntryFrame{reserve(), startFrame(), fence()}, "fenced ran=true", 1},
		{"attach in place of a lost reserve", []*wire.EntryFrame{attach()}, "NOT_RUN link_down", 0},
		{"delayed reserve", []*wire.EntryFrame{attach(), reserve()}, "NOT_RUN fenced", 0},
		{"attach in place of a lost start", []*wire.EntryFrame{reserve(), attach()}, "NOT_RUN link_down", 0},
		{"delayed start", []*wire.EntryFrame{reserve(), attach(), startFrame()}, "NOT_RUN fenced", 0},
		{"start after the reservation lapsed", []*wire.EntryFrame{reserve(), elapse(time.Second), startFrame()}, "NOT_RUN reservation_lapsed", 0},
		{"attach after the lease lapsed", []*wire.EntryFrame{reserve(), startFrame(), elapse(untilLapsed), attach()}, "FAILED lease_lapsed", 1},
		{"attach after the lapsed attempt was deleted", []*wire.EntryFrame{reserve(), startFrame(), elapse(untilDeleted), attach()}, "UNKNOWN lease_lapsed", 1},
		{"attach after the cancel", []*wire.EntryFrame{reserve(), startFrame(), cancel(), attach()}, "FAILED caller_gone", 1},
		{"start after the cancel", []*wire.EntryFrame{reserve(), cancel(), startFrame()}, "NOT_RUN caller_gone", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestServer()
				defer b.Close()
				b.work.Go(b.leaseLoop)
				sess, st := b.session("e")
				for _, f := range c.frames {
					if p := f.GetBeat(); p != nil {
						time.Sleep(time.Duration(p.GetIntervalMs()) * time.Millisecond)
						continue
					}
					b.handle(sess, f)
					synctest.Wait()
				}
				assert.Equal(t, st.last(), c.want)
				assert.Equal(t, b.eng.decodes, c.runs)
			})
		})
	}
}

// last returns a description of the last answer about an attempt.
func (s *memoryStream) last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := ""
	for _, f := range s.sent {
		switch b := f.GetBody().(type) {
		case *wire.SidecarFrame_Granted:
			out = "granted"
		case *wire.SidecarFrame_Fenced:
			out = fmt.Sprintf("fenced ran=%v", b.Fenced.GetRan())
		case *wire.SidecarFrame_Refused:
			out = b.Refused.GetKind().String()[len("KIND_"):] + " " + b.Refused.GetReason()
		}
	}
	return out
}

// TestLeavingWhenListedByOneEntry checks that a server counts as leaving when one
// entry reports it as listed, even if others, which may be unable to read the
// platform's list, do not.
func TestLeavingWhenListedByOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestServer()
		defer b.Close()
		first, _ := b.session("e1")
		second, _ := b.session("e2")
		reportListed := func(sess *session, leaving bool) {
			b.handle(sess, &wire.EntryFrame{Body: &wire.EntryFrame_Beat{Beat: &wire.EntryBeat{ListedLeaving: leaving}}})
		}
		for i, step := range []struct {
			sess    *session
			listed  bool
			leaving bool
		}{{first, true, true}, {second, false, true}, {second, true, true}, {first, false, true}, {second, false, false}} {
			reportListed(step.sess, step.listed)
			assert.Equal(t, b.Leaving(), step.leaving, "step %d", i)
		}
		reportListed(first, true)
		time.Sleep(2 * listedTTL)
		reportListed(second, false)
		assert.Assert(t, !b.Leaving(), "the report of an entry that stopped sending has expired")
	})
}

// TestDrainWaitsUntilEntryHasOutcome checks that a run that has ended counts as active
// until its entry has closed the attempt or the entry's lease has lapsed.
func TestDrainWaitsUntilEntryHasOutcome(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(b *testServer, sess *session)
	}{
		{"entry closes the attempt", func(b *testServer, sess *session) { b.handle(sess, cancel()) }},
		{"entry is gone", func(b *testServer, _ *session) { time.Sleep(5 * time.Second); b.expire(time.Now()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestServer()
				defer b.Close()
				sess, _ := b.session("e")
				b.handle(sess, reserve())
				b.mu.Lock()
				b.finish(b.runs[key], &wire.SidecarFrame{Body: &wire.SidecarFrame_Done{Done: &wire.Done{Ref: key.Ref()}}})
				b.mu.Unlock()
				synctest.Wait()
				assert.Equal(t, b.Active(), 1)
				c.then(b, sess)
				assert.Equal(t, b.Active(), 0)
			})
		})
	}
}
