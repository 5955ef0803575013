package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// TestLargeTableIsNotHandedAround: a gateway that has just read a new table only tells its
// version; the others read it themselves. Who still lacks it later is handed the table.
func TestLargeTableIsNotHandedAround(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{VM: "g1"}, testDeps())
		s.view.applyTable(&route.Table{Version: 7}, []byte("table"))
		r := s.Report(3, 0)
		assert.Equal(t, r.GetTableVersion(), int64(7))
		assert.Equal(t, len(r.GetTable()), 0)
		time.Sleep(tableAge)
		assert.Equal(t, string(s.Report(3, 0).GetTable()), "table")
		assert.Equal(t, len(s.Report(7, 0).GetTable()), 0)
	})
}

func testDeps() Deps {
	return Deps{Pool: upstream.New(upstream.Options{}), Metrics: metrics.NewSet()}
}

// TestEqualListIsHandedOnce: two gateways read the list of servers at different versions of
// the store and find the same. Others take either, and are not handed it again and again.
func TestEqualListIsHandedOnce(t *testing.T) {
	list := []registry.Server{{ID: "i-1", Service: "s", Addr: "10.0.0.1:80"}}
	now := time.Now()
	first, second := newView(), newView()
	assert.Assert(t, first.applyServers(100, list, now))
	assert.Assert(t, second.applyServers(103, list, now))

	version, told, newer := second.serversSince(100)
	assert.Assert(t, newer)
	assert.Assert(t, !first.toldServers(version, told, now), "nothing has changed")
	known, _, _ := first.serversSince(0)
	_, _, newer = second.serversSince(known)
	assert.Assert(t, !newer, "the list is known by then")

	assert.Assert(t, !second.applyServers(110, list, now))
	_, _, newer = second.serversSince(known)
	assert.Assert(t, !newer, "reading the same once more is no news")
}
