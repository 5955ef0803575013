package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// TestContinuationWithoutStopTakesRetry guards against a continuation beyond the retry budget: the budget did not allow
// the call that stops the run, and its stream broke at that moment.
func TestContinuationWithoutStopTakesRetry(t *testing.T) {
	f, j, s := exclusionEnv()
	a := &streamAttempt{r: &stream{baseRequest: baseRequest{f: f, j: j}}, lease: &lease{server: s}, move: &move{}}
	a.next = runcopy.ContinueAtCopy
	_, _, reason, err := a.openContinuation(t.Context(), t.Context(), Send{Continues: true})
	assert.Equal(t, reason, outcome.RetryBudgetSpent)
	assert.ErrorIs(t, err, upstream.ErrNotSent)
}
