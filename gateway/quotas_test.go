package gateway

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
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
			_, ok := s.quotas.Take("a", quota, forward.QuotaRequest{Cost: 100})
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

		wait, ok := cl.gateways[0].quotas.Take("unbounded", route.Quota{}, forward.QuotaRequest{Cost: 1e9})
		assert.Assert(t, ok && wait == 0)
	})
}

// TestQuotaOrderIsExchanged: gateways learn from each other's reports that a customer exceeds its quota, and what each
// class asks for; the customer is logged at most once in ten seconds, and rejections are counted by priority.
func TestQuotaOrderIsExchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged strings.Builder
		m := metrics.NewSet()
		logger := &log.Logger{Writer: &log.IOWriter{Writer: &logged}}
		a, b := newQuotas(logger, m, 0, time.Now()), newQuotas(logger, m, 0, time.Now())
		quota := route.Quota{Rate: 1000, Burst: 1000}
		tenants, err := route.NewTenants([]route.Tenant{{Name: "a", Quota: quota}})
		assert.NilError(t, err)
		for _, q := range []*quotas{a, b} {
			q.configure(tenants)
		}
		time.Sleep(20 * time.Second)
		for range 50 {
			for i, q := range []*quotas{a, b} {
				other := []*quotas{b, a}[i]
				q.Take("a", quota, forward.QuotaRequest{Cost: 50})
				q.Take("a", quota, forward.QuotaRequest{Cost: 50, Priority: 9})
				wire, err := proto.Marshal(q.report(true))
				assert.NilError(t, err)
				u := &peer.Usages{}
				assert.NilError(t, proto.Unmarshal(wire, u))
				other.receive(strconv.Itoa(i), 1, false, u)
				time.Sleep(23 * time.Millisecond)
			}
		}
		first, second := customerAccess("a", 1, "tokens", a.states()["a"]), customerAccess("a", 1, "tokens", b.states()["a"])
		admitted := map[string]float64{}
		for _, c := range append(first.Classes, second.Classes...) {
			admitted[c.Name] += c.Admitted
			assert.Check(t, c.DemandPerS > 1500, "that of both gateways: %+v", c)
		}
		assert.Check(t, first.Ordered && second.Ordered)
		assert.Check(t, admitted["p0-expensive"] > 2*admitted["p3-expensive"], "%v", admitted)
		assert.Equal(t, strings.Count(logged.String(), `"event":747`), 2, "one line for each gateway: %s", logged.String())
		assert.Check(t, m.Counter(metrics.QuotaRejectedPrefix+"p3").Count() > m.Counter(metrics.QuotaRejectedPrefix+"p0").Count())
	})
}

// TestDecodeClasses: classes that this release doesn't know are ignored, and a gateway of an earlier one reports none.
func TestDecodeClasses(t *testing.T) {
	assert.Assert(t, decodeClasses(nil) == nil)
	assert.DeepEqual(t, decodeClasses([]float32{0, 7, 0, 0, 0, 0, 0, 0, 9, 9}), &limit.ReportedDemand{1: 7})
	assert.DeepEqual(t, encodeClasses(&limit.ReportedDemand{1: 7, 3: 8}), []float32{0, 7, 0, 8})
}
