package forward_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestServerPromisesWithoutProof guards against passing on a server's status that says that a request has not run, though it
// may have: clients send it again, and it runs twice. Requests that can be repeated get the server's answer.
func TestServerPromisesWithoutProof(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusInternalServerError, http.StatusBadRequest} {
		promise := status != http.StatusInternalServerError && status != http.StatusBadRequest
		for _, c := range []struct {
			path       string
			engines    bool
			repeatable bool
		}{
			{"/unsafe/1", false, false}, {"/once/1", false, false}, {"/safe/1", false, true}, {"/draft/1", true, false}, {"/resume/1", true, true},
		} {
			t.Run(fmt.Sprint(status, c.path), func(t *testing.T) {
				w := newPlainEnv(t)
				if c.engines {
					w = newEngineEnv(t)
				}
				for id, s := range w.servers {
					s.FailWith(status)
					if id != "pre" {
						s.Behave(site.Fail)
					}
				}
				got := w.post(t, c.path)
				want := status
				if promise && !c.repeatable {
					want = http.StatusBadGateway
				}
				assert.Equal(t, got.status, want)
				assert.Equal(t, got.header.Get(site.Stamp) != "", want == status, "a stamp goes with the server's own status")
				assert.Assert(t, want == status || got.header.Get("Retry-After") == "" && got.body == "")
			})
		}
	}
}
