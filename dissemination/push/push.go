// Package push sends a committed change directly to a few sidecars, from which it
// spreads, so that it takes effect even if the platform's table becomes unavailable
// right after the commit.
package push

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// Fanout is how many sidecars a change is sent to, spread over all zones.
const Fanout = 6

// Timeout bounds the exchange with one sidecar.
const Timeout = time.Second

// entryID is the entry id that the pushing command sends in its hello.
const entryID = "operator"

// errNotConfirmed means that the sidecar ended the session without the revision.
var errNotConfirmed = merry.Sentinel("sidecar did not confirm the revision")

// Targets chooses up to Fanout backend servers that are not retired, round-robin over
// the zones.
func Targets(backends []contract.Backend) []contract.Backend {
	byZone := make(map[string][]contract.Backend)
	var zones []string
	for _, b := range backends {
		if b.Retired {
			continue
		}
		if byZone[b.Zone] == nil {
			zones = append(zones, b.Zone)
		}
		byZone[b.Zone] = append(byZone[b.Zone], b)
	}
	var out []contract.Backend
	for i := 0; len(out) < Fanout; i++ {
		before := len(out)
		for _, z := range zones {
			if i < len(byZone[z]) && len(out) < Fanout {
				out = append(out, byZone[z][i])
			}
		}
		if len(out) == before {
			return out
		}
	}
	return out
}

// Push sends the records of state to all targets concurrently and returns the targets
// that confirmed its head. It blocks until all have responded or timed out.
func Push(ctx context.Context, state *dissemination.State, targets []contract.Backend, conf *tls.Config) []contract.Backend {
	var (
		wg        sync.WaitGroup
		mu        sync.Mutex
		confirmed []contract.Backend
	)
	for _, b := range targets {
		wg.Go(func() {
			if pushTo(ctx, state, b.Address, conf) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			confirmed = append(confirmed, b)
		})
	}
	wg.Wait()
	return confirmed
}

// pushTo runs one short session: hello, welcome, records and the heartbeat that
// confirms them.
func pushTo(ctx context.Context, state *dissemination.State, addr string, conf *tls.Config) error {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	conn, err := link.Dial(ctx, addr, conf, Timeout, new(link.Meter))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCSidecarClient(conn).Session(ctx)
	if err != nil {
		return err
	}
	head := state.Head()
	hello := &wire.Hello{Protocol: wire.Protocol, EntryId: entryID, Incarnation: rand.Text(), HeadRevision: head}
	if err := stream.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Hello{Hello: hello}}); err != nil {
		return err
	}
	for {
		f, err := stream.Recv()
		if err != nil {
			return merry.Wrap(errNotConfirmed, merry.WithCause(err))
		}
		done, err := handleFrame(stream, state, f, head)
		if done || err != nil {
			return err
		}
	}
}

// handleFrame handles one frame of the sidecar and reports whether head is confirmed.
func handleFrame(stream wire.DRPCSidecar_SessionClient, state *dissemination.State, f *wire.SidecarFrame, head uint64) (bool, error) {
	switch b := f.GetBody().(type) {
	case *wire.SidecarFrame_Welcome:
		if b.Welcome.GetHeadRevision() >= head {
			return true, nil
		}
		d := state.Since(b.Welcome.GetHeadRevision())
		return false, stream.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Records{Records: dissemination.ToWire(d)}})
	case *wire.SidecarFrame_Beat:
		return b.Beat.GetHeadRevision() >= head, nil
	default:
		return false, nil
	}
}
