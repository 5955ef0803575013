package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/simnet"
)

// smallLink is 10 Mbit/s, in bytes a second.
const smallLink = 1_250_000

// simulate runs a gateway on an in-memory network.
func simulate(ctx context.Context, n Network, addr string, seeds ...string) *gateway {
	g := newGateway(addr, seeds)
	g.SetNetwork(n)
	go func() { _ = g.Run(ctx) }()
	return g
}

// TestAnnouncementAfterIdleTime: of two gateways the one with the lower address initiates the exchanges. The
// other has a connection too, which its peer closes after five idle seconds. Updates of the latter must still
// be sent at once instead of by the next exchange of the other side, and no exchange may fail. In a cluster of
// 21 gateways all 210 of these connections were found closed at each change of the configuration:
//
//	"event":721,"text":"gateway lost","peer":"10.1.0.41:8220","error":"manager closed: EOF"
func TestAnnouncementAfterIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const a, b = "10.0.0.1:1", "10.0.0.2:1"
		ctx, cancel := context.WithCancel(t.Context())
		network := simnet.New()
		first, second := simulate(ctx, network.Host(a, smallLink), a, b), simulate(ctx, network.Host(b, smallLink), b, a)
		const idle = 30 * time.Second
		time.Sleep(idle)
		failed := second.Traffic().Failed
		second.mu.Lock()
		second.servers = 40
		second.mu.Unlock()
		second.Announce()
		time.Sleep(baseInterval / 10)
		assert.Check(t, first.Version(State_SERVER_LIST) == 40, "received at once")
		time.Sleep(time.Second)
		assert.Check(t, second.Traffic().Failed == failed, "no exchange failed")
		cancel()
		synctest.Wait()
	})
}

// busyTime is how long the links of a host are busy, which delays responses to it.
const busyTime = 20 * time.Millisecond

// TestUpdateDuringAnExchange: an update that arises during an exchange is sent right after it, not an interval
// later: a gateway that has just read a large table has exchanges in progress, since its link was busy.
func TestUpdateDuringAnExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const a, b = "10.0.0.1:1", "10.0.0.2:1"
		ctx, cancel := context.WithCancel(t.Context())
		network := simnet.New()
		host := network.Host(a, smallLink)
		first, second := simulate(ctx, host, a, b), simulate(ctx, network.Host(b, smallLink), b, a)
		time.Sleep(time.Second)
		for range 20 {
			// The link of the first gateway is busy for some time around each of its exchanges.
			host.Occupy(smallLink * int(busyTime/time.Millisecond) / 1000)
			first.mu.Lock()
			first.servers++
			want := first.servers
			first.mu.Unlock()
			first.Announce()
			time.Sleep(busyTime)
			assert.Equal(t, second.Version(State_SERVER_LIST), want)
			time.Sleep(baseInterval - 3*busyTime/2)
		}
		cancel()
		synctest.Wait()
	})
}
