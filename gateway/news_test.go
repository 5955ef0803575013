package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// A change of the list of servers comes each half second while engines change their stage, and a gateway that
// heard of one told all others, which had heard it from the same one: 4,556 exchanges for each change among 68.
// Small VMs did little else in those seconds: of the calls in them a tenth took over 60 ms at the gateway, one
// in eighty in the seconds beside them, at twice the load.
const manyGateways = 68

// exchanges is the number that all gateways have made.
func (f *fleet) exchanges() int64 {
	var sum int64
	for _, s := range f.gateways {
		sum += s.peers.Traffic().Exchanges
	}
	return sum
}

// TestNewsCostAFewExchangesEach: a change of the list of servers that one gateway reads, and a table that all
// read at once, are known everywhere within a second, for a few exchanges of each gateway beside its usual ones.
func TestNewsCostAFewExchangesEach(t *testing.T) {
	const (
		settle = 8 * time.Second
		soon   = time.Second
		paces  = 2
		// perGateway is what news may cost a gateway, in exchanges.
		perGateway = 8
	)
	for _, c := range []struct {
		name  string
		news  func(f *fleet)
		known func(s *Service) bool
	}{
		{"list of servers, read by one", func(f *fleet) {
			list := []registry.Server{{ID: "i-1", Service: "llm", Addr: "10.1.0.1:1", Zone: "z", Slots: 1}}
			if s := f.gateways[0]; s.view.applyServers(7, list, time.Now()) {
				s.serversChanged(7, "store")
			}
		}, func(s *Service) bool { return s.view.listVersion() == 7 }},
		{"route table, read by all", func(f *fleet) { f.readAll(append(f.large, f.small...), 7, 0) },
			func(s *Service) bool { return s.view.version() == 7 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, 15, manyGateways-15)
				time.Sleep(settle)
				// All pairs exchange reports once in a pace.
				pace := f.gateways[0].peers.ExchangeInterval()
				assert.Assert(t, soon < paces*pace)
				before := f.exchanges()
				time.Sleep(paces * pace)
				usual := f.exchanges() - before
				before = f.exchanges()
				c.news(f)
				time.Sleep(soon)
				for i, s := range f.gateways {
					assert.Check(t, c.known(s), "gateway %d", i)
				}
				time.Sleep(paces*pace - soon)
				cost := f.exchanges() - before - usual
				t.Logf("%d exchanges as usual, %d more for the news", usual, cost)
				assert.Check(t, cost <= perGateway*manyGateways, "%d exchanges", cost)
				cancel()
				synctest.Wait()
			})
		})
	}
}
