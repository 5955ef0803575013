package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/customershare"
	"github.com/hibiscusspur/hibiscusspur/route"
)

func tableWithCustomers(t *testing.T, names ...string) *route.Table {
	var list []route.Tenant
	for _, name := range names {
		list = append(list, route.Tenant{Name: name})
	}
	tenants, err := route.NewTenants(list)
	assert.NilError(t, err)
	return &route.Table{Services: map[string]route.Service{"llm": {Name: "llm"}}, Tenants: tenants}
}

var (
	heldByA   = customershare.Key{Pool: "llm", Customer: "a"}
	waitsForA = customershare.Key{Pool: "llm", Customer: "a", Waiting: true, Priority: 2}
)

func memoryReport(addr string, incarnation, number uint64, figures ...customershare.Figure) *peer.Report {
	return &peer.Report{Addr: addr, Incarnation: incarnation, Placement: number, CustomerMemory: encodeCustomerMemory(figures)}
}

func memoryPlacement(incarnation, number uint64, figures ...customershare.Figure) *peer.Placement {
	return &peer.Placement{Addr: "b", Incarnation: incarnation, Number: number, CustomerMemory: encodeCustomerMemory(figures)}
}

// TestCustomerMemoryOfPeers guards against figures of a gateway that are counted twice, after newer ones, or after it
// has restarted or ceased to report.
func TestCustomerMemoryOfPeers(t *testing.T) {
	p := newPeerLoads(newView().incarnationID)
	names := namesOf(tableWithCustomers(t, "a"))
	want := func(step string, want customershare.Figures) {
		t.Helper()
		got, changed := p.takeCustomerMemory(names)
		assert.Assert(t, changed, step)
		assert.DeepEqual(t, got, want)
		_, changed = p.takeCustomerMemory(names)
		assert.Assert(t, !changed, step)
	}
	p.receiveReport(memoryReport("b", 1, 5, customershare.Figure{Key: heldByA, Tokens: 100}), start)
	want("first report", customershare.Figures{heldByA: 100})
	p.receiveReport(memoryReport("c", 1, 1, customershare.Figure{Key: heldByA, Tokens: 7}), start)
	want("two gateways", customershare.Figures{heldByA: 107})
	p.receivePlacement(memoryPlacement(1, 7, customershare.Figure{Key: waitsForA, Tokens: 30}), start)
	want("datagram", customershare.Figures{heldByA: 107, waitsForA: 30})
	p.receivePlacement(memoryPlacement(1, 6, customershare.Figure{Key: heldByA, Tokens: 900}), start)
	p.receiveReport(memoryReport("b", 1, 6, customershare.Figure{Key: heldByA, Tokens: 800}), start)
	want("a late datagram and a late report", customershare.Figures{heldByA: 107, waitsForA: 30})
	p.receivePlacement(memoryPlacement(1, 8, customershare.Figure{Key: waitsForA}), start)
	want("no longer waiting", customershare.Figures{heldByA: 107})
	p.receiveReport(memoryReport("b", 2, 0), start.Add(time.Second))
	want("restarted", customershare.Figures{heldByA: 7})
	p.receiveReport(&peer.Report{Addr: "d", Shares: []*peer.Share{{Server: "i-1", Tokens: 5}}}, start.Add(time.Second))
	p.refresh(0, start.Add(minPeerLoadTTL))
	want("c is silent, and d of an earlier release", customershare.Figures{})
	assert.Equal(t, p.totals["i-1"].Tokens, 5)
}

// TestCustomersOfOtherVersions guards against figures that are lost or kept when gateways have different configurations,
// as after an outage of the store.
func TestCustomersOfOtherVersions(t *testing.T) {
	p := newPeerLoads(newView().incarnationID)
	before, after := namesOf(tableWithCustomers(t, "other")), namesOf(tableWithCustomers(t, "other", "a"))
	p.receiveReport(memoryReport("b", 1, 1, customershare.Figure{Key: heldByA, Tokens: 100}), start)
	got, _ := p.takeCustomerMemory(before)
	assert.DeepEqual(t, got, customershare.Figures{})
	got, changed := p.takeCustomerMemory(after)
	assert.Assert(t, changed)
	assert.DeepEqual(t, got, customershare.Figures{heldByA: 100})
	got, _ = p.takeCustomerMemory(namesOf(nil))
	assert.DeepEqual(t, got, customershare.Figures{})
}

// TestCustomerMemorySize guards against messages that grow with the customers; docs/design/customer-shares.md has the
// figures.
func TestCustomerMemorySize(t *testing.T) {
	all := customershare.Figures{}
	for i := range 340 {
		customer := fmt.Sprint("customer-", i)
		all[customershare.Key{Pool: "llm", Customer: customer}] = 100_000 + i
		all[customershare.Key{Pool: "llm", Customer: customer, Waiting: true, Priority: 1}] = 100_000 + i
	}
	most := proto.Size(encodeCustomerMemory(all.Largest()))
	one := proto.Size(encodeCustomerMemory([]customershare.Figure{{Key: heldByA, Tokens: 6000}}))
	t.Logf("at most %d bytes, one customer %d", most, one)
	assert.Assert(t, most <= 512 && one <= 16)
	assert.Assert(t, encodeCustomerMemory(nil) == nil, "nothing without customers")
	none := New(Settings{VM: "g"}, testDeps()).Report(0)
	assert.Assert(t, none.GetCustomerMemory() == nil)
}

