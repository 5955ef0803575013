package sidecar

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcerr"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// logLines is a log writer that passes each line to the test.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// dialServer starts a sidecar on loopback and opens one session with it.
func dialServer(t *testing.T) (wire.DRPCSidecar_SessionClient, logLines) {
	t.Helper()
	stream, _, logged := dialConfigured(t, dissemination.Delta{})
	return stream, logged
}

// dialConfigured is like dialServer, but first applies a configuration.
func dialConfigured(t *testing.T, d dissemination.Delta) (wire.DRPCSidecar_SessionClient, *Server, logLines) {
	t.Helper()
	logged := make(logLines, 64)
	set := DefaultSettings()
	set.Timing.Heartbeat = time.Hour // no unsolicited heartbeats
	s := NewServer(set, nil, engine.Info{}, "i", event.New("sidecar", "t", log.InfoLevel), metrics.NewSet())
	s.log.Writer = &log.IOWriter{Writer: logged}
	assert.NilError(t, s.Configure(d))
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- link.Serve(ctx, lis, s, link.Limits{}) }()
	conn, err := link.Dial(ctx, lis.Addr().String(), nil, s.set.Timing.EngineCall, new(link.Meter))
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		s.Close()
		cancel()
		<-served
	})
	stream, err := wire.NewDRPCSidecarClient(conn).Session(ctx)
	assert.NilError(t, err)
	return stream, s, logged
}

func TestUnknownProtocolIsRefused(t *testing.T) {
	for _, h := range []*wire.Hello{
		{Protocol: wire.Protocol + 1, Incarnation: "x", EntryId: "e-new"},
		{Protocol: wire.Protocol, EntryId: "e-nameless"},
	} {
		stream, logged := dialServer(t)
		assert.NilError(t, stream.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Hello{Hello: h}}))
		_, err := stream.Recv()
		assert.Equal(t, drpcerr.Code(err), wire.CodeProtocol, "%v", err)
		line := <-logged
		assert.Assert(t, strings.Contains(line, `"event":404`) && strings.Contains(line, h.EntryId), line)
	}
}

// TestUnknownFrameIsIgnored sends a frame of an unknown kind, then one that must be
// answered.
func TestUnknownFrameIsIgnored(t *testing.T) {
	stream, _ := dialServer(t)
	hello := &wire.Hello{Protocol: wire.Protocol, Incarnation: "x"}
	assert.NilError(t, stream.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Hello{Hello: hello}}))
	unknown := new(wire.EntryFrame)
	// Field 99, an empty message.
	unknown.ProtoReflect().SetUnknown([]byte{0x9a, 0x06, 0x00})
	assert.NilError(t, stream.Send(unknown))
	ref := wire.Key{RequestID: "r", Attempt: 1}.Ref()
	assert.NilError(t, stream.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Fence{Fence: &wire.Fence{Ref: ref}}}))
	for {
		f, err := stream.Recv()
		assert.Assert(t, err != io.EOF && err == nil, "%v", err)
		if f.GetFenced() != nil {
			return
		}
	}
}

// TestUnresponsivePeerIsDisconnected checks that a peer that opens a session and sends
// nothing is disconnected.
func TestUnresponsivePeerIsDisconnected(t *testing.T) {
	stream, _ := dialServer(t)
	_, err := stream.Recv()
	assert.Assert(t, err != nil)
}
