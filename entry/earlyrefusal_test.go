package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
)

// TestEarlyRefusalsSayWhetherToRetry guards against requests that are refused for lack of memory and whose callers are told not to come
// back, or when in fractions of seconds.
func TestEarlyRefusalsSayWhetherToRetry(t *testing.T) {
	s := New(DefaultSettings(), &log.Logger{Level: log.PanicLevel}, metrics.NewSet())
	for status, want := range map[int]string{http.StatusServiceUnavailable: "true", http.StatusBadRequest: "false", http.StatusRequestEntityTooLarge: "false"} {
		headers, body := s.earlyRefusal(status)
		assert.Equal(t, headers.Get(shouldRetryHeader), want, "%d", status)
		assert.Check(t, len(body) > 0)
	}
	assert.Equal(t, wholeSeconds(nil, 3100*time.Millisecond), 4*time.Second)
}