// TestFaultyCustomerMemory guards against a process that sends lists of different lengths or more than fit.
func TestFaultyCustomerMemory(t *testing.T) {
	m := &peer.CustomerMemory{Holders: make([]uint32, 1000), Held: []uint32{1, 2}, Waiters: []uint32{1}, Waiting: []uint32{1}}
	for i := range m.Holders {
		m.Holders[i] = uint32(i)
	}
	assert.Equal(t, len(decodeCustomerMemory(m)), 2)
	m.Held = make([]uint32, 1000)
	assert.Equal(t, len(decodeCustomerMemory(m)), customershare.MaxFigures)
}

// TestCustomerMemoryReachesOrder guards against figures that are received but not used, or that a service lacks whose
// first request comes later.
func TestCustomerMemoryReachesOrder(t *testing.T) {
	deps := testDeps()
	deps.Log = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	s := New(Settings{VM: "g"}, deps)
	s.installTable(tableWithCustomers(t, "a"), nil, fromStore)
	s.Receive(memoryReport("b", 1, 1, customershare.Figure{Key: heldByA, Tokens: 100}))
	assert.Equal(t, s.fwd.CustomerHolding("a").Held, 0, "no request of that service yet")
	s.fwd.MemoryInUse("llm")
	s.fwd.SetPeerLoads(s.peerLoads.refresh(0, time.Now()))
	s.updateCustomerMemory()
	assert.Equal(t, s.fwd.CustomerHolding("a").Held, 100)
	<-s.customersChanged
	s.ReceivePlacement(memoryPlacement(1, 2, customershare.Figure{Key: waitsForA, Tokens: 30}))
	<-s.customersChanged
	s.updateCustomerMemory()
	got := s.access().Customers[0]
	assert.Equal(t, got.Memory, 100)
	assert.Equal(t, got.MemoryWaiting, 30)
	assert.Equal(t, got.MemoryShare, 100)
	s.peerLoads.refresh(0, time.Now().Add(minPeerLoadTTL))
	s.updateCustomerMemory()
	assert.Equal(t, s.fwd.CustomerHolding("a").Held, 0, "b is silent")
}

// TestCustomerMemoryUpdatesAreBounded guards against an update of all figures for each datagram: at 340 customers and 400
// gateways one took 0.25 ms, and thousands of datagrams arrive in a second.
func TestCustomerMemoryUpdatesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := testDeps()
		deps.Log = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
		s := New(Settings{VM: "g"}, deps)
		s.installTable(tableWithCustomers(t, "a"), nil, fromStore)
		s.fwd.MemoryInUse("llm")
		ctx, cancel := context.WithCancel(t.Context())
		go s.followCustomerMemory(ctx)
		held := func(tokens, want int, message string) {
			t.Helper()
			s.Receive(memoryReport("b", 1, 1, customershare.Figure{Key: heldByA, Tokens: tokens}))
			synctest.Wait()
			assert.Equal(t, s.fwd.CustomerHolding("a").Held, want, message)
		}
		held(100, 100, "the first change is handed on at once")
		held(200, 100, "further ones after the interval for one figure")
		held(300, 100, "together")
		time.Sleep(customerUpdateInterval)
		synctest.Wait()
		assert.Equal(t, s.fwd.CustomerHolding("a").Held, 300)
		cancel()
		synctest.Wait()
	})
}

// BenchmarkCustomerMemoryUpdate measures one update at the size of CONTRIBUTING.md: 340 customers, each in two of 32
// services, at 410 gateways.
func BenchmarkCustomerMemoryUpdate(b *testing.B) {
	s := New(Settings{VM: "g"}, testDeps())
	customer := func(i int) string { return fmt.Sprint("c", i%340) }
	service := func(i int) string { return fmt.Sprint("s", i%8) }
	var tenants []route.Tenant
	for i := range 340 {
		tenants = append(tenants, route.Tenant{Name: customer(i)})
	}
	list, err := route.NewTenants(tenants)
	assert.NilError(b, err)
	table := &route.Table{Services: map[string]route.Service{}, Tenants: list}
	for i := range 32 {
		name := fmt.Sprint("s", i)
		table.Services[name] = route.Service{Name: name}
		s.fwd.MemoryInUse(name)
	}
	s.view.table.Store(table)
	for g := range 410 {
		var figures []customershare.Figure
		for i := range customershare.MaxFigures {
			figures = append(figures, customershare.Figure{Key: customershare.Key{Pool: service(g + i), Customer: customer(g*7 + i*11)}, Tokens: 1000})
		}
		s.peerLoads.receiveReport(memoryReport(fmt.Sprint("g", g), 1, 1, figures...), start)
	}
	n := 0
	for b.Loop() {
		s.peerLoads.customers.changed = true
		n = s.updateCustomerMemory()
	}
	b.ReportMetric(float64(n), "figures")
}
