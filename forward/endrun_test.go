package forward_test

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// newOutliveEnv returns an environment in which the engine that gets the next run resets its connection after two events
// and goes on with it. The function reports whether that engine still ran the request when another one was sent it.
func newOutliveEnv(t *testing.T) (*testEnv, *site.Server, func() bool) {
	w := newCopyEnv(t, unlimited)
	w.changeEngine(func(e *route.Engine) { e.Moves = true })
	first := w.preferred(t)
	first.Behave(site.Answer, site.OutliveConnection)
	var both atomic.Bool
	w.log.Watch(func(c site.Call) {
		if c.Kind == site.Decode && c.Server != first.ID && first.Running(c.ID) {
			both.Store(true)
		}
	})
	return w, first, both.Load
}

// TestRunOutlivesItsConnection guards against a stream that may run once and goes on at its backup while its engine, which
// has lost the connection, still works on it.
func TestRunOutlivesItsConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		moves []site.MoveBehaviour
		// stopped is set if the gateway learns that the engine has stopped the run.
		stopped bool
	}{
		{"stopped", nil, true},
		{"stopped, without room for the copy", []site.MoveBehaviour{site.MoveRefused}, true},
		{"stopped, answer lost", []site.MoveBehaviour{site.MoveLost}, false},
		{"busy at first", []site.MoveBehaviour{site.MoveBusy}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, first, both := newOutliveEnv(t)
			first.BehaveMoves(c.moves...)
			got := w.post(t, "/draft/1", longRun...)
			assert.Equal(t, got.body, whole)
			assert.Assert(t, !got.cut)
			assert.Assert(t, !both(), "two engines work on the request")
			runs := w.decodes("/draft/1")
			assert.Equal(t, len(runs), 2)
			assert.Equal(t, runs[1].KVFrom, runs[0].Backup+"/id-1")
			assert.Equal(t, w.met.Counter(metrics.RunsOutlived).Count() == 1, c.stopped)
			assert.Equal(t, w.fwd.MemoryInUse("llm"), 0)
			if c.stopped {
				w.awaitNoCopies(t)
			}
		})
	}
}

// TestStoppedRunReturnsWithoutItsBackup guards against a stream that is lost although its engine, which has lost the
// connection, keeps the run.
func TestStoppedRunReturnsWithoutItsBackup(t *testing.T) {
	w, first, _ := newOutliveEnv(t)
	w.log.Watch(func(c site.Call) {
		if c.Kind == site.Move {
			w.log.LoseBackups()
		}
	})
	got := w.post(t, "/draft/1", longRun...)
	assert.Equal(t, got.body, whole)
	runs := w.decodes("/draft/1")
	assert.Equal(t, runs[len(runs)-1].Server, first.ID)
	assert.Equal(t, w.fwd.MemoryInUse("llm"), 0)
}

// TestResumedRunOutlivesItsConnection guards against a stream that is resumed at another engine while the first one, which
// has lost the connection, works on it to its end.
func TestResumedRunOutlivesItsConnection(t *testing.T) {
	w, first, _ := newOutliveEnv(t)
	got := w.post(t, "/resume/1", longRun...)
	assert.Equal(t, got.body, whole)
	assert.Equal(t, len(w.decodes("/resume/1")), 2)
	for first.Running("id-1") {
		assert.NilError(t, t.Context().Err())
	}
	w.awaitCounter(t, metrics.RunsOutlived, 1)
	w.awaitNoCopies(t)
}

// awaitNoCopies waits until engines hold no copy of a run.
func (w *testEnv) awaitNoCopies(t *testing.T) {
	t.Helper()
	for w.log.Copies() > 0 {
		assert.NilError(t, t.Context().Err())
	}
}
