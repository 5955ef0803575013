package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
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
