package freshness_test

import (
	"testing"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
)

// The model: a store whose configuration changes, and gateways that ask it, ask each other, and start again, each with
// one question on its way at most. An answer may be made and come at any later time, or never: that is a cut, a freeze, or
// a link that holds bytes up. All orders are explored up to a number of ticks.
const (
	modelGateways = 2
	modelVersions = 2
	modelTicks    = 4
	modelRevoke   = 2
)

// asked is a question on its way.
type asked struct {
	// peer is set if another gateway was asked, and not the store; done once it was answered.
	asked, peer, done bool
	at                int8
	// version is what the answer says is in force, and proved, at the time provedAt of the one that was asked.
	version, proved int8
	age             int8
}

type modelGateway struct {
	ledger freshness.Ledger
	// version is in force.
	version int8
	ask     asked
}

type model struct {
	now int8
	// acked is when each version was accepted; the first one was at the beginning.
	acked    [modelVersions]int8
	versions int8
	gateways [modelGateways]modelGateway
}

func ticks(n int8) time.Duration { return time.Duration(n) * time.Second }

// next are the states that one step leads to.
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
			n.acked[n.versions] = n.now
			n.versions++
		})
	}
	for i := range m.gateways {
		g := &m.gateways[i]
		switch {
		case !g.ask.asked:
			add(func(n *model) { n.gateways[i].ask = asked{asked: true, at: n.now} })
			add(func(n *model) { n.gateways[i].ask = asked{asked: true, peer: true, at: n.now} })
		case !g.ask.done:
			add(func(n *model) { n.answer(i) })
		default:
			add(func(n *model) { n.deliver(i) })
			add(func(n *model) { n.gateways[i].ask = asked{} })
		}
		if g.version > 0 {
			add(func(n *model) { n.gateways[i] = modelGateway{} })
		}
	}
	return out
}

// answer has the question of a gateway answered now.
func (m *model) answer(i int) {
	a := &m.gateways[i].ask
	a.done = true
	if !a.peer {
		a.version, a.proved = m.versions, m.versions
		return
	}
	other := &m.gateways[(i+1)%modelGateways]
	a.version = other.version
	if p, ok := other.ledger.Newest(); ok {
		a.proved, a.age = int8(p.Version), m.now-int8(p.At/time.Second)
	}
}

// deliver has an answer come.
func (m *model) deliver(i int) {
	g := &m.gateways[i]
	a := g.ask
	g.ask = asked{}
	if a.version > g.version {
		g.version = a.version
		g.ledger.Applied(int64(a.version))
	}
	if a.proved > 0 {
		g.ledger.AddProof(freshness.Proof{Version: int64(a.proved), At: ticks(a.at - a.age)})
	}
}

// wrong is a gateway that trusts a configuration in which a change is missing that was accepted too long ago.
func (m *model) wrong() (int, bool) {
	bounds := freshness.Bounds{Revoke: ticks(modelRevoke)}
	for i := range m.gateways {
		g := &m.gateways[i]
		if !bounds.Trusted(g.ledger.Age(ticks(m.now))) {
			continue
		}
		for v := g.version; v < m.versions; v++ {
			if m.acked[v] <= m.now-modelRevoke {
				return i, true
			}
		}
	}
	return 0, false
}

// TestNobodyTrustsAConfigurationTooLong explores the model: whatever is cut, held up or started again, no gateway serves
// under a configuration that lacks a change of longer ago than the bound.
func TestNobodyTrustsAConfigurationTooLong(t *testing.T) {
	first := model{versions: 1}
	seen := map[model]bool{first: true}
	trusted := 0
	for queue := []model{first}; len(queue) > 0; {
		m := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if i, wrong := m.wrong(); wrong {
			t.Fatalf("gateway %d trusts what it should not: %+v", i, m)
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
