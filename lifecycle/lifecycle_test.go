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

// script is how one attempt goes: the step that ends it, and its outcome.
type script struct {
	endsAt string
	out    outcome.Outcome
}

// request plays its scripts, one an attempt, and notes what is called.
type request struct {
	scripts []script
	calls   []string
	placed  int
	// most is the number of attempts that the policy allows.
	most int
}

type attempt struct {
	r *request
	script
}

var noServer = outcome.Refuse(outcome.NoBackend, time.Second)

func (r *request) note(call string) { r.calls = append(r.calls, call) }

func (r *request) Place(context.Context) (*attempt, outcome.Outcome, bool) {
	r.note("place")
	if r.placed == len(r.scripts) {
		return nil, noServer, false
	}
	r.placed++
	return &attempt{r, r.scripts[r.placed-1]}, outcome.Outcome{}, true
}

func (r *request) Ended(_ context.Context, _ *attempt, o outcome.Outcome) (outcome.Outcome, bool) {
	r.note("ended")
	return o, o.Kind != outcome.Completed && r.placed < r.most
}

func (a *attempt) step(name string) (outcome.Outcome, bool) {
	a.r.note(name)
	return a.out, name != a.endsAt
}

func (a *attempt) Reserve(context.Context) (outcome.Outcome, bool) { return a.step("reserve") }
func (a *attempt) Prefill(context.Context) (outcome.Outcome, bool) { return a.step("prefill") }
func (a *attempt) Release()                                        { a.r.note("release") }

func (a *attempt) Answer(context.Context) outcome.Outcome {
	a.r.note("answer")
	return a.out
}

func TestRun(t *testing.T) {
	whole := outcome.Outcome{Kind: outcome.Completed}
	full := outcome.Refuse(outcome.NoPlace, time.Second)
	lost := outcome.Unsure(outcome.LinkDown, "")
	for _, c := range []struct {
		name    string
		scripts []script
		most    int
		calls   string
		end     outcome.Outcome
	}{
		{"answered", []script{{"answer", whole}}, 2, "place reserve prefill answer release ended", whole},
		{"no server", nil, 2, "place", noServer},
		{"no room, then answered", []script{{"reserve", full}, {"answer", whole}}, 2,
			"place reserve release ended place reserve prefill answer release ended", whole},
		{"prompt not read, no other attempt", []script{{"prefill", lost}}, 1, "place reserve prefill release ended", lost},
		{"lost, and no other server", []script{{"answer", lost}}, 2, "place reserve prefill answer release ended place", noServer},
		{"no third attempt", []script{{"answer", lost}, {"answer", lost}, {"answer", whole}}, 2,
			"place reserve prefill answer release ended place reserve prefill answer release ended", lost},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &request{scripts: c.scripts, most: c.most}
			end := lifecycle.Run(context.Background(), r)
			assert.Equal(t, end, c.end)
			assert.Equal(t, strings.Join(r.calls, " "), c.calls)
		})
	}
}

// broken is an attempt whose answer breaks an invariant.
type broken struct{ attempt }

func (b *broken) Answer(context.Context) outcome.Outcome { panic("invariant") }

type brokenRequest struct{ *request }

func (r brokenRequest) Place(context.Context) (*broken, outcome.Outcome, bool) {
	return &broken{attempt{r: r.request}}, outcome.Outcome{}, true
}

func (r brokenRequest) Ended(context.Context, *broken, outcome.Outcome) (outcome.Outcome, bool) {
	return outcome.Outcome{}, false
}

// TestReleasedInAPanic: what an attempt holds is given up even then.
func TestReleasedInAPanic(t *testing.T) {
	r := &request{}
	defer func() {
		assert.Equal(t, recover(), "invariant")
		assert.Equal(t, strings.Join(r.calls, " "), "reserve prefill release")
	}()
	lifecycle.Run(context.Background(), brokenRequest{r})
}
