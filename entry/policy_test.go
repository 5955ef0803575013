package entry

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/placement"
	"github.com/hibiscusspur/hibiscusspur/policy/retry"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

func TestPolicySettings(t *testing.T) {
	for _, tc := range []struct {
		change func(*Policy)
		field  string
	}{
		{func(*Policy) {}, ""},
		{func(p *Policy) { p.Placement = "best" }, "policy.placement"},
		{func(p *Policy) { p.Limits = "none" }, "policy.limits"},
		{func(p *Policy) { p.SubsetSize = -1 }, "policy.subset_size"},
		{func(p *Policy) { p.Entries = -1 }, "policy.entries"},
		{func(p *Policy) { p.Index = 1 }, "policy.index"},
		{func(p *Policy) { p.Entries, p.Index = 2, 1 }, ""},
	} {
		p, got := DefaultPolicy(), ""
		tc.change(&p)
		p.check(func(field, _ string, _ ...any) { got += field })
		assert.Equal(t, got, tc.field)
	}
}

func TestChooseSubset(t *testing.T) {
	var list []contract.Backend
	for i := range 60 {
		list = append(list, contract.Backend{
			ID: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", i%3), Role: []string{"prefill", "decode", roleService}[i/20], Models: []string{"m"},
		})
	}
	list[0].Retired = true
	set := Settings{ID: "e", Zone: "zone-0", Policy: Policy{SubsetSize: 6}}
	count := map[string]int{}
	for _, b := range chooseSubset(set, activeBackends(list)) {
		count[b.Role]++
		assert.Assert(t, !b.Retired)
	}
	assert.DeepEqual(t, count, map[string]int{"prefill": 6, "decode": 6, roleService: 20})
}

// testPool returns a pool of peers that appear linked.
func testPool(roles ...string) *pool {
	p := &pool{settings: Settings{Zone: "a"}, peers: map[string]*peer{}}
	for i, role := range roles {
		id := fmt.Sprint(role, i)
		pr := newPeer(p, contract.Backend{ID: id, Zone: "a", Role: role, Models: []string{"m"}})
		pr.link, pr.welcome = &entryLink{}, &wire.Welcome{PrefillTokensPerSecond: 1000}
		p.peers[id] = pr
	}
	return p
}

func TestPlace(t *testing.T) {
	r := &request{model: "m", promptTokens: 500, start: time.Now(), class: &contract.Class{TTFT: time.Hour}, prefixHashes: []uint64{1, 2}}
	for _, tc := range []struct {
		name    string
		roles   []string
		exclude []string
		decode  string
		prefill string
	}{
		{"no servers", nil, nil, "", ""},
		{"no prefill server", []string{"decode"}, nil, "", ""},
		{"pair", []string{"prefill", "decode"}, nil, "decode1", "prefill0"},
		{"mixed", []string{"mixed"}, nil, "mixed0", ""},
		{"excluded", []string{"prefill", "decode", "decode"}, []string{"decode1"}, "decode2", "prefill0"},
		{"only excluded servers are left", []string{"prefill", "decode"}, []string{"decode1"}, "decode1", "prefill0"},
	} {
		for _, name := range placement.Names() {
			p, err := newPlacer(Policy{Placement: name})
			assert.NilError(t, err)
			pool := testPool(tc.roles...)
			sv, ok := p.place(pool, r, retry.Decision{ExcludeIDs: tc.exclude})
			assert.Equal(t, ok, tc.decode != "", "%s %s", tc.name, name)
			if !ok {
				continue
			}
			assert.Equal(t, sv.decode.backend.ID, tc.decode, "%s %s", tc.name, name)
			assert.Equal(t, sv.prefill == nil, tc.prefill == "")
			assert.Equal(t, sv.expectedPrefill, 600*time.Millisecond, "the prior for the queue and 1,000 tokens a second")
			assert.Equal(t, sv.decode.placedSinceReport, 1)
		}
	}
}

