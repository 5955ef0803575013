package forward_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/customershare"
	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// longRun are the headers of a request that is expected to run for seconds.
var longRun = []string{site.Tokens, "1000,4000", site.LengthHint, "3000"}

// newCopyEnv returns an environment whose engines support backups and moves. Copies expire after half a second, as on
// the users' platform.
func newCopyEnv(t *testing.T, limits retrybudget.Limits) *testEnv {
	w := newEngineEnvWith(t, limits)
	w.changeEngine(func(e *route.Engine) { e.Backups, e.ExportTTL = true, 500*time.Millisecond })
	return w
}

// changeEngine changes the description of the engines.
func (w *testEnv) changeEngine(change func(*route.Engine)) {
	table := *w.view.Table()
	e := *table.Services["llm"].Engine
	change(&e)
	table.Services = map[string]route.Service{"plain": table.Services["plain"], "llm": {Name: "llm", Engine: &e}}
	w.view.setTable(&table)
}

// makeResumable makes all stream routes resumable. Without an event a run continues only on a route that allows another
// one; the single attempt of most of them is used up then.
func (w *testEnv) makeResumable() {
	table := *w.view.Table()
	table.Routes = slices.Clone(table.Routes)
	for i := range table.Routes {
		table.Routes[i].Resumable = table.Routes[i].Kind == route.Stream
	}
	w.view.setTable(&table)
}

// preferred returns the engine to which the gateway sends a request while there are no others.
func (w *testEnv) preferred(t *testing.T, headers ...string) *site.Server {
	t.Helper()
	assert.Equal(t, w.post(t, "/draft/0", headers...).status, 200)
	return w.servers[w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Decode }).Server]
}

// decodes are the runs of one path that reached engines.
func (w *testEnv) decodes(path string) (out []site.Call) {
	for _, c := range w.log.Calls() {
		if c.Kind == site.Decode && c.Path == path {
			out = append(out, c)
		}
	}
	return out
}

// A stream of a route without a second run was lost with its engine. With a backup it continues there: every event
// arrives once, under the head of the first answer.
func TestContinuesFromBackup(t *testing.T) {
	for _, c := range []struct {
		name      string
		lost      site.Behaviour
		lastEvent string
		firstHead bool
	}{
		{"cut in the middle", site.CutStream, "2", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newCopyEnv(t, unlimited)
			first := w.preferred(t)
			first.Behave(site.Answer, c.lost)
			got := w.post(t, "/draft/1", longRun...)
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, whole)
			assert.Assert(t, !got.cut)
			runs := w.decodes("/draft/1")
			assert.Equal(t, len(runs), 2)
			assert.Equal(t, runs[0].Server, first.ID)
			assert.Equal(t, runs[0].Backup, w.servers[runs[1].Server].Addr())
			assert.Equal(t, runs[1].KVFrom, runs[0].Backup+"/id-1")
			assert.Equal(t, runs[1].LastEvent, c.lastEvent)
			assert.Equal(t, got.header.Get(site.Stamp) == first.ID, c.firstHead)
			assert.Equal(t, w.met.Counter(metrics.Continuations).Count(), int64(1))
			assert.Equal(t, w.fwd.MemoryInUse("llm"), 0, "memory of the run or its copy was not returned")
			assert.Assert(t, strings.Contains(w.logged.String(), "run continued from a copy"))
		})
	}
}

// A run that is lost before its second event has no copy yet. An engine that was sent it all the same ran it a second
// time, although the route allows one run.
func TestNoContinuationBeforeCopy(t *testing.T) {
	w := newCopyEnv(t, unlimited)
	w.preferred(t).Behave(site.Answer, site.Reset)
	got := w.post(t, "/draft/1", longRun...)
	assert.Equal(t, got.status, 502)
	assert.Equal(t, len(w.decodes("/draft/1")), 1)
	assert.Equal(t, w.met.Counter(metrics.Continuations).Count(), int64(0))
	assert.Equal(t, w.fwd.MemoryInUse("llm"), 0)
}

