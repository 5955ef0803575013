package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// epoch is the origin of Uptime in tests.
var epoch = time.Now()

type receivedProof struct {
	version int64
	at      time.Duration
}

// gateway is a LocalState with a route table and a list of servers, for tests.
type gateway struct {
	*Service
	mu             sync.Mutex
	table, servers int64
	// manyServers is set if the list of servers does not fit into a report.
	manyServers bool
	// unusableVersion is a version that can't be used here.
	unusableVersion int64
	// offeredVersion is a version of the table that is reported but not available.
	offeredVersion int64
	fetched        []Fetch
	placed         map[string]uint32
	// provedVersion and provedAge are the proof sent in reports; proofs are those received.
	provedVersion int64
	provedAge     time.Duration
	proofs        []receivedProof
	wake          chan struct{}
	// ended receives the result of Run.
	ended chan error
}

func (g *gateway) Report(servers store.Position) *Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &Report{TableVersion: max(g.table, g.offeredVersion), ServersVersion: g.servers}
	r.ProvedVersion, r.ProvedAgeMs = g.provedVersion, uint32(g.provedAge.Milliseconds())
	if store.Position(g.servers) > servers && !g.manyServers {
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

// versionOf returns a pointer to the version of a state. The caller holds mu.
func (g *gateway) versionOf(s State) *int64 {
	if s == State_ROUTE_TABLE {
		return &g.table
	}
	return &g.servers
}

// stateContent is a state of several parts that hardly compresses.
func stateContent(s State, version int64) []byte {
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
	return version, stateContent(s, version)
}

func (g *gateway) ApplyState(s State, version int64, data []byte, _ string) error {
	if !bytes.Equal(data, stateContent(s, version)) {
		return errors.New("content differs")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if version == g.unusableVersion {
		return errors.New("unusable version")
	}
	v := g.versionOf(s)
	*v = max(*v, version)
	g.changed()
	return nil
}

func (g *gateway) StoreLost() bool { return true }

func (g *gateway) Uptime() time.Duration { return time.Since(epoch) }

func (g *gateway) ReceiveProof(version, _ int64, at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.proofs = append(g.proofs, receivedProof{version, at})
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

// changed wakes the goroutines blocked in await. The caller holds mu.
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
		case err := <-g.ended:
			t.Fatalf("%s: the gateway has ended: %v", what, err)
		case <-t.Context().Done():
			t.Fatal(what)
		}
	}
}

// reserved holds the listeners of the addresses that freeAddress has returned, until a gateway starts there.
var reserved sync.Map

// freeAddress reserves an address for a gateway. The listener stays open: between its end and the start of the
// gateway, the kernel offered the same port to a second gateway or to an outgoing connection in one of some ten
// thousand tests, and the gateway could not listen.
func freeAddress(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := lis.Addr().String()
	reserved.Store(addr, lis)
	t.Cleanup(func() {
		if _, unused := reserved.LoadAndDelete(addr); unused {
			_ = lis.Close()
		}
	})
	return addr
}

// reservedNetwork is TCP with the listeners of freeAddress. As long as no gateway has started at an address, it
// refuses connections.
type reservedNetwork struct{ tcpNetwork }

func (n reservedNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if _, unused := reserved.Load(addr); unused {
		return nil, syscall.ECONNREFUSED
	}
	return n.tcpNetwork.Dial(ctx, addr)
}

func (n reservedNetwork) Listen(addr string) (net.Listener, error) {
	if lis, ok := reserved.LoadAndDelete(addr); ok {
		return lis.(net.Listener), nil
	}
	return n.tcpNetwork.Listen(addr)
}

func newGateway(addr string, seeds []string) *gateway {
	g := &gateway{placed: map[string]uint32{}, wake: make(chan struct{})}
	g.Service = New(addr, 0, seeds, g)
	return g
}

func startGateway(t *testing.T, addr string, seeds ...string) *gateway {
	g := newGateway(addr, seeds)
	g.SetNetwork(reservedNetwork{})
	ctx, cancel := context.WithCancel(t.Context())
	g.ended = make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.ended <- g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return g
}

// TestChangesSpread: a change known to one gateway alone reaches another whose only seed is a third gateway,
// and also one that starts later.
func TestChangesSpread(t *testing.T) {
	a, b, c, d := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	first := startGateway(t, a, b)
	startGateway(t, b, a)
	third := startGateway(t, c, b)
	first.mu.Lock()
	first.table, first.servers = 7, 40
	first.mu.Unlock()
	first.Announce()
	third.await(t, "the change", func() bool { return third.table == 7 && third.servers == 40 })
	fourth := startGateway(t, d, c)
	fourth.await(t, "the state from before its start", func() bool { return fourth.table == 7 && fourth.servers == 40 })
	assert.Assert(t, fourth.LiveGateways() >= 2)
}

