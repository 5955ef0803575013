package holdback

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

const pollInterval = time.Second

// TestPolledTable checks that a part of a table is read without the rest, and that changes are those since the last
// reading.
func TestPolledTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		whole := memory.New(memory.Options{}).Table()
		put := func(key, value string) {
			assert.NilError(t, whole.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: key, Value: []byte(value)}}}))
		}
		put("a", "0")
		put("q/kept", "1")
		put("q/changed", "1")
		put("q/removed", "1")
		put("qz", "0")
		p := NewPolledTable(whole, "q/", pollInterval)
		rows, position, err := p.All(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 3)
		assert.NilError(t, p.Commit(t.Context(), store.Txn{
			Checks: []store.Check{{Key: "removed", Version: rows[2].Version}},
			Writes: []store.Write{{Key: "removed", Delete: true}, {Key: "changed", Value: []byte("2")}, {Key: "new", Value: []byte("1")}},
		}))
		changed, removed, next, err := p.Changes(t.Context(), position, time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, next > position)
		assert.DeepEqual(t, removed, []string{"removed"})
		assert.Equal(t, len(changed), 2)
		assert.Equal(t, changed[0].Key+changed[1].Key, "changednew")
		_, err = p.Get(t.Context(), "new")
		assert.NilError(t, err)
		changed, removed, _, err = p.Changes(t.Context(), next, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, len(changed)+len(removed), 0)
	})
}

// TestReleaseInPolledTable: a hold that an operator removes from a table without a change feed is lifted, at the process
// that wrote it and at one that has read it.
func TestReleaseInPolledTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		whole := memory.New(memory.Options{}).Table()
		table := func() *PolledTable { return NewPolledTable(whole, "q/", pollInterval) }
		observer, reader := newGuard(false), newGuard(false)
		ignore, backOff := func(error) {}, func(int) { time.Sleep(pollInterval) }
		for _, g := range []*Guard{observer, reader} {
			go g.Follow(t.Context(), table(), ignore, backOff)
			go g.Persist(t.Context(), table(), func() bool { return false }, ignore, backOff)
		}
		for _, server := range []string{"a", "b", "c"} {
			observer.ServerTerminated(server, []quarantine.BrokenAttempt{{Content: crashing}})
		}
		time.Sleep(quarantine.SettleDelay + 2*pollInterval)
		assert.Assert(t, quarantined(observer, crashing) && quarantined(reader, crashing))
		assert.NilError(t, Release(t.Context(), table(), crashing.String()))
		time.Sleep(2 * pollInterval)
		assert.Assert(t, !quarantined(observer, crashing) && !quarantined(reader, crashing))
		list, err := List(t.Context(), table())
		assert.NilError(t, err)
		assert.Equal(t, len(list), 0)
	})
}
