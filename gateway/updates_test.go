package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// While engines change their stage the server list changes each half second, and a gateway that received a change
// passed it on to all others, which had received it from the same gateway: 4,556 exchanges for each change among 68.
// Small VMs did little else in those seconds: a tenth of the calls in them took over 60 ms at the gateway, against
// one in eighty in the adjacent seconds, at twice the load.
const manyGateways = 68

// exchanges returns the number of exchanges that all gateways have made.
func (cl *cluster) exchanges() int64 {
	var sum int64
	for _, s := range cl.gateways {
		sum += s.peers.Traffic().Exchanges
	}
	return sum
}

// TestUpdatesCostFewExchanges: a change of the server list that one gateway reads, and a route table that all read at
// once, reach all gateways within a second, at a few exchanges per gateway more than usual.
func TestUpdatesCostFewExchanges(t *testing.T) {
	const (
		setupTime  = 8 * time.Second
		updateTime = time.Second
		intervals  = 2
		// perGateway is how many exchanges an update may cost each gateway.
		perGateway = 8
	)
	for _, c := range []struct {
		name   string
		update func(cl *cluster)
		known  func(s *Service) bool
	}{
		{"list of servers, read by one", func(cl *cluster) {
			list := []registry.Server{{ID: "i-1", Service: "llm", Addr: "10.1.0.1:1", Zone: "z", Slots: 1}}
			if s := cl.gateways[0]; s.view.applyServers(7, list, time.Now()) {
				s.serversChanged(7, "store")
			}
		}, func(s *Service) bool { return s.view.listVersion() == 7 }},
		{"route table, read by all", func(cl *cluster) { cl.readTableAll(append(cl.large, cl.small...), 7, 0) },
			func(s *Service) bool { return s.view.version() == 7 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				cl := newCluster(ctx, 15, manyGateways-15)
				time.Sleep(setupTime)
				// All pairs exchange reports once per interval.
				interval := cl.gateways[0].peers.ExchangeInterval()
				assert.Assert(t, updateTime < intervals*interval)
				before := cl.exchanges()
				time.Sleep(intervals * interval)
				usual := cl.exchanges() - before
				before = cl.exchanges()
				c.update(cl)
				time.Sleep(updateTime)
				for i, s := range cl.gateways {
					assert.Check(t, c.known(s), "gateway %d", i)
				}
				time.Sleep(intervals*interval - updateTime)
				cost := cl.exchanges() - before - usual
				t.Logf("%d exchanges as usual, %d more for the update", usual, cost)
				assert.Check(t, cost <= perGateway*manyGateways, "%d exchanges", cost)
				cancel()
				synctest.Wait()
			})
		})
	}
}
