package peer

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/simnet"
)

// TestQueryIsNotLost: a gateway whose peer has the lower address, and so initiates the exchanges of the pair,
// queries it for a proof at a moment when it has no link yet, or when the peer does not listen. The query was
// lost in both cases, and since proofs come only in responses, the gateway never received one.
func TestQueryIsNotLost(t *testing.T) {
	const lower, higher = "10.0.0.1:1", "10.0.0.2:1"
	for _, c := range []struct {
		name string
		// seeds are those of the querying gateway.
		seeds []string
		// queryAfter is when the query is made, peerAfter when the peer starts.
		queryAfter, peerAfter time.Duration
	}{
		{"no link yet", nil, 0, 100 * time.Millisecond},
		{"the peer does not listen yet", []string{lower}, 350 * time.Millisecond, 800 * time.Millisecond},
		{"the peer is down for some seconds", []string{lower}, 350 * time.Millisecond, 5050 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				network := simnet.New()
				querying := simulate(ctx, network.Host(higher, smallLink), higher, c.seeds...)
				time.Sleep(c.queryAfter)
				querying.QueryPeers()
				time.Sleep(c.peerAfter - c.queryAfter)
				simulate(ctx, network.Host(lower, smallLink), lower, higher).setProof(5)
				time.Sleep(2 * time.Second)
				proofs := querying.receivedProofs()
				assert.Check(t, len(proofs) == 1, "%d proofs", len(proofs))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestQueryReachesNewestProof: of eight peers one has a proof from the store, the others have older ones. All of them
// initiate the exchanges with the querying gateway, so that it receives proofs only by its queries. Each query has
// to return the newest proof; two random peers have it in one query of four.
func TestQueryReachesNewestProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const self, peers, holder = "10.0.0.9:1", 8, 3
		ctx, cancel := context.WithCancel(t.Context())
		network := simnet.New()
		querying := simulate(ctx, network.Host(self, smallLink), self)
		for i := range peers {
			addr := fmt.Sprintf("10.0.0.%d:1", i+1)
			g := simulate(ctx, network.Host(addr, smallLink), addr, self)
			g.setProof(5)
			if i != holder {
				g.mu.Lock()
				g.provedAge = time.Second
				g.mu.Unlock()
			}
		}
		time.Sleep(2 * time.Second)
		for range 10 {
			at := querying.Uptime()
			querying.QueryPeers()
			time.Sleep(100 * time.Millisecond)
			proofs := querying.receivedProofs()
			newest := slices.MaxFunc(proofs, func(a, b receivedProof) int { return cmp.Compare(a.at, b.at) })
			assert.Check(t, newest.at >= at, "the newest proof is %v older than the query", at-newest.at)
		}
		cancel()
		synctest.Wait()
	})
}

// setProof sets the proof sent in reports.
func (g *gateway) setProof(version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.provedVersion = version
}

func (g *gateway) receivedProofs() []receivedProof {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proofs
}