// Events 0.6 s apart were taken for a silent engine: a stream that allows one run was closed before its second event.
func TestSlowEventsAreWaitedFor(t *testing.T) {
	w := newCopyEnv(t, unlimited)
	w.preferred(t).Behave(site.Answer, site.SlowStream)
	got := w.post(t, "/draft/1", longRun...)
	assert.Equal(t, got.body, whole)
	assert.Assert(t, !got.cut)
	runs := w.decodes("/draft/1")
	assert.Equal(t, len(runs), 1)
	assert.Assert(t, runs[0].Backup != "")
}

// Without a copy the rules of the route apply: a stream that may be resumed runs again, any other one fails visibly.
func TestRefusedContinuation(t *testing.T) {
	for _, c := range []struct {
		path string
		cut  bool
	}{{"/draft/1", true}, {"/resume/1", false}} {
		w := newCopyEnv(t, unlimited)
		w.preferred(t).Behave(site.Answer, site.CutStream)
		w.log.LoseCopies()
		got := w.post(t, c.path, longRun...)
		assert.Equal(t, got.cut, c.cut, c.path)
		assert.Assert(t, strings.HasPrefix(whole, got.body), c.path)
		assert.Equal(t, w.fwd.MemoryInUse("llm"), 0)
	}
}

// The last attempt of a route is backed up, and the continuation is no further attempt.
func TestLastAttemptIsBackedUp(t *testing.T) {
	w := newCopyEnv(t, unlimited)
	w.add(t, "d3", "llm", registry.Decode)
	for _, id := range []string{"d1", "d2", "d3"} {
		w.servers[id].Behave(site.CutStream)
	}
	cut := 0
	w.log.Watch(func(c site.Call) {
		if c.Kind != site.Decode {
			return
		}
		if cut++; cut == 2 {
			w.servers["d1"].Behave(site.Answer)
			w.servers["d2"].Behave(site.Answer)
			w.servers["d3"].Behave(site.Answer)
		}
	})
	got := w.post(t, "/resume/1", longRun...)
	runs := w.decodes("/resume/1")
	assert.Equal(t, runs[0].Backup, "", "the route allows another attempt")
	assert.Assert(t, runs[1].Backup != "", "its attempts are used up")
	assert.Equal(t, got.body, whole)
}

// Each continuation takes a retry, so that they add no load beyond the budget.
func TestContinuationTakesRetryBudget(t *testing.T) {
	w := newCopyEnv(t, retrybudget.Limits{Window: time.Hour})
	w.preferred(t).Behave(site.Answer, site.CutStream)
	got := w.post(t, "/draft/1", longRun...)
	assert.Assert(t, got.cut)
	assert.Equal(t, len(w.decodes("/draft/1")), 1)
	assert.Equal(t, w.met.Counter(metrics.ContinuationFailedPrefix+string(outcome.RetryBudgetSpent)).Count(), int64(1))
}

// A backup takes memory and bytes: short runs, runs that can be resumed and engines that declare none get none.
func TestRunsWithoutBackup(t *testing.T) {
	for _, c := range []struct {
		name, path string
		headers    []string
		declared   bool
	}{
		{"short run", "/draft/1", nil, true},
		{"can be resumed", "/resume/1", longRun, true},
		{"not declared", "/draft/1", longRun, false},
	} {
		w := newCopyEnv(t, unlimited)
		w.changeEngine(func(e *route.Engine) { e.Backups = c.declared })
		assert.Equal(t, w.post(t, c.path, c.headers...).status, 200)
		assert.Equal(t, w.decodes(c.path)[0].Backup, "", c.name)
	}
}

// The memory of copies is no demand, by which engines are ordered to other stages.
func TestCopiesAreNoDemand(t *testing.T) {
	w := newCopyEnv(t, unlimited)
	w.makeResumable()
	first := w.preferred(t)
	first.Behave(site.NeverAnswer)
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/draft/1", longRun...) }()
	run := w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Decode && c.Path == "/draft/1" })
	assert.Assert(t, run.Backup != "")
	assert.Equal(t, w.fwd.MemoryInUse("llm"), 4000, "prompt and hint of one run")
	first.CloseClientConnections()
	<-done
	assert.Equal(t, w.fwd.MemoryInUse("llm"), 0)
}

