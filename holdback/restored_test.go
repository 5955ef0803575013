package holdback

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// heldCopies is a request in quarantine whose hold one gateway has written and another has read.
type heldCopies struct {
	t              *testing.T
	observer, late *Guard
	table          *rowTable
}

func newHeldCopies(t *testing.T) *heldCopies {
	h := &heldCopies{t: t, observer: newGuard(false), late: newGuard(false), table: emptyTable(store.At(1, 1))}
	for i := range quarantine.MaxTerminations {
		h.observer.ServerTerminated(fmt.Sprint("s", i), []quarantine.BrokenAttempt{{Content: crashing}})
	}
	time.Sleep(quarantine.SettleDelay)
	synctest.Wait()
	h.follow(h.observer, h.table, 0)
	assert.Equal(t, persist(t, h.observer, h.table, false), 1)
	h.table.version = store.At(1, 9)
	h.follow(h.late, h.table, 0)
	assert.Assert(t, quarantined(h.late, crashing))
	return h
}

func emptyTable(version store.Position) *rowTable {
	return &rowTable{Table: memory.New(memory.Options{}).Table(), version: version}
}

// follow has a guard, which has read up to a position, read the complete table.
func (h *heldCopies) follow(g *Guard, table Table, position store.Position) {
	h.t.Helper()
	_, err := g.follow(h.t.Context(), table, position, false)
	assert.NilError(h.t, err)
}

// Guards against a quarantine that ends, for good or for gateways that start later, since the copy lacks its row.
func TestHoldLostWithCopyIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHeldCopies(t)
		restored := emptyTable(store.At(2, 4))
		h.follow(h.late, restored, store.At(1, 9))
		assert.Assert(t, quarantined(h.late, crashing), "no operator has released it")
		// The observer has not read the row that it wrote.
		h.follow(h.observer, restored, store.At(1, 1))
		assert.Assert(t, quarantined(h.observer, crashing))
		assert.Equal(t, persist(t, h.observer, restored, false), 1, "written again")
		started := newGuard(false)
		h.follow(started, restored, 0)
		assert.Assert(t, quarantined(started, crashing))
	})
}

// A gateway that reads the store for all writes a lost hold whose writer is gone.
func TestLostHoldOfAnotherGatewayIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHeldCopies(t)
		restored := emptyTable(store.At(2, 4))
		time.Sleep(persistDelay)
		h.follow(h.late, restored, store.At(1, 9))
		assert.Equal(t, persist(t, h.late, restored, true), 1)
	})
}

// Guards against a quarantine that begins again since the copy lacks its removal.
func TestReleaseLostWithCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHeldCopies(t)
		h.follow(h.late, emptyTable(store.At(1, 12)), store.At(1, 9))
		assert.Assert(t, !quarantined(h.late, crashing), "an operator has released it")
		h.follow(h.late, &rowTable{Table: h.table.Table, version: store.At(2, 9)}, store.At(1, 12))
		assert.Assert(t, !quarantined(h.late, crashing))
		assert.Equal(t, persist(t, h.late, h.table, false), 0, "left to a gateway that reads the store for all")
		assert.Equal(t, persist(t, h.late, h.table, true), 1, "removed again")
		started := newGuard(false)
		h.follow(started, h.table, 0)
		assert.Assert(t, !quarantined(started, crashing))
	})
}
