package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

var start = time.Unix(1_000_000, 0)

func attemptOn(backend string, o outcome.Outcome) Attempt {
	return Attempt{Backends: []string{backend}, Zones: []string{"zone-" + backend}, Outcome: o, WorkDone: true}
}

func TestDecide(t *testing.T) {
	refused := attemptOn("a", outcome.Refuse(outcome.NoDecodeSlot, 3*time.Second))
	lost := attemptOn("b", outcome.Fail(outcome.EngineLost, ""))
	unsure := attemptOn("c", outcome.Indeterminate(outcome.LinkDown, ""))
	stale := attemptOn("d", outcome.Refuse(outcome.StaleRevision, 0))
	for _, tc := range []struct {
		name       string
		req        Request
		action     Action
		denial     Denial
		kind       outcome.Kind
		retryAfter time.Duration
		ids, zones []string
	}{
		{"completed", Request{Attempts: []Attempt{attemptOn("a", outcome.Outcome{Kind: outcome.Completed})}}, Finish, Completed, outcome.Completed, 0, nil, nil},
		{"refused", Request{Attempts: []Attempt{refused}}, Restart, "", 0, 0, []string{"a"}, nil},
		{"failed", Request{Attempts: []Attempt{lost}}, Restart, "", 0, 0, []string{"b"}, []string{"zone-b"}},
		{"failed after some output", Request{Attempts: []Attempt{lost}, Position: 7}, Resume, "", 0, 0, []string{"b"}, []string{"zone-b"}},
		{"unknown, may be repeated", Request{Attempts: []Attempt{unsure}}, Restart, "", 0, 0, []string{"c"}, []string{"zone-c"}},
		{"stale revision at the same server", Request{Attempts: []Attempt{stale}}, Restart, "", 0, 0, nil, nil},
		{"unrepeatable, not run", Request{Attempts: []Attempt{refused}, Unrepeatable: true}, Restart, "", 0, 0, []string{"a"}, nil},
		{"unrepeatable, failed", Request{Attempts: []Attempt{lost}, Unrepeatable: true}, Finish, Unrepeatable, outcome.Failed, 0, nil, nil},
		{"unrepeatable, unknown", Request{Attempts: []Attempt{unsure}, Unrepeatable: true}, Finish, Unrepeatable, outcome.Unknown, 0, nil, nil},
		{"not retryable", Request{Attempts: []Attempt{attemptOn("a", outcome.Refuse(outcome.TargetUnreachable, 0))}}, Finish, NotRetryable, outcome.NotRun, 0, nil, nil},
		{"last attempt", Request{Attempts: []Attempt{refused, refused, stale, refused}}, Finish, TooManyAttempts, outcome.NotRun, 3 * time.Second, nil, nil},
		{"rejected after a run", Request{Attempts: []Attempt{unsure, lost, refused, refused}}, Finish, TooManyAttempts, outcome.Failed, 3 * time.Second, nil, nil},
		{"rejected after an unknown outcome", Request{Attempts: []Attempt{unsure, refused, stale, stale}}, Finish, TooManyAttempts, outcome.Unknown, time.Second, nil, nil},
		{"too little time", Request{Attempts: []Attempt{refused}, Deadline: start.Add(time.Second), Expected: 2 * time.Second}, Finish, DeadlineTooSoon, outcome.NotRun, 3 * time.Second, nil, nil},
		{"just in time", Request{Attempts: []Attempt{refused}, Deadline: start.Add(time.Second), Expected: time.Second}, Restart, "", 0, 0, []string{"a"}, nil},
	} {
		d := New(DefaultConfig()).Decide(tc.req, start)
		assert.Equal(t, d.Action, tc.action, tc.name)
		assert.Equal(t, d.Denial, tc.denial, tc.name)
		assert.Equal(t, d.Outcome.Kind, tc.kind, tc.name)
		assert.Equal(t, d.Outcome.RetryAfter, tc.retryAfter, tc.name)
		assert.Equal(t, d.Position, tc.req.Position, tc.name)
		assert.DeepEqual(t, d.ExcludeIDs, tc.ids)
		assert.DeepEqual(t, d.AvoidZones, tc.zones)
	}
}

func TestBudgets(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Customer.Burst, cfg.Global.Burst = 2, 3
	p := New(cfg)
	decide := func(customer string, now time.Time) Decision {
		return p.Decide(Request{Customer: customer, Attempts: []Attempt{attemptOn("a", outcome.Fail(outcome.EngineLost, ""))}}, now)
	}
	assert.Equal(t, decide("x", start).Action, Restart)
	assert.Equal(t, decide("x", start).Action, Restart)
	denied := decide("x", start)
	assert.Equal(t, denied.Denial, CustomerBudget)
	assert.Equal(t, denied.Outcome.Reason, outcome.RetryBudgetSpent)
	assert.Equal(t, denied.Outcome.RetryAfter, 2*time.Second)
	assert.Equal(t, decide("y", start).Action, Restart)
	assert.Equal(t, decide("y", start).Denial, GlobalBudget)
	assert.Equal(t, decide("x", start.Add(2*time.Second)).Action, Restart, "PerSecond fills the budget")
}

// TestShareOfRetries checks the bound: at any failure rate, retries are at most the share of
// successes, what PerSecond adds, and one burst.
func TestShareOfRetries(t *testing.T) {
	for _, failing := range []float64{0.05, 0.3, 0.9, 1} {
		rng := rand.New(rand.NewPCG(1, 2))
		p, now := New(DefaultConfig()), start
		cfg := DefaultConfig().Customer
		successes, retries := 0, 0
		for range 50_000 {
			now = now.Add(10 * time.Millisecond)
			if rng.Float64() > failing {
				successes++
				p.Succeeded("x", now)
				continue
			}
			if p.Decide(Request{Customer: "x", Attempts: []Attempt{attemptOn("a", outcome.Fail(outcome.EngineLost, ""))}}, now).Action == Restart {
				retries++
			}
		}
		bound := cfg.Ratio*float64(successes) + cfg.PerSecond*now.Sub(start).Seconds() + cfg.Burst
		assert.Assert(t, float64(retries) <= bound+1, "%v: %d retries, bound %v", failing, retries, bound)
		t.Logf("failing %.2f: %d successes, %d retries", failing, successes, retries)
	}
}

func BenchmarkDecide(b *testing.B) {
	p := New(DefaultConfig())
	req := Request{Customer: "x", Attempts: []Attempt{attemptOn("a", outcome.Refuse(outcome.NoDecodeSlot, 0))}}
	b.ReportAllocs()
	for b.Loop() {
		p.Succeeded("x", start)
		p.Decide(req, start)
	}
}
