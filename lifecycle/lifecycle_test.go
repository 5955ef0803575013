package lifecycle_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/lifecycle"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// script is the course of one attempt: the step that ends it, and its outcome.
type script struct {
	endsAt string
	out    outcome.Outcome
}

// request runs its scripts, one per attempt, and records the calls.
type request struct {
	scripts []script
	calls   []string
	placed  int
	// maxAttempts is the number of attempts that the policy allows.
	maxAttempts int
}

type attempt struct {
	r *request
	script
}

var noServer = outcome.Refuse(outcome.NoBackend, time.Second)

func (r *request) record(call string) { r.calls = append(r.calls, call) }

func (r *request) Place(context.Context) (*attempt, outcome.Outcome, bool) {
	r.record("place")
	if r.placed == len(r.scripts) {
		return nil, noServer, false
	}
	r.placed++
	return &attempt{r, r.scripts[r.placed-1]}, outcome.Outcome{}, true
}

func (r *request) Ended(_ context.Context, _ *attempt, o outcome.Outcome) (outcome.Outcome, bool) {
	r.record("ended")
	return o, o.Kind != outcome.Completed && r.placed < r.maxAttempts
}

func (a *attempt) step(name string) (outcome.Outcome, bool) {
	a.r.record(name)
	return a.out, name != a.endsAt
}

func (a *attempt) Reserve(context.Context) (outcome.Outcome, bool) { return a.step("reserve") }
func (a *attempt) Prefill(context.Context) (outcome.Outcome, bool) { return a.step("prefill") }
func (a *attempt) Release()                                        { a.r.record("release") }

func (a *attempt) Answer(context.Context) outcome.Outcome {
	a.r.record("answer")
	return a.out
}

func TestRun(t *testing.T) {
	whole := outcome.Outcome{Kind: outcome.Completed}
	full := outcome.Refuse(outcome.NoDecodeSlot, time.Second)
	lost := outcome.Indeterminate(outcome.LinkDown, "")
	for _, c := range []struct {
		name        string
		scripts     []script
		maxAttempts int
		calls       string
		end         outcome.Outcome
	}{
		{"answered", []script{{"answer", whole}}, 2, "place reserve prefill answer release ended", whole},
		{"no server", nil, 2, "place", noServer},
		{"no free memory, then answered", []script{{"reserve", full}, {"answer", whole}}, 2,
			"place reserve release ended place reserve prefill answer release ended", whole},
		{"prefill failed, no other attempt", []script{{"prefill", lost}}, 1, "place reserve prefill release ended", lost},
		{"lost, and no other server", []script{{"answer", lost}}, 2, "place reserve prefill answer release ended place", noServer},
		{"no third attempt", []script{{"answer", lost}, {"answer", lost}, {"answer", whole}}, 2,
			"place reserve prefill answer release ended place reserve prefill answer release ended", lost},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &request{scripts: c.scripts, maxAttempts: c.maxAttempts}
			end := lifecycle.Run(context.Background(), r)
			assert.Equal(t, end, c.end)
			assert.Equal(t, strings.Join(r.calls, " "), c.calls)
		})
	}
}

// panicking is an attempt whose answer panics.
type panicking struct{ attempt }

func (b *panicking) Answer(context.Context) outcome.Outcome { panic("invariant") }

type panickingRequest struct{ *request }

func (r panickingRequest) Place(context.Context) (*panicking, outcome.Outcome, bool) {
	return &panicking{attempt{r: r.request}}, outcome.Outcome{}, true
}

func (r panickingRequest) Ended(context.Context, *panicking, outcome.Outcome) (outcome.Outcome, bool) {
	return outcome.Outcome{}, false
}

// TestReleasedOnPanic: an attempt is released even if it panics.
func TestReleasedOnPanic(t *testing.T) {
	r := &request{}
	defer func() {
		assert.Equal(t, recover(), "invariant")
		assert.Equal(t, strings.Join(r.calls, " "), "reserve prefill release")
	}()
	lifecycle.Run(context.Background(), panickingRequest{r})
}
