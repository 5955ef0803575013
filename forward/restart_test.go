package forward_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// restartDuring sends a request that its first server never answers, restarts that server without closing connections,
// and returns the answer and the calls.
func restartDuring(t *testing.T, w *testEnv, path, kind string) (answer, []site.Call) {
	t.Helper()
	done := make(chan answer, 1)
	go func() { done <- w.post(t, path) }()
	first := w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == kind })
	for _, s := range w.servers {
		s.Behave(site.Answer)
	}
	for w.fwd.EndIncarnation(first.Server) == 0 {
		assert.NilError(t, t.Context().Err())
	}
	return <-done, w.log.Calls()
}

// TestIncarnationTerminated: a run at a server that has restarted is lost, although its connection is open. It is
// handled as after a crash: retried, resumed or failed, depending on its route.
func TestIncarnationTerminated(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		runs   int
	}{
		{"/safe/1", http.StatusOK, 2},
		{"/unsafe/1", http.StatusBadGateway, 1},
		{"/once/1", http.StatusBadGateway, 1},
	} {
		w := newPlainEnv(t)
		for _, s := range w.servers {
			s.Behave(site.NeverAnswer)
		}
		got, calls := restartDuring(t, w, c.path, site.Plain)
		assert.Equal(t, got.status, c.status, c.path)
		assert.Equal(t, len(calls), c.runs, c.path)
	}
}

func TestStreamOfATerminatedIncarnation(t *testing.T) {
	w := newEngineEnv(t)
	w.setDecodeBehaviour(site.StallStream)
	got, _ := restartDuring(t, w, "/resume/1", site.Decode)
	assert.Equal(t, got.body, whole)
	assert.Assert(t, !got.cut, "resumed")

	w = newEngineEnv(t)
	w.setDecodeBehaviour(site.StallStream)
	got, _ = restartDuring(t, w, "/draft/1", site.Decode)
	// Before the first event is sent, the request can still be answered with an error.
	assert.Assert(t, got.cut || got.status == http.StatusBadGateway, "an incomplete answer was reported as complete: %d %q", got.status, got.body)
}

func TestPrefillOfATerminatedIncarnation(t *testing.T) {
	w := newEngineEnv(t)
	w.servers["pre"].Behave(site.NeverAnswer)
	got, calls := restartDuring(t, w, "/draft/1", site.Prefill)
	assert.Equal(t, got.body, whole)
	last := calls[len(calls)-1]
	assert.Equal(t, last.Kind, site.Decode)
	assert.Equal(t, last.KVFrom, "", "the decode engine prefills the prompt itself")
}
