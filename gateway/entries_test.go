package gateway

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fencing"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/stages"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

func quietService() *Service {
	deps := testDeps()
	deps.Log = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	return New(Settings{VM: "g1"}, deps)
}

// TestFaultsAreToldOnce: one line and one count each time that an entry becomes faulty, or faulty in
// another way, not one a reading.
func TestFaultsAreToldOnce(t *testing.T) {
	s := quietService()
	known := entryFaults{}
	bytes := registry.Fault{Instance: "a", Reason: registry.FaultBytes, Found: "{"}
	value := registry.Fault{Instance: "a", Reason: registry.FaultValue, Field: "state", Found: "warming"}
	count := func(r registry.Reason) int64 {
		return s.met.Counter(metrics.EntryUnreadablePrefix + string(r)).Count()
	}
	for _, step := range []struct {
		faults       []registry.Fault
		bytes, value int64
	}{
		{[]registry.Fault{bytes}, 1, 0},
		{[]registry.Fault{bytes}, 1, 0},
		{[]registry.Fault{value}, 1, 1},
		{nil, 1, 1},
		{[]registry.Fault{value}, 1, 2},
	} {
		known.note(s, step.faults)
		assert.Equal(t, count(registry.FaultBytes), step.bytes)
		assert.Equal(t, count(registry.FaultValue), step.value)
	}
}

// engineWithStart counts its orders since a start.
type engineWithStart struct {
	taken, born int64
	ordered     []int64
}

func (e *engineWithStart) OrdersAccepted(context.Context, registry.Server) (int64, int64, error) {
	return e.taken, e.born, nil
}

func (e *engineWithStart) SetStage(_ context.Context, _ registry.Server, _ registry.Stage, _ string, _, taken int64) error {
	e.ordered = append(e.ordered, taken)
	return nil
}

// TestOrderOfAnEarlierStart: an order that was planned for one start is not given to the next one.
func TestOrderOfAnEarlierStart(t *testing.T) {
	s := quietService()
	engine := &engineWithStart{taken: 3, born: 7}
	s.orders, s.lease = engine, fencing.New(memory.New(memory.Options{}).Table(), "orders", "g1", nil)
	planned := registry.Server{ID: "a@6", Born: 6, Stage: registry.Decode}
	_, err := s.order(t.Context(), stages.Move{Server: planned, To: registry.Prefill})
	assert.ErrorIs(t, err, errOtherStart)
	assert.Equal(t, len(engine.ordered), 0)
	planned.ID, planned.Born = "a@7", 7
	_, err = s.order(t.Context(), stages.Move{Server: planned, To: registry.Prefill})
	assert.NilError(t, err)
	assert.DeepEqual(t, engine.ordered, []int64{3})
}

// TestStartsAreTold: what gateways tell of servers and of placement names the start. One that tells
// no starts, as in the middle of an upgrade, means the latest known one, and is understood itself.
func TestStartsAreTold(t *testing.T) {
	const first, second = 1764720000123, 1764720009000
	server := func(born int64) registry.Server {
		return registry.Server{
			ID: registry.Incarnation{Instance: "a", Born: born}.ID(), Born: born, Service: "llm", Addr: "10.0.0.1:80", Zone: "z", Slots: 4,
		}
	}
	s := quietService()
	now := time.Now()
	s.view.applyServers(100, []registry.Server{server(second)}, now)
	told := decodeServers(encodeServers([]registry.Server{server(first), server(second)}))
	assert.DeepEqual(t, told, []registry.Server{server(first), server(second)})
	s.takeServers(serversTold{version: 200, servers: told[:1]}, "another")
	list, _ := s.view.list()
	assert.DeepEqual(t, list, []registry.Server{server(second)})

	load := kvmemory.Load{Tokens: 5000, Runs: 2}
	shares := encodeShares([]kvmemory.Share{{ID: server(second).ID, Load: load}, {ID: "b", Load: load}})
	p := newPlaced(s.view.idOf)
	p.take(&peer.Report{Addr: "g2", Shares: shares}, now)
	for _, id := range []string{server(second).ID, "b"} {
		assert.Equal(t, p.totals[id].Tokens, 5000, id)
	}
	p.take(&peer.Report{Addr: "g2", Shares: encodeShares([]kvmemory.Share{{ID: server(first).ID, Load: load}})}, now)
	assert.Equal(t, p.totals[server(second).ID].Tokens, 0, "what was placed on the earlier start")
	p.take(&peer.Report{Addr: "g2", Shares: []*peer.Share{{Server: "a", Tokens: 700, Runs: 1}}}, now)
	assert.Equal(t, p.totals[server(second).ID].Tokens, 700)
	assert.Equal(t, len(p.totals), 1)
}

// TestToldServersThatCannotBe: a server that another gateway tells and that can't be one gets no work, and
// the others hold.
func TestToldServersThatCannotBe(t *testing.T) {
	good := &peer.Server{Id: "good", Service: "llm", Addr: "10.0.0.1:80", Zone: "z", Slots: 4}
	for _, bad := range []*peer.Server{
		{}, {Id: "x"}, {Id: "x", Service: "llm"}, {Id: "x", Service: "llm", Addr: "nowhere"},
		{Id: "x y", Service: "llm", Addr: "10.0.0.1:80"}, {Id: "", Service: "llm", Addr: "10.0.0.2:80"},
		{Id: "x", Service: "llm", Addr: "10.0.0.2:80", Stage: 9}, {Id: "x", Service: "llm", Addr: "10.0.0.2:80", Born: -1},
		{Id: "x@5", Service: "llm", Addr: "10.0.0.2:80"}, {Id: "x", Service: "llm", Addr: "10.0.0.2:80", Unusable: true},
	} {
		s := quietService()
		s.takeServers(serversTold{version: 100, servers: decodeServers([]*peer.Server{bad, good})}, "another")
		usable := s.view.Servers("llm")
		assert.Equal(t, len(usable), 1, "%v", bad)
		assert.Equal(t, usable[0].ID, "good", "%v", bad)
	}
}

// TestBytesOfStarts: starts make a datagram larger by less than a twentieth.
func TestBytesOfStarts(t *testing.T) {
	size := func(engines int, id func(i int) string) int {
		var placed []kvmemory.Share
		for i := range engines {
			l := kvmemory.Load{Tokens: 15_000 + i, Runs: 3}
			for k := range kvmemory.NumHorizons {
				l.Forecast.Mean[k], l.Forecast.Variance[k] = float64(15_000-700*k), float64(90_000+5_000*k)
			}
			placed = append(placed, kvmemory.Share{ID: id(i), Load: l})
		}
		return proto.Size(&peer.Placement{Addr: "10.1.0.38:8144", Incarnation: 1 << 60, Number: 5000, Shares: encodeShares(placed)})
	}
	instance := func(i int) string { return "i-13d2da52f" + string(rune('0'+i)) }
	for _, engines := range []int{1, 2, 10} {
		without := size(engines, instance)
		with := size(engines, func(i int) string {
			return registry.Incarnation{Instance: instance(i), Born: 1764720000123 + int64(i)*90_000}.ID()
		})
		t.Logf("%d engines: %d bytes, %d with starts", engines, without, with)
		assert.Assert(t, with*20 < without*21, "%d bytes, %d with starts", without, with)
	}
}
