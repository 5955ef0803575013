package sidecar

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// fakeEngine returns many tokens for every run without delay.
type fakeEngine struct{ engine.Engine }

const fakeTokens = 600

func (fakeEngine) Prefill(context.Context, engine.PrefillRequest) (engine.KV, error) {
	return engine.KV{Handle: "h", TTL: time.Minute}, nil
}
func (fakeEngine) Decode(_ context.Context, r engine.DecodeRequest) (engine.Stream, error) {
	return &fakeStream{next: r.Position}, nil
}
func (fakeEngine) Resume(context.Context, string, int) (engine.Stream, error) {
	return nil, engine.ErrNotFound
}
func (fakeEngine) Cancel(context.Context, string) error         { return nil }
func (fakeEngine) ReleaseKV(context.Context, string) error      { return nil }
func (fakeEngine) Runs(context.Context) ([]engine.Run, error)   { return nil, nil }
func (fakeEngine) Exports(context.Context) ([]engine.KV, error) { return nil, nil }
func (fakeEngine) Order(context.Context, engine.Order) error    { return nil }

type fakeStream struct{ next int }

func (s *fakeStream) Next() (engine.StreamEvent, error) {
	if s.next >= fakeTokens {
		return engine.StreamEvent{Position: s.next, Done: true, Total: s.next}, nil
	}
	s.next++
	return engine.StreamEvent{Position: s.next - 1, Token: "a"}, nil
}
func (*fakeStream) Close() error { return nil }

func frames(t testing.TB, list ...*wire.EntryFrame) []byte {
	var b bytes.Buffer
	for _, f := range list {
		_, err := protodelim.MarshalTo(&b, f)
		assert.NilError(t, err)
	}
	return b.Bytes()
}

// FuzzFrames checks that no sequence of frames makes a sidecar panic or hang, whether
// it serves an engine or a plain service.
func FuzzFrames(f *testing.F) {
	ref := &wire.Ref{RequestId: "r", Attempt: 1}
	other := &wire.Ref{RequestId: "q", Attempt: 1}
	reserve := &wire.EntryFrame{Body: &wire.EntryFrame_Reserve{Reserve: &wire.Reserve{Ref: ref, Model: "m", MaxTokens: 9, PrefillMs: 5}}}
	start := &wire.EntryFrame{Body: &wire.EntryFrame_Start{Start: &wire.Start{Ref: ref, Model: "m", Prompt: "p"}}}
	ack := func(n uint32) *wire.EntryFrame {
		return &wire.EntryFrame{Body: &wire.EntryFrame_Ack{Ack: &wire.Ack{Ref: ref, Position: n}}}
	}
	attach := func(n uint32) *wire.EntryFrame {
		return &wire.EntryFrame{Body: &wire.EntryFrame_Attach{Attach: &wire.Attach{Ref: ref, Position: n}}}
	}
	cancel := &wire.EntryFrame{Body: &wire.EntryFrame_Cancel{Cancel: &wire.Cancel{Ref: ref}}}
	fence := &wire.EntryFrame{Body: &wire.EntryFrame_Fence{Fence: &wire.Fence{Ref: ref}}}
	f.Add(frames(f, reserve, start, ack(100), ack(256), attach(200), ack(600), cancel))
	f.Add(frames(f, reserve, start, ack(600), attach(600), attach(0), ack(601)))
	f.Add(frames(f, reserve, fence, start, attach(0), cancel))
	f.Add(frames(f, start, attach(3), reserve, reserve, start, start))
	f.Add(frames(f, &wire.EntryFrame{Body: &wire.EntryFrame_Prefill{Prefill: &wire.Prefill{Ref: other, Model: "m", MaxWaitMs: 1}}},
		&wire.EntryFrame{Body: &wire.EntryFrame_Start{Start: &wire.Start{Ref: other}}},
		&wire.EntryFrame{Body: &wire.EntryFrame_Attach{Attach: &wire.Attach{Ref: other}}}))
	f.Add(frames(f, &wire.EntryFrame{Body: &wire.EntryFrame_Call{Call: &wire.Call{Ref: other, Method: "G T", Path: "x"}}}))
	f.Add(frames(f, &wire.EntryFrame{Body: &wire.EntryFrame_Claim{Claim: &wire.Claim{Ref: ref, Key: "k", Incarnation: "i"}}},
		&wire.EntryFrame{Body: &wire.EntryFrame_Claim{Claim: &wire.Claim{Ref: other, Key: "k", Incarnation: "i", Release: true}}},
		&wire.EntryFrame{Body: &wire.EntryFrame_Beat{Beat: &wire.EntryBeat{IntervalMs: 1 << 31, ListedLeaving: true}}}))
	f.Add(frames(f, &wire.EntryFrame{Body: &wire.EntryFrame_Records{Records: &wire.Records{Head: 7, Records: []*wire.Record{
		{Key: "backends/sc", Revision: 5, Value: []byte("retired: true")}, {Key: "contracts/x", Revision: 9, Value: []byte("a: [")}, nil,
	}}}}))
	f.Add(frames(f, &wire.EntryFrame{}, &wire.EntryFrame{Body: &wire.EntryFrame_Reserve{}}, &wire.EntryFrame{Body: &wire.EntryFrame_Hello{}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) { handleFrames(t, fakeEngine{}, data) })
		synctest.Test(t, func(t *testing.T) { handleFrames(t, nil, data) })
	})
}

// handleFrames passes the frames in data to a new server.
func handleFrames(t *testing.T, eng engine.Engine, data []byte) {
	set := DefaultSettings()
	set.ID = "sc"
	set.Service = "http://127.0.0.1:1" // nothing listens there
	quiet := event.New("sidecar", "t", log.PanicLevel)
	s := NewServer(set, eng, engine.Info{DecodeSlots: 2, Models: []string{"m"}}, "i", quiet, metrics.NewSet())
	defer s.Close()
	sess := &session{entry: &wire.Hello{Incarnation: "e"}}
	sess.link = link.New[wire.SidecarFrame, wire.EntryFrame](nil, link.Options[wire.SidecarFrame]{
		HeartbeatInterval: set.Timing.Heartbeat, IdleHeartbeatInterval: set.Timing.IdleHeartbeat, SilenceLimit: set.Timing.Silence,
		QueueLimit: 1 << 20, MakeHeartbeat: s.heartbeat, Active: sess.active.Load,
	})
	s.addSession(sess)
	in := bytes.NewReader(data)
	for {
		fr := &wire.EntryFrame{}
		err := protodelim.UnmarshalFrom(in, fr)
		if err != nil {
			break
		}
		s.handle(sess, fr)
		synctest.Wait() // until all workers are blocked or done
	}
	s.removeSession(sess)
	s.Leaving()
}
