package forward_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// endsInsideEvent are the behaviours of engines whose streams end in an orderly way inside the third event.
var endsInsideEvent = []site.Behaviour{site.EndInEventID, site.EndInEventData, site.EndBeforeBlankLine}

// framings calls f once with answers in chunks and once with answers that end with their connection.
func framings(t *testing.T, f func(t *testing.T, frame func(*testEnv))) {
	t.Run("chunks", func(t *testing.T) { f(t, func(*testEnv) {}) })
	t.Run("connection", func(t *testing.T) {
		f(t, func(w *testEnv) {
			for _, s := range w.servers {
				s.FrameByConnection(true)
			}
		})
	})
}

// TestTruncatedStreamLooksBrokenOff guards against a stream that its engine broke off inside an event, in an answer that
// ends with its connection, and that reached its client as complete.
func TestTruncatedStreamLooksBrokenOff(t *testing.T) {
	framings(t, func(t *testing.T, frame func(*testEnv)) {
		for _, b := range endsInsideEvent {
			w := newEngineEnv(t)
			frame(w)
			w.setDecodeBehaviour(b)
			got := w.post(t, "/draft/1")
			assert.Check(t, got.cut, "%d: looks complete", b)
			assert.Check(t, strings.HasPrefix(whole, got.body), "%d: %q", b, got.body)
			assert.Check(t, strings.HasSuffix(got.body, "\n\n"), "%d: %q", b, got.body)
		}
	})
}

// TestTruncatedStreamIsResumed guards against a resumable stream that ends inside an event and is not resumed elsewhere.
func TestTruncatedStreamIsResumed(t *testing.T) {
	framings(t, func(t *testing.T, frame func(*testEnv)) {
		for _, b := range endsInsideEvent {
			w := newEngineEnv(t)
			frame(w)
			assert.Equal(t, w.post(t, "/resume/0").status, 200)
			first := w.log.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Decode })
			w.servers[first.Server].Behave(site.Answer, b)
			got := w.post(t, "/resume/1")
			assert.Check(t, !got.cut, "%d", b)
			assert.Check(t, got.body == whole, "%d: %q", b, got.body)
		}
	})
}

// TestStreamTruncatedInItsFirstEventFails guards against a success for a stream of which no whole event arrived.
func TestStreamTruncatedInItsFirstEventFails(t *testing.T) {
	framings(t, func(t *testing.T, frame func(*testEnv)) {
		w := newEngineEnv(t)
		frame(w)
		w.setDecodeBehaviour(site.EndInFirstEvent)
		got := w.post(t, "/draft/1")
		assert.Check(t, got.status == 502, "%d %q", got.status, got.body)
	})
}

// TestTruncatedStreamContinuesAtItsBackup guards against a stream that ends inside an event and is not continued from its
// backup.
func TestTruncatedStreamContinuesAtItsBackup(t *testing.T) {
	framings(t, func(t *testing.T, frame func(*testEnv)) {
		w := newCopyEnv(t, unlimited)
		frame(w)
		w.preferred(t, longRun...).Behave(site.Answer, site.EndInEventData)
		got := w.post(t, "/draft/1", longRun...)
		assert.Check(t, !got.cut)
		assert.Check(t, got.body == whole, "%q", got.body)
		assert.Check(t, w.met.Counter(metrics.Continuations).Count() == 1)
	})
}

// TestTruncatedEventsOfPlainService guards against events of a plain service that end with their connection inside one
// and reach the client as a complete answer.
func TestTruncatedEventsOfPlainService(t *testing.T) {
	w := newPlainEnv(t)
	for _, s := range w.servers {
		s.FrameByConnection(true)
		s.Behave(site.Answer, site.TruncatedEvents)
	}
	got := w.post(t, "/once/1")
	assert.Check(t, got.status == 502, "unsafe: %d %q", got.status, got.body)
	for _, s := range w.servers {
		s.Behave(site.TruncatedEvents)
	}
	got = w.post(t, "/safe/1")
	assert.Check(t, got.status == 502, "safe: %d %q", got.status, got.body)
	assert.Check(t, w.met.Counter(metrics.RetriedPrefix+string(outcome.EngineLost)).Count() == 1, "tried at another server")
}

// TestConnectionFramedAnswersAreWhole guards against losing answers that end with their connection.
func TestConnectionFramedAnswersAreWhole(t *testing.T) {
	w := newEngineEnv(t)
	w.add(t, "p1", "plain", registry.Whole)
	for _, s := range w.servers {
		s.FrameByConnection(true)
	}
	got := w.post(t, "/draft/1")
	assert.Equal(t, got.body, whole)
	assert.Assert(t, !got.cut)
	got = w.post(t, "/safe/1")
	assert.Equal(t, got.body, fmt.Sprintf("answer of %s to %s", "p1", "/safe/1"))
	assert.Assert(t, w.met.Counter(metrics.ConnectionFramed).Count() >= 3)
}

// TestResetConnectionFramedAnswers guards against answers that end with a reset connection and pass for whole.
func TestResetConnectionFramedAnswers(t *testing.T) {
	w := newEngineEnv(t)
	w.add(t, "p1", "plain", registry.Whole)
	for _, s := range w.servers {
		s.FrameByConnection(true)
	}
	w.servers["p1"].Behave(site.CutBody)
	assert.Equal(t, w.post(t, "/once/1").status, 502)
	w.setDecodeBehaviour(site.CutStream)
	got := w.post(t, "/draft/1")
	assert.Assert(t, got.cut || got.status == 502, "%d %q: a reset may overtake all events", got.status, got.body)
}
