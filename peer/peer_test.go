package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// epoch is from when tests count.
var epoch = time.Now()

type toldProof struct {
	version int64
	at      time.Duration
}

// gateway is a gateway with a table and a list, for tests.
type gateway struct {
	*Service
	mu             sync.Mutex
	table, servers int64
	// manyServers is set if the list of servers does not fit a report.
	manyServers bool
	// refuses is a version that can't be used here.
	refuses int64
	// offers is a version of the table that is told and not there.
	offers  int64
	fetched []Fetch
	placed  map[string]uint32
	// proves is the version that reports say is proved, and the age of that; proofs are those that were taken.
	proves int64
	age    time.Duration
	proofs []toldProof
	wake   chan struct{}
}

func (g *gateway) Report(servers int64) *Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &Report{TableVersion: max(g.table, g.offers), ServersVersion: g.servers}
	r.ProvedVersion, r.ProvedAgeMs = g.proves, uint32(g.age.Milliseconds())
	if g.servers > servers && !g.manyServers {
		r.ServersTold = true
	}
	return r
}

func (g *gateway) Receive(r *Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.GetServersTold() {
		g.servers = max(g.servers, r.GetServersVersion())
	}
	g.changed()
}

func (g *gateway) Version(s State) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return *g.versionOf(s)
}

// versionOf is the version of a state. The caller holds mu.
func (g *gateway) versionOf(s State) *int64 {
	if s == State_ROUTE_TABLE {
		return &g.table
	}
	return &g.servers
}

// content is a state of some parts that hardly compresses.
func content(s State, version int64) []byte {
	out := make([]byte, 5*partBytes/2)
	r := rand.New(rand.NewPCG(uint64(s), uint64(version)))
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	return out
}

func (g *gateway) EncodedState(s State) (int64, []byte) {
	version := g.Version(s)
	if version == 0 {
		return 0, nil
	}
	return version, content(s, version)
}

func (g *gateway) ApplyState(s State, version int64, data []byte, _ string) error {
	if !bytes.Equal(data, content(s, version)) {
		return errors.New("other bytes")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if version == g.refuses {
		return errors.New("not understood")
	}
	v := g.versionOf(s)
	*v = max(*v, version)
	g.changed()
	return nil
}

func (g *gateway) StoreLost() bool { return true }

func (g *gateway) Uptime() time.Duration { return time.Since(epoch) }

func (g *gateway) ReceiveProof(version int64, at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proofs = append(g.proofs, toldProof{version, at})
	g.changed()
}

func (g *gateway) Fetched(f Fetch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fetched = append(g.fetched, f)
	g.changed()
}

func (g *gateway) ReceivePlacement(p *Placement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range p.GetShares() {
		g.placed[s.GetServer()] = s.GetTokens()
	}
	g.changed()
}

// changed wakes those who wait. The caller holds mu.
func (g *gateway) changed() {
	close(g.wake)
	g.wake = make(chan struct{})
}

func (g *gateway) PeerLost(string, error) {}
func (g *gateway) PeerRegained(string)    {}

// await blocks until the state satisfies ok.
func (g *gateway) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for {
		g.mu.Lock()
		done, wake := ok(), g.wake
		g.mu.Unlock()
		if done {
			return
		}
		select {
		case <-wake:
		case <-t.Context().Done():
			t.Fatal(what)
		}
	}
}

