package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/simnet"
)

// asymmetricHost is a host that can't reach some others, although they can reach it.
type asymmetricHost struct {
	*simnet.Host
	unreachable string
}

// Dial implements Network.
func (h asymmetricHost) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if addr == h.unreachable {
		return nil, errors.New("no route")
	}
	return h.Host.Dial(ctx, addr)
}

// TestFetchFallsBackToAnotherPeer: of two gateways that have a version, one is unreachable; the fetch uses the
// other.
func TestFetchFallsBackToAnotherPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const a, b, c = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
		ctx, cancel := context.WithCancel(t.Context())
		network := simnet.New()
		first, second := simulate(ctx, network.Host(a, smallLink), a, c), simulate(ctx, network.Host(b, smallLink), b, c)
		third := simulate(ctx, asymmetricHost{network.Host(c, smallLink), a}, c, a, b)
		time.Sleep(time.Second)
		for _, g := range []*gateway{first, second} {
			g.mu.Lock()
			g.table = 7
			g.mu.Unlock()
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, third.Version(State_ROUTE_TABLE), int64(7))
		third.mu.Lock()
		for _, f := range third.fetched {
			assert.Equal(t, f.Err == nil, f.From == b, "%+v", f)
		}
		third.mu.Unlock()
		cancel()
		synctest.Wait()
	})
}

// TestUnusableStateIsNotRefetched: a version that was received completely but can't be used here, as during an
// upgrade, is not fetched again and again; the next version is.
func TestUnusableStateIsNotRefetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const a, b = "10.0.0.1:1", "10.0.0.2:1"
		ctx, cancel := context.WithCancel(t.Context())
		network := simnet.New()
		first, second := simulate(ctx, network.Host(a, smallLink), a, b), simulate(ctx, network.Host(b, smallLink), b, a)
		second.unusableVersion = 7
		set := func(version int64) {
			first.mu.Lock()
			first.table = version
			first.mu.Unlock()
			time.Sleep(10 * time.Second)
		}
		fetched := func() int {
			second.mu.Lock()
			defer second.mu.Unlock()
			return len(second.fetched)
		}
		set(7)
		assert.Equal(t, fetched(), 1)
		assert.Equal(t, second.Version(State_ROUTE_TABLE), int64(0))
		set(8)
		assert.Equal(t, fetched(), 2)
		assert.Equal(t, second.Version(State_ROUTE_TABLE), int64(8))
		cancel()
		synctest.Wait()
	})
}

// TestOfferedVersionThatIsNotServed: a gateway that reports a version and serves an older one is asked
// occasionally, not in a loop.
func TestOfferedVersionThatIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const a, b = "10.0.0.1:1", "10.0.0.2:1"
		ctx, cancel := context.WithCancel(t.Context())
		network := simnet.New()
		first, second := simulate(ctx, network.Host(a, smallLink), a, b), simulate(ctx, network.Host(b, smallLink), b, a)
		for _, g := range []*gateway{first, second} {
			g.mu.Lock()
			g.table = 6
			g.mu.Unlock()
		}
		first.mu.Lock()
		first.offeredVersion = 7
		first.mu.Unlock()
		const watched = 10
		time.Sleep(watched * time.Second)
		second.mu.Lock()
		defer second.mu.Unlock()
		fetches := len(second.fetched)
		assert.Assert(t, fetches > 0 && fetches <= watched, "asked %d times", fetches)
		cancel()
	})
}
