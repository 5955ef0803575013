package forward

import (
	"context"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// exclusionEnv returns a forwarder with six engines, and a job of a route that may be repeated.
func exclusionEnv(off ...string) (*Forwarder, *job, registry.Server) {
	f, j := benchForwarder(6, registry.Decode)
	cfg := f.Config
	cfg.Log = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	cfg.Off, _ = mechanism.Parse(off)
	f = New(cfg)
	f.service("s")
	j.route = &route.Route{Name: "r", Kind: route.Stream, Resumable: true, Attempts: 2}
	return f, j, f.View.Servers("s")[0]
}

// untilTrial returns a forwarder and an engine that failures of other gateways have excluded, once it is due for a trial
// request that may or may not be repeated.
func untilTrial(t *testing.T, repeatable bool) (*Forwarder, registry.Server) {
	t.Helper()
	f, _, s := exclusionEnv()
	f.ReceiveFailure("edge-2", EngineFailure{ID: s.ID})
	f.ReceiveFailure("edge-3", EngineFailure{ID: s.ID})
	v := f.engineVerdicts(repeatable)(s.ID, time.Now())
	assert.Assert(t, v.Excluded)
	time.Sleep(v.Wait(time.Now()))
	return f, s
}

// TestExclusionOfOneEngine follows an engine that fails everything: it is excluded when two gateways have failed there,
// one trial request at a time is sent there although failures are known, which the other gateways are told, and a success
// makes it an engine like the others.
func TestExclusionOfOneEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, j, s := exclusionEnv()
		verdict := func() eligibility.Verdict { return f.engineVerdicts(true)(s.ID, time.Now()) }
		f.ReceiveFailure("edge-2", EngineFailure{ID: s.ID})
		assert.Assert(t, !verdict().Excluded)
		f.engineFailed(s, outcome.EngineError, nil)
		assert.DeepEqual(t, f.TakeFailures(), []EngineFailure{{ID: s.ID}})
		v := verdict()
		assert.Equal(t, v.Reason, eligibility.Unhealthy)
		assert.Assert(t, v.Excluded)
		assert.ErrorContains(t, f.admitSend(j, s.ID, false), "unhealthy", "a request placed there before is not sent")

		time.Sleep(v.Wait(time.Now()))
		v = verdict()
		assert.Assert(t, !v.Excluded && !v.LastResort, "a trial request is sent")
		assert.Equal(t, reasonsOf(f, s)[0], eligibility.Unhealthy, "the condition is shown until the engine works")
		f.beginTrial(j, s.ID)
		assert.Assert(t, verdict().Excluded, "one at a time")
		assert.NilError(t, f.admitSend(j, s.ID, false))
		recovered, trials := f.TakeRecovered()
		assert.DeepEqual(t, trials, []string{s.ID})
		assert.Equal(t, len(recovered), 0)

		f.engineSucceeded(s, time.Now())
		assert.Equal(t, len(reasonsOf(f, s)), 0)
		recovered, trials = f.TakeRecovered()
		assert.DeepEqual(t, recovered, []string{s.ID})
		assert.Equal(t, len(trials), 0)
	})
}

// TestExcludedEngineGetsNoCopies guards against a copy of a run at an engine that fails everything and is due for a trial
// request: it has all of its memory free, and the run would be lost there.
func TestExcludedEngineGetsNoCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := untilTrial(t, false)
		assert.Assert(t, !f.engineVerdicts(false)(s.ID, time.Now()).Excluded, "a trial is due")
		e := f.service("s").engines
		assert.Assert(t, e.verdicts.Of(s.ID, time.Now()).Excluded)
		f.engineSucceeded(s, time.Now())
		assert.Assert(t, !e.verdicts.Of(s.ID, time.Now()).Excluded)
	})
}

// TestOtherGatewaysEndAnExclusion: what another gateway reports of trials and successes counts as if seen here.
func TestOtherGatewaysEndAnExclusion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, s := untilTrial(t, true)
		f.ReceiveTrial(s.ID)
		assert.Assert(t, f.engineVerdicts(true)(s.ID, time.Now()).Excluded)
		f.ReceiveRecovered("edge-2", s.ID)
		assert.Equal(t, len(reasonsOf(f, s)), 0)
	})
}

// TestEvidence: errors of the engine exclude it; what blames the request, timeouts, failures with the mechanism switched
// off and failures of an engine that is no longer listed don't.
func TestEvidence(t *testing.T) {
	for _, c := range []struct {
		name string
		off  []string
		err  error
		id   string
		want bool
	}{
		{"errors", nil, statusError(500), "", true},
		{"resets", nil, syscall.ECONNRESET, "", true},
		{"invalid requests", nil, statusError(422), "", false},
		{"switched off", []string{"exclusion"}, statusError(500), "", false},
		{"timeouts", nil, context.DeadlineExceeded, "", false},
		{"streams that stand still", nil, errStalled, "", false},
		{"unlisted", nil, statusError(500), "another", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _, s := exclusionEnv(c.off...)
				if c.id != "" {
					s.ID = c.id
				}
				for range 3 {
					f.engineFailed(s, outcome.EngineError, c.err)
					time.Sleep(time.Second)
				}
				assert.Equal(t, f.exclusions.excluded.Load() > 0, c.want)
			})
		})
	}
}

// TestForgottenExclusions: an exclusion ends with the engine's entry, and after a time without failures.
func TestForgottenExclusions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, s := exclusionEnv()
		for _, end := range []func(){
			func() { f.forgetExclusions(func(string) bool { return false }) },
			func() { time.Sleep(time.Minute); f.forgetExclusions(func(string) bool { return true }) },
		} {
			f.ReceiveFailure("edge-2", EngineFailure{ID: s.ID})
			f.ReceiveFailure("edge-3", EngineFailure{ID: s.ID})
			assert.Equal(t, f.exclusions.excluded.Load(), int64(1))
			end()
			assert.Equal(t, f.exclusions.excluded.Load(), int64(0))
		}
	})
}
