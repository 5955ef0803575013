package proofs

import "testing"

const (
	// smallLinkRate is that of a small gateway's link of 10 Mbit/s, in bytes per second, and smallMemoryMB its memory.
	smallLinkRate = 1_250_000
	smallMemoryMB = 112
	// otherGateways is the number of gateways of the zone that bear whatever comes to them.
	otherGateways = 8
)

// TestRequestsGatheredAtSmallLink guards against a gateway that reads more than its network link bears, while most new connections
// come to it.
func TestRequestsGatheredAtSmallLink(t *testing.T) {
	for _, c := range []struct {
		name                          string
		clients, bodyBytes, bodyOneIn int
	}{
		{"many lookups, some long requests", 400, 60_000, 4},
		{"few connections, long requests", 40, 250_000, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := prepareGatewayCluster(t, 1)
			link := newVMLink(t, smallLinkRate)
			cluster.reachOver(link)
			g := cluster.gateways[0]
			g.settings["limits"] = map[string]any{"memory_mb": smallMemoryMB, "link_mbps": smallLinkRate * 8 / 1e6}
			cluster.startGateways()
			small := &clusterGateway{callers: link.relayIn(g.callers), proc: g.proc}
			w := &crowd{c: cluster, clients: c.clients, bodyBytes: c.bodyBytes, bodyOneIn: c.bodyOneIn, connectsAlways: true}
			w.gateways = amongOthers(small)
			w.checkServed(t, true)
		})
	}
}

// amongOthers returns a gateway and the others of its zone.
func amongOthers(g *clusterGateway) []*clusterGateway {
	gateways := []*clusterGateway{g}
	for range otherGateways {
		gateways = append(gateways, &clusterGateway{})
	}
	return gateways
}
