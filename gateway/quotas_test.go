package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/route"
)

// TestQuotaOfAllGateways: what a customer has used through one gateway is taken off at all others, in reports as well: no
// datagram reaches a gateway of this test.
func TestQuotaOfAllGateways(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		quota := route.Quota{Rate: 1000, Burst: 1000}
		tenants, err := route.NewTenants([]route.Tenant{{Name: "a", Quota: quota}, {Name: "unbounded"}})
		assert.NilError(t, err)
		for _, s := range f.gateways {
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
			assert.Assert(t, take(f.gateways[0]))
		}
		time.Sleep(f.gateways[0].peers.ExchangeInterval())
		// Most of what was used flowed back in the pause; a burst of it is there at most.
		for range 10 {
			take(f.gateways[1])
		}
		time.Sleep(2 * f.gateways[0].peers.ExchangeInterval())
		before := admitted
		for range 40 {
			for _, s := range f.gateways {
				take(s)
			}
			time.Sleep(f.gateways[0].peers.ExchangeInterval())
		}
		spent := 40 * f.gateways[0].peers.ExchangeInterval().Seconds() * quota.Rate
		// Reports come to each gateway once in a pause: those of the meantime see no more than the last ones told.
		most := int(spent+quota.Burst)/100 + len(f.gateways)
		t.Logf("%d admitted, %d at most", admitted-before, most)
		assert.Check(t, admitted-before <= most)
		assert.Check(t, admitted-before >= int(spent)/100/2, "and not much less")

		wait, ok := f.gateways[0].quotas.Take("unbounded", route.Quota{}, 1e9)
		assert.Assert(t, ok && wait == 0)
	})
}
