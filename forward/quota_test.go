package forward_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestQuotaLearnsOfRetries: the quota learns the priority of the route, and that a client retries before it decides, also
// where the request is rejected again; with the order of quotas off, nothing about retries is learned from requests that
// were rejected.
func TestQuotaLearnsOfRetries(t *testing.T) {
	for _, c := range []struct {
		name    string
		off     []string
		retried bool
		counted int64
	}{
		{"in the order of classes", nil, true, 1},
		{"first come, first served", []string{"quota-order"}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			off, err := mechanism.Parse(c.off)
			assert.NilError(t, err)
			w := newFullEnv(t)
			w.fwd.Off = off
			own := tenant("a", ownKey)
			own.Priority, own.HasPriority = 3, true
			w.withTenants(t, own)
			w.Table().Match("h", "/draft/2").Priority = 2
			assert.Equal(t, w.post(t, "/draft/1", site.Credentials, scheme+ownKey).status, 200)
			w.quota.left = 0
			assert.Equal(t, w.post(t, "/draft/2", site.Credentials, scheme+ownKey, site.Deadline, "9000").status, 429)
			assert.Equal(t, len(w.quota.requests), 2)
			assert.Assert(t, !w.quota.requests[0].Retried)
			assert.Equal(t, w.quota.requests[1].Retried, c.retried)
			assert.Equal(t, w.quota.requests[1].Priority, 2, "that of the route")
			assert.Equal(t, w.met.Counter(metrics.ClientRetriesRejected).Count(), c.counted)
		})
	}
}
