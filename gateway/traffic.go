package gateway

import (
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/peer"
)

// linkTraffic is one reading of the traffic on the links to other gateways.
type linkTraffic struct {
	peer.Traffic
	sent, received int64
}

// recordTraffic counts the traffic since an earlier reading, and logs it if exchanges failed or others fetched state.
// It returns the new reading.
func (s *Service) recordTraffic(earlier linkTraffic) linkTraffic {
	now := linkTraffic{Traffic: s.peers.Traffic(), sent: s.peers.Sent(), received: s.peers.Received()}
	d := now.Since(earlier.Traffic)
	s.metrics.Counter(metrics.PeerExchanges).Inc(d.Exchanges)
	s.metrics.Counter(metrics.PeerExchangesFailed).Inc(d.Failed)
	s.metrics.Counter(metrics.StateBytesServed).Inc(d.Served)
	if d.Failed > 0 || d.Served > 0 {
		event.PeerTraffic.Log(s.log).Int64("exchanges", d.Exchanges).Int64("failed", d.Failed).
			Int64("served", d.Served).Int64("sent", now.sent-earlier.sent).Int64("received", now.received-earlier.received).Msg("")
	}
	return now
}
