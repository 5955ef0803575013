package freshness_test

import (
	"testing"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
)

// The model has a store whose configuration changes, and gateways that query the store and each other, and restart, each
// with at most one outstanding query. An answer may be made and delivered at any later time, or never, which covers
// partitions, suspended processes and links that delay bytes. All orders up to a number of ticks are explored.
const (
	modelGateways = 2
	modelVersions = 2
	modelTicks    = 4
	modelRevoke   = 2
)

// query is a query of a gateway and its answer.
type query struct {
	// sent is set while the query is outstanding, peer if it went to the other gateway instead of the store, answered
	// once its answer is made.
	sent, peer, answered bool
	at                   int8
	// version is the applied version in the answer, provedVersion the one that the answer proves, with a proof of
	// proofAge.
	version, provedVersion int8
	proofAge               int8
}

type modelGateway struct {
	ledger freshness.Ledger
	// version is the applied version.
	version int8
	query   query
}

type model struct {
	now int8
	// acceptedAt is when the store accepted each version; the first one at tick 0.
	acceptedAt [modelVersions]int8
	versions   int8
	gateways   [modelGateways]modelGateway
}

func ticks(n int8) time.Duration { return time.Duration(n) * time.Second }

// next returns the states that one step leads to.
func (m model) next() []model {
	var out []model
	add := func(change func(*model)) {
		n := m
		change(&n)
		out = append(out, n)
	}
	if m.now < modelTicks {
		add(func(n *model) { n.now++ })
	}
	if m.versions < modelVersions {
		add(func(n *model) {
			n.acceptedAt[n.versions] = n.now
			n.versions++
		})
	}
	for i := range m.gateways {
		g := &m.gateways[i]
		switch {
		case !g.query.sent:
			add(func(n *model) { n.gateways[i].query = query{sent: true, at: n.now} })
			add(func(n *model) { n.gateways[i].query = query{sent: true, peer: true, at: n.now} })
		case !g.query.answered:
			add(func(n *model) { n.answer(i) })
		default:
			add(func(n *model) { n.deliver(i) })
			add(func(n *model) { n.gateways[i].query = query{} })
		}
		if g.version > 0 {
			add(func(n *model) { n.gateways[i] = modelGateway{} })
		}
	}
	return out
}

// answer answers the query of a gateway now.
func (m *model) answer(i int) {
	q := &m.gateways[i].query
	q.answered = true
	if !q.peer {
		q.version, q.provedVersion = m.versions, m.versions
		return
	}
	other := &m.gateways[(i+1)%modelGateways]
	q.version = other.version
	if p, ok := other.ledger.Newest(); ok {
		q.provedVersion, q.proofAge = int8(p.Version), m.now-int8(p.At/time.Second)
	}
}

// deliver delivers the answer to a gateway.
func (m *model) deliver(i int) {
	g := &m.gateways[i]
	q := g.query
	g.query = query{}
	if q.version > g.version {
		g.version = q.version
		g.ledger.Applied(int64(q.version))
	}
	if q.provedVersion > 0 {
		g.ledger.AddProof(freshness.Proof{Version: int64(q.provedVersion), At: ticks(q.at - q.proofAge)})
	}
}

// violation returns a gateway that trusts a configuration without a change that was accepted too long ago; false if there
// is none.
func (m *model) violation() (int, bool) {
	bounds := freshness.Bounds{Revoke: ticks(modelRevoke)}
	for i := range m.gateways {
		g := &m.gateways[i]
		if !bounds.Trusted(g.ledger.Age(ticks(m.now))) {
			continue
		}
		for v := g.version; v < m.versions; v++ {
			if m.acceptedAt[v] <= m.now-modelRevoke {
				return i, true
			}
		}
	}
	return 0, false
}

// TestNoGatewayTrustsStaleConfiguration explores the model: with any partitions, delays and restarts, no gateway serves
// under a configuration that lacks a change older than the bound.
func TestNoGatewayTrustsStaleConfiguration(t *testing.T) {
	first := model{versions: 1}
	seen := map[model]bool{first: true}
	trusted := 0
	for queue := []model{first}; len(queue) > 0; {
		m := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if i, violated := m.violation(); violated {
			t.Fatalf("gateway %d trusts a stale configuration: %+v", i, m)
		}
		if _, known := m.gateways[0].ledger.Age(0); known {
			trusted++
		}
		for _, n := range m.next() {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	t.Logf("%d states, the first gateway has a proof in %d", len(seen), trusted)
}
