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
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// TestReportsAreSmall: with a large table and thousands of servers, a report holds only versions and a few changes,
// whatever versions the other side has.
func TestReportsAreSmall(t *testing.T) {
	s := New(Settings{VM: "g1"}, testDeps())
	s.view.applyTable(&route.Table{Version: 7}, make([]byte, 1<<20))
	var list []registry.Server
	for i := range 4500 {
		list = append(list, registry.Server{ID: fmt.Sprintf("i-%010x", i), Service: "llm", Addr: "10.1.0.1:8080", Zone: "zone-a"})
	}
	now := time.Now()
	s.view.applyServers(100, list, now)
	const maxBytes = 10 << 10
	r := s.Report(0)
	assert.Equal(t, r.GetTableVersion(), int64(7))
	assert.Equal(t, r.GetServersVersion(), int64(100))
	assert.Assert(t, !r.GetServersTold())
	assert.Assert(t, proto.Size(r) < maxBytes, "%d bytes", proto.Size(r))

	s.view.applyServers(200, list[:4490], now)
	r = s.Report(100)
	assert.Equal(t, len(r.GetRemovedServers()), 10, "a few changes are reported")
	s.view.applyServers(300, list[:4000], now)
	r = s.Report(200)
	assert.Assert(t, !r.GetServersTold(), "many changes are not reported")
	assert.Assert(t, proto.Size(r) < maxBytes, "%d bytes", proto.Size(r))
	s.view.applyServers(400, list[:maxReportServers], now)
	assert.Equal(t, len(s.Report(0).GetServers()), maxReportServers, "a short list is reported whole")
	assert.Assert(t, proto.Size(s.Report(0)) < maxBytes, "%d bytes", proto.Size(s.Report(0)))
}

func testDeps() Deps {
	pool := upstream.New(upstream.Options{})
	return Deps{Pool: pool, Engines: platform.NewEngines(pool, time.Second), Metrics: metrics.NewSet()}
}

// TestEqualListIsSentOnce: two gateways read the same server list at different versions of the store. Other gateways
// take either version, and are not sent the list again and again.
func TestEqualListIsSentOnce(t *testing.T) {
	list := []registry.Server{{ID: "i-1", Service: "s", Addr: "10.0.0.1:80"}}
	now := time.Now()
	first, second := newView(), newView()
	assert.Assert(t, first.applyServers(100, list, now))
	assert.Assert(t, second.applyServers(103, list, now))

	_, update := second.serversSince(100)
	assert.Assert(t, update != nil)
	assert.Assert(t, !first.applyServersUpdate(*update, now), "nothing has changed")
	known, _ := first.serversSince(0)
	_, update = second.serversSince(known)
	assert.Assert(t, update == nil, "the list has been received by then")

	assert.Assert(t, !second.applyServers(110, list, now))
	_, update = second.serversSince(known)
	assert.Assert(t, update == nil, "reading the same list again is no update")
}

// TestListChangesAreReported: a gateway that has the list of an earlier version is sent the changes, one that has
// another list or none the whole list.
func TestListChangesAreReported(t *testing.T) {
	server := func(id, zone string) registry.Server {
		return registry.Server{ID: id, Service: "s", Addr: "10.0.0.1:80", Zone: zone}
	}
	a, b, c := server("a", "z1"), server("b", "z1"), server("c", "z1")
	moved := server("b", "z2")
	now := time.Now()
	reader, receiver := newView(), newView()
	reader.applyServers(100, []registry.Server{a, b}, now)
	_, update := reader.serversSince(0)
	assert.Equal(t, update.base, store.Position(0))
	assert.Assert(t, receiver.applyServersUpdate(*update, now))

	reader.applyServers(200, []registry.Server{a, b, c}, now)
	reader.applyServers(300, []registry.Server{moved, c}, now)
	_, update = reader.serversSince(100)
	assert.DeepEqual(t, update.servers, []registry.Server{moved, c})
	assert.DeepEqual(t, update.removed, []string{"a"})

	other := newView()
	other.applyServers(150, []registry.Server{a}, now)
	assert.Assert(t, !other.applyServersUpdate(*update, now), "changes to a list that it does not have")
	assert.Assert(t, receiver.applyServersUpdate(*update, now))
	assert.DeepEqual(t, receiver.registry.List(), []registry.Server{moved, c})
	assert.Assert(t, !receiver.applyServersUpdate(*update, now), "received twice")

	_, update = reader.serversSince(150)
	assert.Equal(t, update.base, store.Position(0), "the whole list")
	assert.Assert(t, other.applyServersUpdate(*update, now))
	assert.DeepEqual(t, other.registry.List(), []registry.Server{moved, c})

	_, update = receiver.serversSince(100)
	assert.Equal(t, update.base, store.Position(100), "a gateway that received the changes reports them as well")
}

// TestListChangesNameIncarnations: a restarted server is reported as its later incarnation and not as removed too: a
// gateway that knows only instances would confuse the two. A removed server is reported by its instance.
func TestListChangesNameIncarnations(t *testing.T) {
	server := func(instance string, born int64) registry.Server {
		return registry.Server{ID: registry.Incarnation{Instance: instance, Born: born}.ID(), Born: born, Service: "s", Addr: "10.0.0.1:80"}
	}
	now := time.Now()
	reader, receiver := newView(), newView()
	reader.applyServers(100, []registry.Server{server("a", 1), server("b", 1)}, now)
	receiver.applyServers(100, []registry.Server{server("a", 1), server("b", 1)}, now)
	var replaced []registry.Server
	receiver.onReplaced = func(list []registry.Server) { replaced = append(replaced, list...) }
	reader.applyServers(200, []registry.Server{server("a", 2), server("b", 1)}, now)
	reader.applyServers(300, []registry.Server{server("a", 3)}, now)
	_, update := reader.serversSince(100)
	assert.DeepEqual(t, update.servers, []registry.Server{server("a", 3)})
	assert.DeepEqual(t, update.removed, []string{"b"})
	assert.Assert(t, receiver.applyServersUpdate(*update, now))
	assert.DeepEqual(t, receiver.registry.List(), []registry.Server{server("a", 3)})
	assert.DeepEqual(t, replaced, []registry.Server{server("a", 1)})
}
