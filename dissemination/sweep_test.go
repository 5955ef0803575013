package dissemination

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// agedTable returns a table with 100 changes for each day. Every day a server is
// added and the one of the day before is deleted. A first change writes a contract.
func agedTable(t *testing.T, days int, hook memory.Hook) store.Table {
	t.Helper()
	preparing := true
	table := memory.New(memory.Options{Hook: func(op memory.Op) error {
		if preparing || hook == nil {
			return nil
		}
		return hook(op)
	}}).Table()
	n := 0
	w := NewWriter(table, func() string { n++; return fmt.Sprint(n) }, time.Now)
	commit := func(changes map[string]Change) {
		_, err := w.Commit(t.Context(), "ann", uint64(n), changes)
		assert.NilError(t, err)
	}
	commit(singleChange("contracts/a", "kept"))
	for day := range days {
		commit(map[string]Change{fmt.Sprint("backends/vm-", day): {Body: "x"}, fmt.Sprint("backends/vm-", day-1): {Deleted: true}})
		for range 99 {
			commit(singleChange("contracts/b", "y"))
		}
		time.Sleep(24 * time.Hour)
	}
	preparing = false
	return table
}

func countRows(t *testing.T, table store.Table, prefix string) int {
	t.Helper()
	n := 0
	for after := ""; ; {
		page, err := table.List(context.Background(), prefix, after, 100)
		assert.NilError(t, err)
		n += len(page)
		if len(page) < 100 {
			return n
		}
		after = page[99].Key
	}
}

func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := agedTable(t, 5, nil)
		head, version, err := ReadHead(t.Context(), table)
		assert.NilError(t, err)
		old, empty := NewState(), NewState()
		reader := NewReader(table, old)
		assert.NilError(t, reader.Poll(t.Context()))
		assert.Equal(t, old.Head(), uint64(501))
		before := liveRevisions(old)

		swept, err := NewSweeper(table, time.Second).Sweep(t.Context(), time.Now().Add(-60*time.Hour), time.Now())
		assert.NilError(t, err)
		assert.DeepEqual(t, swept, SweepCounts{LogRows: 301, Tombstones: 3})
		now, nowVersion, err := ReadHead(t.Context(), table)
		assert.NilError(t, err)
		assert.Equal(t, now, head)
		assert.Equal(t, nowVersion, version)

		assert.NilError(t, NewReader(table, empty).Poll(t.Context()))
		assert.DeepEqual(t, liveRevisions(empty), before)
		assert.Equal(t, empty.Since(300).Full, true)
		assert.Equal(t, empty.Since(301).Full, false)
		// A process drops a server that it knows even if the tombstone was deleted.
		behind := NewState()
		applyTo(t, behind, 250, putRecord("backends/vm-1", 102))
		assert.NilError(t, NewReader(table, behind).Poll(t.Context()))
		assert.DeepEqual(t, liveRevisions(behind), before)

		// The newest rows of the log are kept regardless of age.
		_, err = NewSweeper(table, time.Second).Sweep(t.Context(), time.Now(), time.Now())
		assert.NilError(t, err)
		assert.Equal(t, countRows(t, table, LogPrefix), MinLogRows)
	})
}

func TestSweepUnderFaults(t *testing.T) {
	everyThird := func(phase memory.Phase, err error) memory.Hook {
		n := 0
		return func(op memory.Op) error {
			if op.Port != memory.PortTable || op.Phase != phase {
				return nil
			}
			if n++; n%3 == 0 && (op.Write || err == store.ErrUnavailable) {
				return err
			}
			return nil
		}
	}
	for _, c := range []struct {
		name string
		hook memory.Hook
	}{
		{"unavailable", everyThird(memory.Before, store.ErrUnavailable)},
		{"response lost before the effect", everyThird(memory.Before, store.ErrIndeterminate)},
		{"response lost after the effect", everyThird(memory.After, store.ErrIndeterminate)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := agedTable(t, 5, c.hook)
				for range 5 {
					_, err := NewSweeper(table, time.Second).Sweep(t.Context(), time.Now().Add(-60*time.Hour), time.Now())
					if err == nil {
						break
					}
				}
				var n int
				for n == 0 {
					page, _ := table.List(t.Context(), LogPrefix, "", 1000)
					n = len(page)
				}
				assert.Equal(t, n, 200)
			})
		})
	}
}

func TestTwoSweepersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := agedTable(t, 5, nil)
		before := countRows(t, table, BackendPrefix)
		for i := range 2 {
			go func() {
				_, err := NewSweeper(table, time.Duration(i+1)*300*time.Millisecond).Sweep(t.Context(), time.Now().Add(-60*time.Hour), time.Now())
				assert.Check(t, err)
			}()
		}
		time.Sleep(time.Hour)
		assert.Equal(t, countRows(t, table, LogPrefix), 200)
		assert.Equal(t, before-countRows(t, table, BackendPrefix), 3)
	})
}

// A tombstone row that is rewritten between its read and its deletion is kept.
func TestSweepKeepsRecreatedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table store.Table
		recreated := false
		table = agedTable(t, 5, func(op memory.Op) error {
			if op.Write && op.Phase == memory.Before && op.Key == "backends/vm--1" && !recreated {
				recreated = true
				w := NewWriter(table, func() string { return "back" }, time.Now)
				_, err := w.Commit(t.Context(), "ben", 501, singleChange("backends/vm--1", "back"))
				assert.NilError(t, err)
			}
			return nil
		})
		swept, err := NewSweeper(table, time.Second).Sweep(t.Context(), time.Now().Add(-60*time.Hour), time.Now())
		assert.NilError(t, err)
		assert.Equal(t, swept.Tombstones, 2)
		s := NewState()
		assert.NilError(t, NewReader(table, s).Poll(t.Context()))
		assert.Equal(t, liveRevisions(s)["backends/vm--1"], uint64(502))
	})
}

// A sweep in the middle of a snapshot does not make the reader claim deletions whose
// tombstones are already deleted.
func TestSweepDuringSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table store.Table
		swept := false
		table = agedTable(t, 5, func(op memory.Op) error {
			if op.Name == "list" && op.Key == BackendPrefix && op.Phase == memory.Before && !swept {
				swept = true
				_, err := NewSweeper(table, 0).Sweep(t.Context(), time.Now().Add(-60*time.Hour), time.Now())
				assert.NilError(t, err)
			}
			return nil
		})
		s := NewState()
		assert.NilError(t, NewReader(table, s).Poll(t.Context()))
		assert.Equal(t, s.Since(300).Full, true)
		assert.Equal(t, s.Since(301).Full, false)
	})
}
