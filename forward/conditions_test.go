package forward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// reasonsOf returns the reasons of a server's conditions.
func reasonsOf(f *Forwarder, s registry.Server) []eligibility.Reason {
	var out []eligibility.Reason
	for _, c := range f.Conditions(s) {
		out = append(out, c.Reason)
	}
	return out
}

// TestConditionsOfEachKind checks that each policy that keeps requests from a server states it, and only while it does.
func TestConditionsOfEachKind(t *testing.T) {
	const failures = 5
	for _, c := range []struct {
		name  string
		stage registry.Stage
		cause func(f *Forwarder, j *job, s registry.Server)
		want  []eligibility.Reason
	}{
		{"nothing", registry.Whole, func(*Forwarder, *job, registry.Server) {}, nil},
		{"cooldown", registry.Whole, func(f *Forwarder, _ *job, s registry.Server) {
			f.receiveSignals(s, Signals{Cooldown: time.Second})
		}, []eligibility.Reason{eligibility.Cooldown}},
		{"limit", registry.Decode, func(f *Forwarder, _ *job, s registry.Server) {
			f.receiveSignals(s, Signals{Limited: true, Limit: 1})
		}, []eligibility.Reason{eligibility.RateLimit}},
		{"failures of calls", registry.Whole, func(f *Forwarder, j *job, s registry.Server) {
			for range failures {
				f.observeOutcome(j, s, false)
			}
		}, []eligibility.Reason{eligibility.Ejected, eligibility.Failing}},
		{"rejected calls", registry.Whole, func(f *Forwarder, j *job, s registry.Server) {
			for range failures {
				f.observeLoad(j, s, errNotRun, time.Millisecond)
			}
		}, []eligibility.Reason{eligibility.Overload}},
		{"another gateway's report", registry.Prefill, func(f *Forwarder, _ *job, s registry.Server) {
			f.ReceiveFailure("edge-2", EngineFailure{ID: s.ID})
		}, []eligibility.Reason{eligibility.Suspected}},
		{"exports", registry.Prefill, func(f *Forwarder, j *job, s registry.Server) {
			f.avoidPrefillEngine(j, s)
		}, []eligibility.Reason{eligibility.ExportLost}},
		{"reservations", registry.Decode, func(f *Forwarder, j *job, s registry.Server) {
			e, run := f.service(j.service).engines, &kvmemory.Run{Need: 10}
			e.sync(f.View.Servers(j.service), 1000, 1)
			e.memory.Place(s.ID, run)
			e.failed(s.ID, run)
		}, []eligibility.Reason{eligibility.Unresponsive}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, j, s := conditionsEnv(c.stage)
				c.cause(f, j, s)
				assert.DeepEqual(t, reasonsOf(f, s), c.want)
				time.Sleep(time.Minute)
				f.receiveAnswer(s, AnswerHead{Status: 200}, time.Now())
				assert.Equal(t, len(reasonsOf(f, s)), 0, "none outlasts a minute and an answer")
			})
		})
	}
}

// conditionsEnv returns a forwarder with one server of a stage.
func conditionsEnv(stage registry.Stage) (*Forwarder, *job, registry.Server) {
	f, j := benchForwarder(1, stage)
	s := f.View.Servers(j.service)[0]
	cfg := f.Config
	cfg.Log = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	// Another forwarder, which knows nothing of the server yet.
	return New(cfg), j, s
}

// TestWithheldReasons checks the outcome of a request that is not sent to a server, for each reason.
func TestWithheldReasons(t *testing.T) {
	for reason, want := range map[eligibility.Reason]outcome.Reason{
		eligibility.Cooldown: outcome.ServerCooldown, eligibility.RateLimit: outcome.ServerLimited,
		eligibility.Leaving: outcome.Leaving, eligibility.Overload: outcome.Overloaded, eligibility.Down: outcome.NoBackend,
	} {
		f, _, _ := conditionsEnv(registry.Whole)
		err := f.withheld(reason)
		assert.Equal(t, withheldReason(err), reason)
		assert.Equal(t, unavailableReason(withheldReason(err)), want)
		assert.Assert(t, noEvidence(err))
		assert.Equal(t, f.Metrics.Counter("withheld."+reason.String()).Count(), int64(1))
	}
	assert.Equal(t, withheldReason(errNotRun), eligibility.None)
}
