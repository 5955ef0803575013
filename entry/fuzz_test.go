package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// recorder is a sink that records what a caller would receive.
type recorder struct {
	got       []string
	completed bool
	total     int
}

func (r *recorder) tokens(t []string) error {
	r.got = append(r.got, t...)
	return nil
}

func (r *recorder) done(d *wire.Done) error {
	r.completed, r.total = true, int(d.GetTotal())
	return nil
}

// FuzzFrames checks that no sequence of frames crashes an entry, and that an answer counts as completed only
// when the caller has as many tokens as its done frame says.
func FuzzFrames(f *testing.F) {
	ref := &wire.Ref{RequestId: "r", Attempt: 1}
	chunk := func(pos uint32, t ...string) *wire.SidecarFrame {
		return &wire.SidecarFrame{Body: &wire.SidecarFrame_Chunk{Chunk: &wire.Chunk{Ref: ref, Position: pos, Tokens: t}}}
	}
	done := func(total uint32) *wire.SidecarFrame {
		return &wire.SidecarFrame{Body: &wire.SidecarFrame_Done{Done: &wire.Done{Ref: ref, Total: total}}}
	}
	refused := &wire.SidecarFrame{Body: &wire.SidecarFrame_Refused{Refused: &wire.Refused{Ref: ref, Kind: 9, Reason: "new"}}}
	w := welcome(wire.Protocol)
	for _, seed := range [][]*wire.SidecarFrame{
		{w, chunk(0, "a", "b"), chunk(1, "b", "c"), chunk(0, "a"), done(3)},
		{w, chunk(2, "c"), chunk(0, "a", "b"), done(9), done(2)},
		{w, chunk(0, "a", "b"), done(1)},
		{w, w, refused, done(0)},
		{w, chunk(1<<31, "x"), chunk(0), {Body: &wire.SidecarFrame_Records{Records: &wire.Records{Head: 3, Records: []*wire.Record{nil, {Key: "backends/x", Value: []byte("[")}}}}}},
		{{Body: &wire.SidecarFrame_Beat{Beat: &wire.SidecarBeat{IntervalMs: 1 << 31, HeadRevision: 1 << 63, Leaving: true}}, Load: &wire.Load{Places: 1 << 31, PrefillBacklogMs: 1 << 31}}},
		{{}, {Body: &wire.SidecarFrame_Welcome{}}, {Body: &wire.SidecarFrame_Chunk{}}, {Body: &wire.SidecarFrame_Reply{}}},
	} {
		var b bytes.Buffer
		for _, fr := range seed {
			_, err := protodelim.MarshalTo(&b, fr)
			assert.NilError(f, err)
		}
		f.Add(b.Bytes())
	}
	f.Fuzz(receiveAll)
}

// receiveAll passes the frames in data to an attempt that has started.
func receiveAll(t *testing.T, data []byte) {
	s := New(DefaultSettings(), event.New("entry", "t", log.PanicLevel), metrics.NewSet())
	s.index = dissemination.NewIndex(s.state, func(string, uint64, error) {})
	var err error
	s.placer, err = newPlacer(s.settings.Policy)
	assert.NilError(t, err)
	s.pool = newPool(s.settings, s.log, nil, "i", s.state, s.index)
	defer s.pool.close()
	p := newPeer(s.pool, contract.Backend{ID: "b"})
	l := link.New[wire.EntryFrame, wire.SidecarFrame](nil, link.Options[wire.EntryFrame]{
		HeartbeatInterval: time.Second, IdleHeartbeatInterval: time.Second, SilenceLimit: time.Second, QueueLimit: 1 << 20, MakeHeartbeat: p.makeHeartbeat,
		Active: func() bool { return true },
	})
	sink := &recorder{}
	r := &request{id: "r", class: &contract.Class{}, out: sink, start: time.Now()}
	a := &attempt{s: s, r: r, key: wire.Key{RequestID: "r", Attempt: 1}, servers: servers{decode: p}, started: true}
	a.decode = p.openFlow(a.key)
	in := bytes.NewReader(data)
	for {
		fr := &wire.SidecarFrame{}
		if protodelim.UnmarshalFrom(in, fr) != nil {
			return
		}
		p.handle(l, fr)
		it, ok := a.decode.pop()
		if !ok {
			continue
		}
		if out, ended := a.handle(it.frame); ended {
			assert.Equal(t, out.Kind == outcome.Completed, sink.completed)
			assert.Assert(t, !sink.completed || sink.total == len(sink.got))
			assert.Equal(t, strings.Join(sink.got, ""), string(r.text))
			return
		}
	}
}
