package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

var start = time.Unix(1000, 0)

func report(incarnation, number uint64, tokens uint32) *peer.Report {
	return &peer.Report{Addr: "b", Incarnation: incarnation, Placement: number, Shares: []*peer.Share{{Server: "i-1", Tokens: tokens}}}
}

// held is what gateways tell without a forecast.
func held(tokens int) kvmemory.Load {
	return kvmemory.Load{Tokens: tokens, Forecast: kvmemory.Constant(tokens)}
}

func told(incarnation, number uint64, tokens uint32) *peer.Placement {
	return &peer.Placement{Addr: "b", Incarnation: incarnation, Number: number, Shares: []*peer.Share{{Server: "i-1", Tokens: tokens}}}
}

// TestPlacedKeepsTheNewest: datagrams and reports overtake each other, and a gateway that
// was started again begins to count anew.
func TestPlacedKeepsTheNewest(t *testing.T) {
	p := newPlaced(newView().idOf)
	placed := func() int { return p.totals["i-1"].Tokens }
	p.change(told(1, 1, 5), start)
	assert.Equal(t, placed(), 0, "nothing is known of that gateway yet")
	p.take(report(1, 1, 100), start)
	assert.Equal(t, placed(), 100)
	assert.DeepEqual(t, p.change(told(1, 3, 300), start), map[string]kvmemory.Load{"i-1": held(300)})
	assert.Assert(t, p.change(told(1, 2, 200), start) == nil, "a datagram that was overtaken")
	p.take(report(1, 2, 200), start)
	assert.Equal(t, placed(), 300, "a report that was overtaken")
	p.take(report(1, 3, 310), start)
	assert.Equal(t, placed(), 310)
	p.take(report(2, 0, 0), start)
	assert.Equal(t, placed(), 0, "started again: nothing of the old process is left")
	assert.Assert(t, p.change(told(2, 0, 0), start) == nil, "a datagram that tells no placement")
	assert.Assert(t, p.change(told(1, 4, 400), start) == nil, "a datagram of the old process")
	p.change(told(2, 1, 50), start)
	assert.Equal(t, placed(), 50)
	assert.DeepEqual(t, p.refresh(0, start.Add(placedLife)), map[string]kvmemory.Load{"i-1": held(0)})
	assert.Equal(t, placed(), 0, "silent for too long")
}

// TestPlacedHandsOnChanges: what a report changes is handed on at once, and everything now
// and then, for engines that were not known before.
func TestPlacedHandsOnChanges(t *testing.T) {
	p := newPlaced(newView().idOf)
	assert.DeepEqual(t, p.take(report(1, 1, 100), start), map[string]kvmemory.Load{"i-1": held(100)})
	other := &peer.Report{Addr: "c", Incarnation: 1, Shares: []*peer.Share{{Server: "i-2", Tokens: 7}}}
	assert.DeepEqual(t, p.take(other, start), map[string]kvmemory.Load{"i-2": held(7)})
	assert.DeepEqual(t, p.take(other, start.Add(refreshInterval)), map[string]kvmemory.Load{"i-1": held(100), "i-2": held(7)})
	gone := &peer.Report{Addr: "c", Incarnation: 2}
	assert.DeepEqual(t, p.take(gone, start.Add(refreshInterval)), map[string]kvmemory.Load{"i-2": held(0)})
}

// TestPlacedLivesAsLongAsReportsTake: before a hundred gateways each is heard every 2.4 s.
func TestPlacedLivesAsLongAsReportsTake(t *testing.T) {
	p := newPlaced(newView().idOf)
	p.take(report(1, 1, 100), start)
	const pace = 2400 * time.Millisecond
	assert.DeepEqual(t, p.refresh(pace, start.Add(pace)), map[string]kvmemory.Load{"i-1": held(100)})
	assert.DeepEqual(t, p.refresh(pace, start.Add(placedPaces*pace)), map[string]kvmemory.Load{"i-1": held(0)})
}

// TestPlacedAges: between two reports a gateway's runs go on, and what it told is read as of now.
func TestPlacedAges(t *testing.T) {
	p := newPlaced(newView().idOf)
	r := report(1, 1, 1000)
	r.Shares[0].Runs = 1
	r.Shares[0].Mean = []uint32{100, 200, 300, 400, 500, 600, 700, 800}
	r.Shares[0].Variance = make([]uint64, kvmemory.NumHorizons)
	p.take(r, start)
	assert.Equal(t, p.totals["i-1"].Forecast.Mean[0], 100.0)
	aged := p.refresh(0, start.Add(500*time.Millisecond))["i-1"]
	assert.Equal(t, aged.Forecast.Mean[0], 300.0)
	assert.Equal(t, aged.Tokens, 1000)
	assert.DeepEqual(t, p.refresh(0, start.Add(placedLife)), map[string]kvmemory.Load{"i-1": {}})
}

// TestShareTellsMost: what runs hold at most is told. For a gateway of an earlier version, which does not tell
// it, it is more than they are thought to take, and an engine with its runs still takes others.
func TestShareTellsMost(t *testing.T) {
	var l kvmemory.Load
	l.Tokens, l.Runs = 30_000, 2
	l.Forecast.Max = 33_000
	s := encodeShare(kvmemory.Share{ID: "i-1", Load: l})
	assert.Equal(t, decodeLoad(s).Forecast.Max, 33_000.0)
	s.Most = 0
	untold := decodeLoad(s).Forecast
	assert.Assert(t, untold.Max > 30_000)
	assert.Assert(t, untold.Peak(kvmemory.DefaultMargin()) < 10_000, "%g", untold.Peak(kvmemory.DefaultMargin()))
}
