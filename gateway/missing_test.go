package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// wokenView is the view of a gateway that has just read the list, without the server "gone", after it was cut off or frozen.
func wokenView() *view {
	v := newView()
	v.applyStoreList(store.At(1, 1), listOf("gone", "stays"), time.Now())
	time.Sleep(7 * time.Second)
	v.applyStoreList(store.At(1, 5), listOf("stays"), time.Now())
	return v
}

func usableAt(v *view) string {
	out := ""
	for _, s := range v.Servers("s") {
		out += s.ID + " "
	}
	return out
}

// TestGraceEndsWithoutAnotherList guards against a gateway that was cut off and goes on to use a server that has left the list
// meanwhile, since no other list comes.
func TestGraceEndsWithoutAnotherList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := wokenView()
		assert.Equal(t, usableAt(v), "gone stays ", "its entry may come back")
		time.Sleep(registry.Grace - time.Millisecond)
		assert.Equal(t, usableAt(v), "gone stays ")
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, usableAt(v), "stays ")
		v.applyStoreList(store.At(1, 6), listOf("gone", "stays"), time.Now())
		assert.Equal(t, usableAt(v), "gone stays ", "registered again")
	})
}

// TestMissingServerIsNotTold guards against a gateway that was frozen and brings a server back, at gateways that have removed
// it, by the position of a list that lacks it: as a whole list, as a change, and by a digest.
func TestMissingServerIsNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		woken, calm := wokenView(), newView()
		calm.applyStoreList(store.At(1, 1), listOf("gone", "stays"), time.Now())
		calm.applyStoreList(store.At(1, 5), listOf("stays"), time.Now())
		assert.Equal(t, usableAt(calm), "stays ")
		assert.Equal(t, woken.digest(), calm.digest())
		for _, since := range []store.Position{0, store.At(1, 1)} {
			_, update := woken.serversSince(since)
			for _, s := range update.servers {
				assert.Assert(t, s.ID != "gone", "told since %v", since)
			}
			calm.applyServersUpdate(*update, time.Now())
			assert.Equal(t, usableAt(calm), "stays ")
		}
		time.Sleep(registry.Grace)
	})
}

// TestListOfSamePositionRestoresNoServer guards against a gateway of an earlier release that tells such a list.
func TestListOfSamePositionRestoresNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newView()
		v.applyStoreList(store.At(1, 1), listOf("gone", "stays"), time.Now())
		v.applyStoreList(store.At(1, 5), listOf("stays"), time.Now())
		v.applyServersUpdate(serversUpdate{version: store.At(1, 5), servers: listOf("gone", "stays")}, time.Now())
		assert.Equal(t, usableAt(v), "stays ")
	})
}
