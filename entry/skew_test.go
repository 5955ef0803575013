package entry

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcerr"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// logLines is a log that a test reads line by line.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// scriptedSidecar is a sidecar whose sessions run a function.
type scriptedSidecar func(wire.DRPCSidecar_SessionStream) error

func (f scriptedSidecar) Session(s wire.DRPCSidecar_SessionStream) error { return f(s) }

// dialScripted runs a peer of a scripted sidecar until the test ends.
func dialScripted(t *testing.T, session scriptedSidecar) (*peer, logLines) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- link.Serve(ctx, lis, session, link.Limits{}) }()

	logged := make(logLines, 64)
	l := event.New("entry", "t", log.InfoLevel)
	l.Writer = &log.IOWriter{Writer: logged}
	st := dissemination.NewState()
	p := newPool(DefaultSettings(), l, nil, "i", st, dissemination.NewIndex(st, nil))
	pr := p.add(contract.Backend{ID: "vm-1", Address: lis.Addr().String()})
	t.Cleanup(func() {
		p.close()
		cancel()
		<-served
	})
	return pr, logged
}

func welcome(protocol uint32) *wire.SidecarFrame {
	return &wire.SidecarFrame{Body: &wire.SidecarFrame_Welcome{Welcome: &wire.Welcome{Protocol: protocol, Incarnation: "s"}}}
}

func TestSidecarOfUnknownProtocolIsRefused(t *testing.T) {
	for name, session := range map[string]scriptedSidecar{
		"refused by the sidecar": func(wire.DRPCSidecar_SessionStream) error {
			return drpcerr.WithCode(context.Canceled, wire.CodeProtocol)
		},
		"welcomed in another version": func(s wire.DRPCSidecar_SessionStream) error {
			if err := s.Send(welcome(wire.Protocol + 1)); err != nil {
				return err
			}
			<-s.Context().Done()
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, logged := dialScripted(t, session)
			line := <-logged
			assert.Assert(t, strings.Contains(line, `"event":404`) && strings.Contains(line, `"backend":"vm-1"`), line)
			assert.Assert(t, !p.usable())
		})
	}
}

// TestUnknownFrameOfSidecarIsIgnored sends a frame of a kind that this build does
// not know, then the answer that a flow waits for.
func TestUnknownFrameOfSidecarIsIgnored(t *testing.T) {
	ref := wire.Key{RequestID: "r", Attempt: 1}.Ref()
	p, _ := dialScripted(t, func(s wire.DRPCSidecar_SessionStream) error {
		unknown := new(wire.SidecarFrame)
		// Field 99, an empty message.
		unknown.ProtoReflect().SetUnknown([]byte{0x9a, 0x06, 0x00})
		frames := []*wire.SidecarFrame{welcome(wire.Protocol), unknown}
		for _, f := range frames {
			if err := s.Send(f); err != nil {
				return err
			}
		}
		for {
			f, err := s.Recv()
			if err != nil {
				return err
			}
			if f.GetFence() != nil {
				_ = s.Send(&wire.SidecarFrame{Body: &wire.SidecarFrame_Fenced{Fenced: &wire.Fenced{Ref: ref}}})
			}
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.NilError(t, p.waitUp(ctx))
	fl := p.openFlow(ref.Key())
	defer fl.close()
	assert.NilError(t, fl.send(&wire.EntryFrame{Body: &wire.EntryFrame_Fence{Fence: &wire.Fence{Ref: ref}}}))
	f, err := fl.recv(ctx)
	assert.NilError(t, err)
	assert.Assert(t, f.GetFenced() != nil)
}

// TestRefusalOfUnknownKindIsUnknown: only a kind that this build knows proves anything.
func TestRefusalOfUnknownKindIsUnknown(t *testing.T) {
	for kind, want := range map[wire.Kind]outcome.Kind{
		wire.Kind_KIND_NOT_RUN:     outcome.NotRun,
		wire.Kind_KIND_FAILED:      outcome.Failed,
		wire.Kind_KIND_UNKNOWN:     outcome.Unknown,
		wire.Kind_KIND_UNSPECIFIED: outcome.Unknown,
		wire.Kind_KIND_COMPLETED:   outcome.Unknown,
		wire.Kind(99):              outcome.Unknown,
	} {
		assert.Equal(t, refusedOutcome(&wire.Refused{Kind: kind}).Kind, want, kind.String())
	}
}
