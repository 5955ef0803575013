package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/enginepace"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

var start = time.Unix(1000, 0)

func report(incarnation, number uint64, tokens uint32) *peer.Report {
	return &peer.Report{Addr: "b", Incarnation: incarnation, Placement: number, Shares: []*peer.Share{{Server: "i-1", Tokens: tokens}}}
}

// constantLoad is the load that a gateway reports without a forecast.
func constantLoad(tokens int) kvmemory.Load {
	return kvmemory.Load{Tokens: tokens, Forecast: kvmemory.Constant(tokens)}
}

func placement(incarnation, number uint64, tokens uint32) *peer.Placement {
	return &peer.Placement{Addr: "b", Incarnation: incarnation, Number: number, Shares: []*peer.Share{{Server: "i-1", Tokens: tokens}}}
}

// TestPeerLoadsKeepNewest: datagrams and reports arrive out of order, and a restarted gateway counts from zero again.
func TestPeerLoadsKeepNewest(t *testing.T) {
	p := newPeerLoads(newView().incarnationID)
	tokens := func() int { return p.totals["i-1"].Tokens }
	p.receivePlacement(placement(1, 1, 5), start)
	assert.Equal(t, tokens(), 0, "no report of that gateway yet")
	p.receiveReport(report(1, 1, 100), start)
	assert.Equal(t, tokens(), 100)
	assert.DeepEqual(t, p.receivePlacement(placement(1, 3, 300), start), map[string]kvmemory.Load{"i-1": constantLoad(300)})
	assert.Assert(t, p.receivePlacement(placement(1, 2, 200), start) == nil, "an outdated datagram")
	p.receiveReport(report(1, 2, 200), start)
	assert.Equal(t, tokens(), 300, "an outdated report")
	p.receiveReport(report(1, 3, 310), start)
	assert.Equal(t, tokens(), 310)
	p.receiveReport(report(2, 0, 0), start)
	assert.Equal(t, tokens(), 0, "restarted: no load of the old process is left")
	assert.Assert(t, p.receivePlacement(placement(2, 0, 0), start) == nil, "a datagram without placement")
	assert.Assert(t, p.receivePlacement(placement(1, 4, 400), start) == nil, "a datagram of the old process")
	p.receivePlacement(placement(2, 1, 50), start)
	assert.Equal(t, tokens(), 50)
	assert.DeepEqual(t, p.refresh(0, start.Add(minPeerLoadTTL)), map[string]kvmemory.Load{"i-1": constantLoad(0)})
	assert.Equal(t, tokens(), 0, "not reporting for too long")
}

// TestPeerLoadsReturnChanges: the changes in a report are returned at once, and all totals at intervals, for engines
// that were not known before.
func TestPeerLoadsReturnChanges(t *testing.T) {
	p := newPeerLoads(newView().incarnationID)
	assert.DeepEqual(t, p.receiveReport(report(1, 1, 100), start), map[string]kvmemory.Load{"i-1": constantLoad(100)})
	other := &peer.Report{Addr: "c", Incarnation: 1, Shares: []*peer.Share{{Server: "i-2", Tokens: 7}}}
	assert.DeepEqual(t, p.receiveReport(other, start), map[string]kvmemory.Load{"i-2": constantLoad(7)})
	assert.DeepEqual(t, p.receiveReport(other, start.Add(refreshInterval)), map[string]kvmemory.Load{"i-1": constantLoad(100), "i-2": constantLoad(7)})
	gone := &peer.Report{Addr: "c", Incarnation: 2}
	assert.DeepEqual(t, p.receiveReport(gone, start.Add(refreshInterval)), map[string]kvmemory.Load{"i-2": constantLoad(0)})
}

// TestPeerLoadTTLFollowsReportInterval: with a hundred gateways each one reports every 2.4 s.
func TestPeerLoadTTLFollowsReportInterval(t *testing.T) {
	p := newPeerLoads(newView().incarnationID)
	p.receiveReport(report(1, 1, 100), start)
	const interval = 2400 * time.Millisecond
	assert.DeepEqual(t, p.refresh(interval, start.Add(interval)), map[string]kvmemory.Load{"i-1": constantLoad(100)})
	assert.DeepEqual(t, p.refresh(interval, start.Add(peerLoadTTLExchanges*interval)), map[string]kvmemory.Load{"i-1": constantLoad(0)})
}