func address(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func newGateway(addr string, seeds []string) *gateway {
	g := &gateway{placed: map[string]uint32{}, wake: make(chan struct{})}
	g.Service = New(addr, 0, seeds, g)
	return g
}

func run(t *testing.T, addr string, seeds ...string) *gateway {
	g := newGateway(addr, seeds)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return g
}

// TestChangesSpread: one gateway alone knows of a change; another that only knows a third
// one as its seed learns it, also when it starts later.
func TestChangesSpread(t *testing.T) {
	a, b, c, d := address(t), address(t), address(t), address(t)
	first := run(t, a, b)
	run(t, b, a)
	third := run(t, c, b)
	first.mu.Lock()
	first.table, first.servers = 7, 40
	first.mu.Unlock()
	first.Announce()
	third.await(t, "the change", func() bool { return third.table == 7 && third.servers == 40 })
	late := run(t, d, c)
	late.await(t, "what was before its start", func() bool { return late.table == 7 && late.servers == 40 })
	assert.Assert(t, late.LiveGateways() >= 2)
}

// TestLongListIsFetched: what does not fit a report is fetched, once, in parts.
func TestLongListIsFetched(t *testing.T) {
	a, b := address(t), address(t)
	first, second := run(t, a, b), run(t, b, a)
	first.mu.Lock()
	first.servers, first.manyServers = 40, true
	first.mu.Unlock()
	second.mu.Lock()
	second.manyServers = true
	second.mu.Unlock()
	second.await(t, "the list", func() bool { return second.servers == 40 })
	second.await(t, "the end of the fetch", func() bool { return len(second.fetched) > 0 })
	second.mu.Lock()
	defer second.mu.Unlock()
	assert.Equal(t, len(second.fetched), 1)
	assert.Assert(t, second.fetched[0].Bytes > 2*partBytes, "%d bytes", second.fetched[0].Bytes)
	assert.NilError(t, second.fetched[0].Err)
}

func TestRank(t *testing.T) {
	s := New("b", 0, nil, &gateway{wake: make(chan struct{})})
	assert.Equal(t, s.Rank(), 0, "alone")
	s.take(&Report{Addr: "c"})
	assert.Equal(t, s.Rank(), 0)
	s.take(&Report{Addr: "a"})
	assert.Equal(t, s.Rank(), 1)
	s.take(&Report{Addr: "a", Leaving: true})
	assert.Equal(t, s.Rank(), 0, "who leaves does not count")
}

// freePort is a port of loopback on which nothing listens for datagrams.
func freePort(t *testing.T) int {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	return conn.LocalAddr().(*net.UDPAddr).Port
}

func TestPlacementIsTold(t *testing.T) {
	port := freePort(t)
	got := make(chan *Placement, 1)
	in := newDatagrams(port)
	assert.NilError(t, in.listen(t.Context(), "127.0.0.1:1", func(p *Placement) { got <- p }))
	in.send([]string{"127.0.0.1:9", "no address"}, &Placement{Addr: "x", Shares: []*Share{{Server: "i-1", Tokens: 5}}})
	p := <-got
	assert.Equal(t, p.GetNumber(), uint64(1))
	assert.Equal(t, in.last(), uint64(1))
	assert.Equal(t, p.GetShares()[0].GetTokens(), uint32(5))
}

// TestLargePlacementGoesInParts: a placement on more engines than fit a datagram is told whole.
func TestLargePlacementGoesInParts(t *testing.T) {
	port := freePort(t)
	const engines = 500
	got := make(chan *Placement, engines)
	in := newDatagrams(port)
	assert.NilError(t, in.listen(t.Context(), "127.0.0.1:1", func(p *Placement) { got <- p }))
	var shares []*Share
	for i := range engines {
		shares = append(shares, &Share{Server: fmt.Sprintf("i-%010x", i), Tokens: 5000, Runs: 3, Mean: make([]uint32, 8), Variance: make([]uint64, 8)})
	}
	in.send([]string{"127.0.0.1:9"}, &Placement{Addr: "x", Incarnation: 7, Shares: shares})
	told, numbers := map[string]bool{}, map[uint64]bool{}
	for len(told) < engines {
		p := <-got
		assert.Equal(t, p.GetIncarnation(), uint64(7))
		assert.Assert(t, !numbers[p.GetNumber()], "each has a number of its own")
		numbers[p.GetNumber()] = true
		for _, s := range p.GetShares() {
			told[s.GetServer()] = true
		}
	}
	assert.Assert(t, len(numbers) > 1)
}

// TestSuspectsHaveNoNumber: what tells of requests under which servers ended goes in the same datagrams as placement,
// and must not make a report of placement older than it is.
func TestSuspectsHaveNoNumber(t *testing.T) {
	port := freePort(t)
	got := make(chan *Placement, 1)
	in := newDatagrams(port)
	assert.NilError(t, in.listen(t.Context(), "127.0.0.1:1", func(p *Placement) { got <- p }))
	in.send([]string{"127.0.0.1:9"}, &Placement{Addr: "x", Suspects: &Suspects{Holds: []*Hold{{Content: []byte("c"), LeftMs: 5}}}})
	p := <-got
	assert.Equal(t, p.GetNumber(), uint64(0))
	assert.Equal(t, in.last(), uint64(0))
	assert.Equal(t, p.GetSuspects().GetHolds()[0].GetLeftMs(), uint64(5))
}

// TestProofsCountFromTheQuestion: what a peer has proved is taken from answers alone, and is as old as it says when the
// question was sent. A report that came unasked may have been on its way for any time.
func TestProofsCountFromTheQuestion(t *testing.T) {
	a, b := address(t), address(t)
	first, second := run(t, a, b), run(t, b, a)
	second.mu.Lock()
	second.proves, second.age = 5, time.Second
	second.mu.Unlock()
	before := first.Uptime()
	first.QueryPeers()
	first.await(t, "a proof", func() bool { return len(first.proofs) > 0 })
	first.mu.Lock()
	defer first.mu.Unlock()
	got := first.proofs[0]
	assert.Equal(t, got.version, int64(5))
	assert.Assert(t, got.at >= before-time.Second && got.at < first.Uptime()-time.Second)

	third := newGateway("127.0.0.1:1", nil)
	_, err := third.Exchange(t.Context(), &Report{Addr: "127.0.0.1:2", ProvedVersion: 5, ProvedAgeMs: 1})
	assert.NilError(t, err)
	assert.Equal(t, len(third.proofs), 0)
}