// A key that was revoked while its stream ran gets no continuation.
func TestNoContinuationForRevokedKey(t *testing.T) {
	w := newCopyEnv(t, unlimited)
	w.withTenants(t, route.Tenant{Name: "a", Keys: tenant("a", ownKey).Keys})
	for _, id := range []string{"d1", "d2"} {
		w.servers[id].Behave(site.CutStream)
	}
	w.log.Watch(func(c site.Call) {
		if c.Kind == site.Decode {
			w.withTenants(t, tenant("a", otherKey))
		}
	})
	got := w.post(t, "/draft/1", append(longRun, site.Credentials, scheme+ownKey)...)
	assert.Assert(t, got.cut)
	assert.Equal(t, len(w.decodes("/draft/1")), 1)
}

// An engine that has restarted under its name has lost the run, though its connection is open.
func TestContinuesAfterRestart(t *testing.T) {
	w := newCopyEnv(t, unlimited)
	w.makeResumable()
	first := w.preferred(t)
	first.Behave(site.NeverAnswer)
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/draft/1", longRun...) }()
	w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Decode && c.Path == "/draft/1" })
	for w.log.Copies() == 0 || w.fwd.EndIncarnation(first.ID) == 0 {
		assert.NilError(t, t.Context().Err())
	}
	assert.Equal(t, (<-done).body, whole)
	assert.Equal(t, len(w.decodes("/draft/1")), 2)
}

// TestCustomerHoldsContinuedRun guards against a customer whose run goes on from a copy without counting as its memory.
func TestCustomerHoldsContinuedRun(t *testing.T) {
	w := newCopyEnv(t, unlimited)
	w.withTenants(t, tenant("a", ownKey))
	w.makeResumable()
	first := w.preferred(t, authorization, scheme+ownKey)
	first.Behave(site.NeverAnswer)
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/draft/1", append(longRun, authorization, scheme+ownKey)...) }()
	run := w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Decode && c.Path == "/draft/1" })
	holds := customershare.Figure{Key: customershare.Key{Pool: "llm", Customer: "a"}, Tokens: 4000}
	assert.DeepEqual(t, w.fwd.CustomerMemory(), []customershare.Figure{holds})
	for _, s := range w.servers {
		if s.Addr() == run.Backup {
			s.Behave(site.HoldStream)
		}
	}
	first.CloseClientConnections()
	w.awaitCounter(t, metrics.Continuations, 1)
	assert.DeepEqual(t, w.fwd.CustomerMemory(), []customershare.Figure{holds})
	for _, s := range w.servers {
		s.CloseClientConnections()
	}
	<-done
	w.awaitCustomerMemory(t, 0)
}

// A run that ended because of its deadline or its client is not continued: nobody waits for it.
func TestNoContinuationWithoutClient(t *testing.T) {
	w := newCopyEnv(t, unlimited)
	w.preferred(t).Behave(site.NeverAnswer)
	got := w.post(t, "/draft/1", append(longRun, site.Deadline, "300")...)
	assert.Equal(t, got.status, 504)
	assert.Equal(t, len(w.decodes("/draft/1")), 1)

	ctx, leave := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.addr+"/draft/2", nil)
	assert.NilError(t, err)
	r.Host = "h"
	r.Header = http.Header{site.RequestID: {"id-2"}, site.Tokens: {"1000,4000"}, site.LengthHint: {"3000"}}
	go func() { _, _ = http.DefaultTransport.RoundTrip(r) }()
	w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Decode && c.ID == "id-2" })
	leave()
	w.log.Wait(t, true, func(c site.Call) bool { return c.ID == "id-2" })
	for w.fwd.ActiveStreams() > 0 {
		assert.NilError(t, t.Context().Err())
	}
	assert.Equal(t, len(w.decodes("/draft/2")), 1)
}