func TestTracker(t *testing.T) {
	at := &peer{backend: contract.Backend{ID: "b", Zone: "z"}}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, tc := range []struct {
		name         string
		ctx          context.Context
		unrepeatable bool
		outcomes     []outcome.Outcome
		again        bool
		kind         outcome.Kind
	}{
		{"completed", context.Background(), false, []outcome.Outcome{{Kind: outcome.Completed}}, false, outcome.Completed},
		{"failed", context.Background(), false, []outcome.Outcome{outcome.Fail(outcome.EngineLost, "")}, true, 0},
		{"failed, unrepeatable", context.Background(), true, []outcome.Outcome{outcome.Fail(outcome.EngineLost, "")}, false, outcome.Failed},
		{"caller gone", cancelled, false, []outcome.Outcome{outcome.Fail(outcome.EngineLost, "")}, false, outcome.Failed},
		{"refused after a failure", context.Background(), false, []outcome.Outcome{
			outcome.Fail(outcome.EngineLost, ""), outcome.Refuse(outcome.NoDecodeSlot, 0),
		}, false, outcome.Failed},
	} {
		tr := newRetrier(2, metrics.NewSet()).tracker("x", tc.unrepeatable, time.Time{})
		var final outcome.Outcome
		var again bool
		for _, o := range tc.outcomes {
			final, again = tr.attemptEnded(tc.ctx, retryAttemptAt(o, at, true), 0, 0)
		}
		assert.Equal(t, again, tc.again, tc.name)
		assert.Equal(t, final.Kind, tc.kind, tc.name)
	}
	tr := newRetrier(3, metrics.NewSet()).tracker("x", false, time.Time{})
	_, again := tr.attemptEnded(context.Background(), retryAttemptAt(outcome.Indeterminate(outcome.LinkDown, ""), at, true), 0, 0)
	assert.Assert(t, again)
	assert.Equal(t, tr.conclude(outcome.Refuse(outcome.NoBackend, time.Second)).Kind, outcome.Unknown, "an attempt may have run")
}

func TestBackendViewIsRebuiltOnlyForNewList(t *testing.T) {
	list := []contract.Backend{{ID: "a", Role: "mixed", Models: []string{"m"}}, {ID: "b", Retired: true}}
	set := DefaultSettings()
	first := newView(nil, set, list)
	assert.Assert(t, newView(first, set, list) == first)
	assert.Equal(t, len(first.active), 1)
	assert.Equal(t, len(first.chosen), 1)
	next := newView(first, set, append(slices.Clone(list), contract.Backend{ID: "c", Role: "mixed", Models: []string{"m"}}))
	assert.Equal(t, len(next.chosen), 2)
	assert.Equal(t, len(newView(next, set, nil).active), 0)
}

func TestLimits(t *testing.T) {
	c := &contract.Contract{Customer: "x", Limits: contract.Limits{RequestsPerSecond: 1000, Burst: 1000, Concurrent: 3}}
	cov := coverage{all: 8, linked: 2}
	l, err := newLimiter(DefaultPolicy())
	assert.NilError(t, err)
	a, done, _, ok := l.admit(c, cov)
	assert.Assert(t, ok)
	assert.Equal(t, a, allowance{weightMilli: 1000, reportRateMilli: 62500, reportRunning: 1})
	first, second := &wire.Terms{}, &wire.Terms{}
	a.addTo(first, 1)
	a.addTo(second, 2)
	assert.Equal(t, first.WeightMilli, uint32(1000))
	assert.Equal(t, second.WeightMilli, uint32(0), "a request counts once over its attempts")
	l.observe("s1", cov, []*wire.Demand{{Customer: "x", Running: 1}})
	_, _, o, ok := l.admit(c, cov)
	assert.Assert(t, !ok, "four run through other entries, estimated from the reports of two of eight sidecars")
	assert.Equal(t, o.Reason, outcome.ConcurrencyLimited)
	assert.Assert(t, o.RetryAfter > 0)
	l.observe("s1", cov, []*wire.Demand{{Customer: "x"}})
	done()
	for range 3 {
		_, _, _, ok = l.admit(c, cov)
		assert.Assert(t, ok)
	}
	_, _, _, ok = l.admit(c, cov)
	assert.Assert(t, !ok)
}

func TestCoverageByModel(t *testing.T) {
	active := activeBackends([]contract.Backend{
		{ID: "p", Role: "prefill", Models: []string{"m"}}, {ID: "d1", Role: "decode", Models: []string{"m"}},
		{ID: "d2", Role: "decode", Models: []string{"m", "n"}}, {ID: "x", Role: "mixed", Models: []string{"n"}},
	})
	got := coverageByModel(active, map[string]contract.Backend{"p": {}, "d2": {}})
	assert.Equal(t, got["m"], coverage{all: 2, linked: 1})
	assert.Equal(t, got["n"], coverage{all: 2, linked: 1})
	assert.Equal(t, coverage{}.scale(), 1.0)
}
