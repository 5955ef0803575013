package gateway

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/platform"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// TestReportsAreSmall: with a large table and thousands of servers, a report tells versions and
// few changes alone, whatever the other side has.
func TestReportsAreSmall(t *testing.T) {
	s := New(Settings{VM: "g1"}, testDeps())
	s.view.applyTable(&route.Table{Version: 7}, make([]byte, 1<<20))
	var list []registry.Server
	for i := range 4500 {
		list = append(list, registry.Server{ID: fmt.Sprintf("i-%010x", i), Service: "llm", Addr: "10.1.0.1:8080", Zone: "zone-a"})
	}
	now := time.Now()
	s.view.applyServers(100, list, now)
	const most = 10 << 10
	r := s.Report(0)
	assert.Equal(t, r.GetTableVersion(), int64(7))
	assert.Equal(t, r.GetServersVersion(), int64(100))
	assert.Assert(t, !r.GetServersTold())
	assert.Assert(t, proto.Size(r) < most, "%d bytes", proto.Size(r))

	s.view.applyServers(200, list[:4490], now)
	r = s.Report(100)
	assert.Equal(t, len(r.GetRemovedServers()), 10, "few changes are told")
	s.view.applyServers(300, list[:4000], now)
	r = s.Report(200)
	assert.Assert(t, !r.GetServersTold(), "many are not")
	assert.Assert(t, proto.Size(r) < most, "%d bytes", proto.Size(r))
	s.view.applyServers(400, list[:reportServers], now)
	assert.Equal(t, len(s.Report(0).GetServers()), reportServers, "a short list is told whole")
	assert.Assert(t, proto.Size(s.Report(0)) < most, "%d bytes", proto.Size(s.Report(0)))
}

func testDeps() Deps {
	pool := upstream.New(upstream.Options{})
	return Deps{Pool: pool, Engines: platform.NewEngines(pool, time.Second), Metrics: metrics.NewSet()}
}

// TestEqualListIsHandedOnce: two gateways read the list of servers at different versions of
// the store and find the same. Others take either, and are not handed it again and again.
func TestEqualListIsHandedOnce(t *testing.T) {
	list := []registry.Server{{ID: "i-1", Service: "s", Addr: "10.0.0.1:80"}}
	now := time.Now()
	first, second := newView(), newView()
	assert.Assert(t, first.applyServers(100, list, now))
	assert.Assert(t, second.applyServers(103, list, now))

	_, told := second.serversSince(100)
	assert.Assert(t, told != nil)
	assert.Assert(t, !first.toldServers(*told, now), "nothing has changed")
	known, _ := first.serversSince(0)
	_, told = second.serversSince(known)
	assert.Assert(t, told == nil, "the list is known by then")

	assert.Assert(t, !second.applyServers(110, list, now))
	_, told = second.serversSince(known)
	assert.Assert(t, told == nil, "reading the same once more is no news")
}

// TestChangesAreTold: a gateway that has the list of an earlier version is told what has
// changed, one that has another list or none the whole.
func TestChangesAreTold(t *testing.T) {
	server := func(id, zone string) registry.Server {
		return registry.Server{ID: id, Service: "s", Addr: "10.0.0.1:80", Zone: zone}
	}
	a, b, c := server("a", "z1"), server("b", "z1"), server("c", "z1")
	moved := server("b", "z2")
	now := time.Now()
	reader, hearer := newView(), newView()
	reader.applyServers(100, []registry.Server{a, b}, now)
	_, told := reader.serversSince(0)
	assert.Equal(t, told.base, int64(0))
	assert.Assert(t, hearer.toldServers(*told, now))

	reader.applyServers(200, []registry.Server{a, b, c}, now)
	reader.applyServers(300, []registry.Server{moved, c}, now)
	_, told = reader.serversSince(100)
	assert.DeepEqual(t, told.servers, []registry.Server{moved, c})
	assert.DeepEqual(t, told.removed, []string{"a"})

	stranger := newView()
	stranger.applyServers(150, []registry.Server{a}, now)
	assert.Assert(t, !stranger.toldServers(*told, now), "changes to a list that it does not have")
	assert.Assert(t, hearer.toldServers(*told, now))
	assert.DeepEqual(t, hearer.registry.List(), []registry.Server{moved, c})
	assert.Assert(t, !hearer.toldServers(*told, now), "told twice")

	_, told = reader.serversSince(150)
	assert.Equal(t, told.base, int64(0), "the whole list")
	assert.Assert(t, stranger.toldServers(*told, now))
	assert.DeepEqual(t, stranger.registry.List(), []registry.Server{moved, c})

	_, told = hearer.serversSince(100)
	assert.Equal(t, told.base, int64(100), "who has heard tells changes as well")
}

// TestChangesNameStarts: a server that has started again is told as its later start, and not as removed
// as well: a gateway that knows instances alone would take the one for the other. One that is gone is told by
// its instance.
func TestChangesNameStarts(t *testing.T) {
	server := func(instance string, born int64) registry.Server {
		return registry.Server{ID: registry.Incarnation{Instance: instance, Born: born}.ID(), Born: born, Service: "s", Addr: "10.0.0.1:80"}
	}
	now := time.Now()
	reader, hearer := newView(), newView()
	reader.applyServers(100, []registry.Server{server("a", 1), server("b", 1)}, now)
	hearer.applyServers(100, []registry.Server{server("a", 1), server("b", 1)}, now)
	var ended []registry.Server
	hearer.onEnded = func(list []registry.Server) { ended = append(ended, list...) }
	reader.applyServers(200, []registry.Server{server("a", 2), server("b", 1)}, now)
	reader.applyServers(300, []registry.Server{server("a", 3)}, now)
	_, told := reader.serversSince(100)
	assert.DeepEqual(t, told.servers, []registry.Server{server("a", 3)})
	assert.DeepEqual(t, told.removed, []string{"b"})
	assert.Assert(t, hearer.toldServers(*told, now))
	assert.DeepEqual(t, hearer.registry.List(), []registry.Server{server("a", 3)})
	assert.DeepEqual(t, ended, []registry.Server{server("a", 1)})
}
