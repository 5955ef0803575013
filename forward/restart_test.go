package forward_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// restarted sends a request that its first server never answers, has that server start again, silently,
// and returns the answer and the calls.
func restarted(t *testing.T, w *world, path, kind string) (answer, []site.Call) {
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

// TestStartEnded: what runs at a server that has started again has ended without an answer, though its
// connection is open. It goes on as after a crash: repeated, resumed or told, by its route.
func TestStartEnded(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		runs   int
	}{
		{"/safe/1", http.StatusOK, 2},
		{"/unsafe/1", http.StatusBadGateway, 1},
		{"/once/1", http.StatusBadGateway, 1},
	} {
		w := plain(t)
		for _, s := range w.servers {
			s.Behave(site.Mute)
		}
		got, calls := restarted(t, w, c.path, site.Plain)
		assert.Equal(t, got.status, c.status, c.path)
		assert.Equal(t, len(calls), c.runs, c.path)
	}
}

func TestStreamOfAnEndedStart(t *testing.T) {
	w := engines(t)
	w.both(site.Silent)
	got, _ := restarted(t, w, "/resume/1", site.Decode)
	assert.Equal(t, got.body, whole)
	assert.Assert(t, !got.cut, "resumed")

	w = engines(t)
	w.both(site.Silent)
	got, _ = restarted(t, w, "/draft/1", site.Decode)
	// Before the first event has gone out there is still an answer to give.
	assert.Assert(t, got.cut || got.status == http.StatusBadGateway, "not taken for whole: %d %q", got.status, got.body)
}

func TestPromptOfAnEndedStart(t *testing.T) {
	w := engines(t)
	w.servers["pre"].Behave(site.Mute)
	got, calls := restarted(t, w, "/draft/1", site.Prefill)
	assert.Equal(t, got.body, whole)
	last := calls[len(calls)-1]
	assert.Equal(t, last.Kind, site.Decode)
	assert.Equal(t, last.KVFrom, "", "the decode engine reads the prompt itself")
}