// TestPeerLoadsAreExtrapolated: a gateway's runs continue between two reports, and the reported load is extrapolated
// to the present.
func TestPeerLoadsAreExtrapolated(t *testing.T) {
	p := newPeerLoads(newView().incarnationID)
	r := report(1, 1, 1000)
	r.Shares[0].Runs = 1
	r.Shares[0].Mean = []uint32{100, 200, 300, 400, 500, 600, 700, 800}
	r.Shares[0].Variance = make([]uint64, kvmemory.NumHorizons)
	p.receiveReport(r, start)
	assert.Equal(t, p.totals["i-1"].Forecast.Mean[0], 100.0)
	aged := p.refresh(0, start.Add(500*time.Millisecond))["i-1"]
	assert.Equal(t, aged.Forecast.Mean[0], 300.0)
	assert.Equal(t, aged.Tokens, 1000)
	assert.DeepEqual(t, p.refresh(0, start.Add(minPeerLoadTTL)), map[string]kvmemory.Load{"i-1": {}})
}

// TestShareReportsMaxTokens: the maximum memory of runs is reported. For a gateway of an earlier version, which does
// not report it, the assumed maximum exceeds the expected memory, and an engine with its runs still gets others.
func TestShareReportsMaxTokens(t *testing.T) {
	var l kvmemory.Load
	l.Tokens, l.Runs = 30_000, 2
	l.Forecast.Max = 33_000
	s := encodeShare(kvmemory.Share{ID: "i-1", Load: l})
	assert.Equal(t, decodeLoad(s).Forecast.Max, 33_000.0)
	s.Most = 0
	unreported := decodeLoad(s).Forecast
	assert.Assert(t, unreported.Max > 30_000)
	assert.Assert(t, unreported.Peak(kvmemory.DefaultMargin()) < 10_000, "%g", unreported.Peak(kvmemory.DefaultMargin()))
}

// TestHeldPromptsAreReported: the memory of exported prompts reaches the other gateways, and earlier releases, which
// don't send it, count as holding none.
func TestHeldPromptsAreReported(t *testing.T) {
	p, now := newPeerLoads(func(instance string, _ uint32) string { return instance }), time.Unix(1000, 0)
	shares := encodeShares([]kvmemory.Share{{ID: "pre", Load: kvmemory.Load{Tokens: 100, Held: 6000}}})
	assert.Equal(t, p.receiveReport(&peer.Report{Addr: "g2", Shares: shares}, now)["pre"].Held, 6000)
	assert.Equal(t, p.receiveReport(&peer.Report{Addr: "g3", Shares: []*peer.Share{{Server: "pre", Tokens: 100}}}, now)["pre"].Held, 6000)
	assert.Equal(t, p.receiveReport(&peer.Report{Addr: "g2"}, now)["pre"].Held, 0)
}

// TestPaceOfPeers: gateways add up the pace of an engine that each observed. Gateways that report
// none, or one that can't be, must not change it.
func TestPaceOfPeers(t *testing.T) {
	p := newPeerLoads(newView().incarnationID)
	share := func(tokens, micros int) *peer.Share {
		l := constantLoad(100)
		l.Runs, l.Pace = 1, enginepace.Evidence{Tokens: tokens, Micros: micros}
		return encodeShare(kvmemory.Share{ID: "i-1", Load: l})
	}
	report := func(addr string, s *peer.Share) enginepace.Evidence {
		return p.receiveReport(&peer.Report{Addr: addr, Shares: []*peer.Share{s}}, start)["i-1"].Pace
	}
	assert.Equal(t, report("a", share(100, 700_000)), enginepace.Evidence{Tokens: 100, Micros: 700_000})
	assert.Equal(t, report("b", share(50, 600_000)), enginepace.Evidence{Tokens: 150, Micros: 1_300_000})
	assert.Equal(t, report("c", share(0, 0)), enginepace.Evidence{Tokens: 150, Micros: 1_300_000})
	assert.Equal(t, report("d", &peer.Share{Server: "i-1", Runs: 1, TokenMicros: 1 << 31, TokenWeight: 1}), enginepace.Evidence{Tokens: 150, Micros: 1_300_000})
	assert.Equal(t, report("a", share(0, 0)), enginepace.Evidence{Tokens: 50, Micros: 600_000})
}
