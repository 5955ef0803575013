package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// TestLeavingReportsExpire: gateways stop reporting a leaving server after a while, although each receives it from
// the others for as long as these report it.
func TestLeavingReportsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		views := []*view{newView(), newView(), newView()}
		assert.Assert(t, views[0].MarkLeaving(registry.Server{ID: "i-1"}))
		assert.Assert(t, !views[0].MarkLeaving(registry.Server{ID: "i-1"}))
		assert.DeepEqual(t, views[0].leaving.takeUpdates(), []string{"i-1"})
		assert.Equal(t, len(views[0].leaving.takeUpdates()), 0)
		reported := 0
		for range 400 {
			time.Sleep(leavingReportTTL / 40)
			reported = 0
			for i, v := range views {
				reported += len(v.leaving.all())
				views[(i+1)%len(views)].receiveLeaving(v.leaving.all())
			}
		}
		assert.Equal(t, reported, 0)
		for _, v := range views {
			assert.Assert(t, v.Leaving("i-1"), "the local state of the server is kept")
			assert.Equal(t, len(v.leaving.takeUpdates()), 0)
		}
	})
}
