package proofs

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/claim"
	splatform "github.com/hibiscusspur/hibiscusspur/standin/platform"
)

// lateRunWindow is how long the tests watch for a delayed second run.
const lateRunWindow = 2 * time.Second

// atMostOnce requires wantWhole whole answers, the error code of the last answer, and at most one run in the
// engines. It returns the number of runs.
func (c *cluster) atMostOnce(answers []answer, wantWhole int, code string) int {
	whole := 0
	for _, a := range answers {
		if a.whole {
			whole++
		}
	}
	assert.Equal(c.t, whole, wantWhole, "%v", answers)
	assert.Equal(c.t, answers[len(answers)-1].code, code, "%v", answers)
	runs := 0
	for until := time.Now().Add(lateRunWindow); time.Now().Before(until); time.Sleep(20 * pollInterval) {
		runs = max(runs, c.totalRunsStarted())
	}
	assert.Assert(c.t, runs <= 1, "%d runs", runs)
	return runs
}

// totalRunsStarted counts all runs started in the reachable engines.
func (c *cluster) totalRunsStarted() int {
	n := 0
	for _, b := range c.backends {
		if s, err := b.state(); err == nil {
			n += s.Counters.Begun
		}
	}
	return n
}

// ticket requests a ticket from an entry.
func (e *entry) ticket(t *testing.T) string {
	req, err := http.NewRequest(http.MethodPost, e.url+"/v1/tickets", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	var body struct{ Ticket string }
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&body))
	assert.Assert(t, strings.HasPrefix(body.Ticket, claim.TicketPrefix), body.Ticket)
	return body.Ticket
}

// restartSidecars kills and restarts every sidecar, which loses their in-memory ledgers of tickets.
func (c *cluster) restartSidecars() {
	for _, b := range c.backends {
		b.sidecar.kill()
		b.sidecar.restart()
	}
	for _, e := range c.entries {
		c.awaitServing(e)
	}
}

func (c *cluster) disableStore() { c.storeFault(splatform.Fault{Kind: splatform.Refuse}) }
