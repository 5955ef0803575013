package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// TestLeaversAreForgotten: what gateways tell each other of servers that leave comes to an end, though each hears it from the
// others for as long as they tell it.
func TestLeaversAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		views := []*view{newView(), newView(), newView()}
		assert.Assert(t, views[0].MarkLeaving(registry.Server{ID: "i-1"}))
		assert.Assert(t, !views[0].MarkLeaving(registry.Server{ID: "i-1"}))
		assert.DeepEqual(t, views[0].leaving.takeNews(), []string{"i-1"})
		assert.Equal(t, len(views[0].leaving.takeNews()), 0)
		told := 0
		for range 400 {
			time.Sleep(leavingTold / 40)
			told = 0
			for i, v := range views {
				told += len(v.leaving.all())
				views[(i+1)%len(views)].toldLeaving(v.leaving.all())
			}
		}
		assert.Equal(t, told, 0)
		for _, v := range views {
			assert.Assert(t, v.Leaving("i-1"), "what is known of the server is kept")
			assert.Equal(t, len(v.leaving.takeNews()), 0)
		}
	})
}
