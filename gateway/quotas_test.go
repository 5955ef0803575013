package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/route"
)

// TestQuotaIsSharedByGateways: the tokens a customer uses through one gateway are deducted at all others, also by
// reports alone: no datagram reaches a gateway in this test.
func TestQuotaIsSharedByGateways(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		quota := route.Quota{Rate: 1000, Burst: 1000}
		tenants, err := route.NewTenants([]route.Tenant{{Name: "a", Quota: quota}, {Name: "unbounded"}})
		assert.NilError(t, err)
		for _, s := range cl.gateways {
			s.quotas.configure(tenants)
		}
		time.Sleep(10 * time.Second)
		admitted := 0
		take := func(s *Service) bool {
			_, ok := s.quotas.Take("a", quota, 100)
			if ok {
				admitted++
			}
			return ok
		}
		for range 8 {
			assert.Assert(t, take(cl.gateways[0]))
		}
		time.Sleep(cl.gateways[0].peers.ExchangeInterval())
		// Most of the tokens used have been refilled in the interval; at most a burst is left.
		for range 10 {
			take(cl.gateways[1])
		}
		time.Sleep(2 * cl.gateways[0].peers.ExchangeInterval())
		before := admitted
		for range 40 {
			for _, s := range cl.gateways {
				take(s)
			}
			time.Sleep(cl.gateways[0].peers.ExchangeInterval())
		}
		refilled := 40 * cl.gateways[0].peers.ExchangeInterval().Seconds() * quota.Rate
		// Reports reach each gateway once per interval: those of the meantime include at most the last reported
		// usage.
		maxAdmitted := int(refilled+quota.Burst)/100 + len(cl.gateways)
		t.Logf("%d admitted, %d at most", admitted-before, maxAdmitted)
		assert.Check(t, admitted-before <= maxAdmitted)
		assert.Check(t, admitted-before >= int(refilled)/100/2, "and not much less")

		wait, ok := cl.gateways[0].quotas.Take("unbounded", route.Quota{}, 1e9)
		assert.Assert(t, ok && wait == 0)
	})
}
