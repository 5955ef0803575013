package peer

import (
	"context"
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
