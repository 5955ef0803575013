package forward_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// largestAnswer is the longest body of a plain service that is passed on.
const largestAnswer = 16 << 20

// newLargeAnswerEnv has one plain server with answers of so many bytes, in a VM of some memory.
func newLargeAnswerEnv(t *testing.T, vmBytes int64, framing string, bytes int) *testEnv {
	w := newTestEnv(t)
	w.fwd.Memory = vmmemory.New(vmBytes, time.Minute).Answers()
	w.addRaw(t, "p", "plain", registry.Whole, site.RawAnswer{Text: site.StampedHead("200 OK", "p") + framing + "\r\n" + strings.Repeat("x", bytes)})
	return w
}

// TestLargestAnswerIsPassedOnBySmallestVM guards against a bound on memory that leaves no room for an answer that is allowed.
func TestLargestAnswerIsPassedOnBySmallestVM(t *testing.T) {
	for _, framing := range []string{"", "Content-Length: 16777216\r\n"} {
		w := newLargeAnswerEnv(t, 112_000_000, framing, largestAnswer)
		for range 3 {
			got := w.post(t, "/once/1")
			assert.Equal(t, got.status, 200)
			assert.Equal(t, len(got.body), largestAnswer)
		}
		assert.Equal(t, w.fwd.Memory.Held(), int64(0), "room is returned")
	}
}

// TestAnswerWithoutMemoryFails guards against answers that take more memory than there is.
func TestAnswerWithoutMemoryFails(t *testing.T) {
	w := newLargeAnswerEnv(t, 1_000_000, "", 1<<20)
	for range 10 {
		got := w.post(t, "/once/1")
		assert.Equal(t, got.status, 502)
	}
	assert.Equal(t, w.met.Counter(metrics.AttemptFailedPrefix+"answer_incomplete").Count(), int64(10))
	assert.Equal(t, w.fwd.Memory.Held(), int64(0), "room is returned")
}

// TestMalformedAnswersAreCounted guards against bytes that are no answer and show nowhere.
func TestMalformedAnswersAreCounted(t *testing.T) {
	w := newTestEnv(t)
	w.addRaw(t, "bad", "plain", registry.Whole, site.RawAnswer{Text: site.StampedHead("200 OK", "bad") + "X Y: z\r\n\r\nok"})
	assert.Equal(t, w.post(t, "/once/1").status, 502)
	assert.Equal(t, w.met.Counter(metrics.AnswersMalformed).Count(), int64(1))
}
