package proofs

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// promises are the statuses that say that a request has not run and never will.
var promises = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// TestRefusedHasNotRun guards against a gateway that refuses, with one of the statuses that promise it has not run, a request that a
// server has run: servers that have run it answer with such a status themselves, and don't say that they have not.
func TestRefusedHasNotRun(t *testing.T) {
	c := newGatewayCluster(t, 1)
	for _, s := range c.all() {
		s.Behave(site.Fail)
	}
	for _, status := range promises[:3] {
		for _, s := range c.all() {
			s.FailWith(status)
		}
		for _, kind := range []string{"unsafe", "draft"} {
			seen := 0
			for i := range 5 {
				id := fmt.Sprintf("%s-%d-%d", kind, status, i)
				got := c.ask(t, kind, id)
				ran := 0
				for _, call := range c.log.Calls() {
					if call.ID == id && !call.Refused && (call.Kind == site.Plain || call.Kind == site.Decode) {
						ran++
					}
				}
				seen += ran
				for _, promise := range promises {
					assert.Check(t, got != promise || ran == 0, "%s: %d though it ran %d times", id, got, ran)
				}
			}
			assert.Check(t, seen > 0, "%s: nothing ran", kind)
		}
	}
}

// ask sends a request to the first gateway and returns the status of the answer.
func (c *gatewayCluster) ask(t *testing.T, kind, id string) int {
	t.Helper()
	status, err := c.try(kind, id)
	assert.NilError(t, err)
	return status
}

// try sends a request to the first gateway. Without an error the answer was whole.
func (c *gatewayCluster) try(kind, id string) (status int, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.gateways[0].callers+"/"+kind+"/"+id, strings.NewReader(id))
	if err != nil {
		return 0, err
	}
	r.Host = routeHost
	for name, value := range map[string]string{site.RequestID: id, site.Deadline: "3000", site.Tokens: "1000,50", site.Credentials: "Token " + c.keys.use()} {
		if name != site.Tokens || kind == "draft" {
			r.Header.Set(name, value)
		}
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}
