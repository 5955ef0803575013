package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// TestEntryWithoutConfiguration: until the platform has answered once, an unknown key does not prove that the
// caller is unauthenticated.
func TestEntryWithoutConfiguration(t *testing.T) {
	s := New(DefaultSettings(), event.New("entry", "t", log.PanicLevel), metrics.NewSet())
	s.poller = newPoller(dissemination.NewReader(memory.New(memory.Options{}).Table(), s.state), s.settings.Timing)
	get := func(path string) string {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Header.Set("Authorization", "Bearer k")
		s.handler().ServeHTTP(w, r)
		return w.Result().Status + " " + strings.TrimSpace(w.Body.String())
	}
	assert.Equal(t, get("/healthz"), "503 Service Unavailable starting")
	assert.Assert(t, strings.Contains(get("/v1/models"), `"code":"store_unavailable"`), get("/v1/models"))
	s.recordPoll(context.Background(), s.poller.poll(context.Background()))
	assert.Equal(t, get("/healthz"), "200 OK ready")
	assert.Assert(t, strings.Contains(get("/v1/models"), `"code":"unauthenticated"`), get("/v1/models"))
}
