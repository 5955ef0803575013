package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// TestNewEntryReceivesRecordsOnRequest checks that a newly connected entry receives
// the configuration only after it has sent a heartbeat with its own revision, so that
// an entry with many links does not receive it on each.
func TestNewEntryReceivesRecordsOnRequest(t *testing.T) {
	stream, s, _ := dialConfigured(t, dissemination.Delta{
		Head:    7,
		Records: []dissemination.Record{{Key: dissemination.ContractPrefix + "c", Revision: 7}},
	})
	send := func(f *wire.EntryFrame) { assert.NilError(t, stream.Send(f)) }
	send(&wire.EntryFrame{Body: &wire.EntryFrame_Hello{Hello: &wire.Hello{Protocol: wire.Protocol, Incarnation: "x"}}})
	send(&wire.EntryFrame{Body: &wire.EntryFrame_Fence{Fence: &wire.Fence{Ref: wire.Key{RequestID: "r", Attempt: 1}.Ref()}}})
	next := func() *wire.SidecarFrame {
		f, err := stream.Recv()
		assert.NilError(t, err)
		return f
	}
	assert.Equal(t, next().GetWelcome().GetHeadRevision(), s.Head())
	f := next()
	assert.Assert(t, f.GetFenced() != nil, "%v", f)
	send(&wire.EntryFrame{Body: &wire.EntryFrame_Beat{Beat: &wire.EntryBeat{}}})
	for f = next(); f.GetRecords() == nil; f = next() {
		assert.Assert(t, f.GetBeat() != nil, "%v", f)
	}
	assert.Equal(t, f.GetRecords().GetHead(), uint64(7))
}

// TestUnconfiguredSidecarRequestsRecordsFromFirstEntry checks that a sidecar without
// any configuration requests it as soon as an entry connects.
func TestUnconfiguredSidecarRequestsRecordsFromFirstEntry(t *testing.T) {
	stream, _, _ := dialConfigured(t, dissemination.Delta{})
	hello := &wire.Hello{Protocol: wire.Protocol, Incarnation: "x", HeadRevision: 7}
	assert.NilError(t, stream.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Hello{Hello: hello}}))
	for _, want := range []func(*wire.SidecarFrame) bool{
		func(f *wire.SidecarFrame) bool { return f.GetWelcome() != nil },
		func(f *wire.SidecarFrame) bool { return f.GetBeat() != nil && f.GetBeat().GetHeadRevision() == 0 },
	} {
		f, err := stream.Recv()
		assert.NilError(t, err)
		assert.Assert(t, want(f), "%v", f)
	}
}