// TestLongListIsFetched: a list too large for a report is fetched, once, in parts.
func TestLongListIsFetched(t *testing.T) {
	a, b := freeAddress(t), freeAddress(t)
	first, second := startGateway(t, a, b), startGateway(t, b, a)
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
	s.receive(&Report{Addr: "c"})
	assert.Equal(t, s.Rank(), 0)
	s.receive(&Report{Addr: "a"})
	assert.Equal(t, s.Rank(), 1)
	s.receive(&Report{Addr: "a", Leaving: true})
	assert.Equal(t, s.Rank(), 0, "a leaving gateway does not count")
}

// freePort returns a loopback port on which nothing listens for datagrams.
func freePort(t *testing.T) int {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	return conn.LocalAddr().(*net.UDPAddr).Port
}

func TestPlacementIsSent(t *testing.T) {
	port := freePort(t)
	got := make(chan *Placement, 1)
	in := newDatagrams(port)
	assert.NilError(t, in.listen(t.Context(), "127.0.0.1:1", func(p *Placement) { got <- p }))
	in.send([]string{"127.0.0.1:9", "no address"}, &Placement{Addr: "x", Shares: []*Share{{Server: "i-1", Tokens: 5}}})
	p := <-got
	assert.Equal(t, p.GetNumber(), uint64(1))
	assert.Equal(t, in.lastNumber(), uint64(1))
	assert.Equal(t, p.GetShares()[0].GetTokens(), uint32(5))
}

// TestLargePlacementIsSplit: a placement on more engines than fit into a datagram arrives completely.
func TestLargePlacementIsSplit(t *testing.T) {
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
	received, numbers := map[string]bool{}, map[uint64]bool{}
	for len(received) < engines {
		p := <-got
		assert.Equal(t, p.GetIncarnation(), uint64(7))
		assert.Assert(t, !numbers[p.GetNumber()], "each datagram has its own number")
		numbers[p.GetNumber()] = true
		for _, s := range p.GetShares() {
			received[s.GetServer()] = true
		}
	}
	assert.Assert(t, len(numbers) > 1)
}

// TestSuspectsHaveNoNumber: observations of requests in progress at terminated servers share the datagrams of
// placements, and must not make an earlier report of placements look outdated.
func TestSuspectsHaveNoNumber(t *testing.T) {
	port := freePort(t)
	got := make(chan *Placement, 1)
	in := newDatagrams(port)
	assert.NilError(t, in.listen(t.Context(), "127.0.0.1:1", func(p *Placement) { got <- p }))
	in.send([]string{"127.0.0.1:9"}, &Placement{Addr: "x", Suspects: &Suspects{Holds: []*Hold{{Content: []byte("c"), LeftMs: 5}}}})
	p := <-got
	assert.Equal(t, p.GetNumber(), uint64(0))
	assert.Equal(t, in.lastNumber(), uint64(0))
	assert.Equal(t, p.GetSuspects().GetHolds()[0].GetLeftMs(), uint64(5))
}

// TestCustomerMemoryHasNumber guards against figures of customers' memory that an earlier datagram or report replaces.
func TestCustomerMemoryHasNumber(t *testing.T) {
	port := freePort(t)
	got := make(chan *Placement, 2)
	in := newDatagrams(port)
	assert.NilError(t, in.listen(t.Context(), "127.0.0.1:1", func(p *Placement) { got <- p }))
	for number := range uint64(2) {
		in.send([]string{"127.0.0.1:9"}, &Placement{Addr: "x", CustomerMemory: &CustomerMemory{Holders: []uint32{7}, Held: []uint32{0}}})
		p := <-got
		assert.Equal(t, p.GetNumber(), number+1)
		assert.Equal(t, len(p.GetCustomerMemory().GetHeld()), 1, "a figure of zero is sent")
	}
}

// TestProofAgeCountsFromTheRequest: proofs are accepted only from responses, and their age counts from when
// the request was sent. An unsolicited report may have been in transit for any time.
func TestProofAgeCountsFromTheRequest(t *testing.T) {
	a, b := freeAddress(t), freeAddress(t)
	first, second := startGateway(t, a, b), startGateway(t, b, a)
	second.mu.Lock()
	second.provedVersion, second.provedAge = 5, time.Second
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
