package dissemination

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// fakeTable is a table with a hook before each commit. The hook returns the error of
// the commit and whether it takes effect regardless.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[string]store.Row
	hook        func(n int) (effect bool, err error)
	isDown      func() bool
	commitCalls int
}

func (t *fakeTable) Get(_ context.Context, key string) (store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isDown != nil && t.isDown() {
		return store.Row{}, store.ErrUnavailable
	}
	r, ok := t.rows[key]
	if !ok {
		return r, store.ErrNotFound
	}
	return r, nil
}

func (t *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []store.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))], nil
}

func (t *fakeTable) Commit(_ context.Context, txn store.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commitCalls++
	effect, err := true, error(nil)
	if t.hook != nil {
		effect, err = t.hook(t.commitCalls)
	}
	if !effect {
		return err
	}
	for _, c := range txn.Checks {
		if have := t.rows[c.Key].Version; have != c.Version {
			return &store.ConflictError{Key: c.Key, Want: c.Version, Have: have}
		}
	}
	for _, w := range txn.Writes {
		t.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: t.rows[w.Key].Version + 1}
	}
	return err
}

func newTable() *fakeTable {
	return &fakeTable{rows: make(map[string]store.Row)}
}

func newWriter(t *fakeTable) *Writer {
	n := 0
	return NewWriter(t, func() string { n++; return fmt.Sprintf("change-%p-%d", &n, n) }, time.Now)
}

func singleChange(key, body string) map[string]Change {
	return map[string]Change{key: {Body: body}}
}

func TestCommitWritesHeadRowsAndLog(t *testing.T) {
	table := newTable()
	w := newWriter(table)
	ctx := context.Background()
	rev, err := w.Commit(ctx, "ann", 0, singleChange("contracts/a", "x"))
	assert.NilError(t, err)
	assert.Equal(t, rev, uint64(1))
	rev, err = w.Commit(ctx, "ann", 1, map[string]Change{"contracts/a": {Deleted: true}})
	assert.NilError(t, err)
	assert.Equal(t, rev, uint64(2))
	var r StoredRecord
	assert.NilError(t, json.Unmarshal(table.rows["contracts/a"].Value, &r))
	assert.DeepEqual(t, r, StoredRecord{Revision: 2, Deleted: true})
	e, err := ReadLog(ctx, table, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, e.Records, map[string]StoredRecord{"contracts/a": {Revision: 1, Body: "x"}})
}

func TestTwoOperatorsRace(t *testing.T) {
	table := newTable()
	ctx := context.Background()
	// The second operator commits after the first has read the head and before its commit.
	table.hook = func(n int) (bool, error) {
		if n == 1 {
			table.hook = nil
			table.mu.Unlock()
			_, err := newWriter(table).Commit(ctx, "ben", 0, singleChange("contracts/a", "theirs"))
			table.mu.Lock()
			assert.NilError(t, err)
		}
		return true, nil
	}
	_, err := newWriter(table).Commit(ctx, "ann", 0, map[string]Change{"contracts/a": {Body: "mine"}, "contracts/b": {Body: "mine"}})
	var c *ConflictError
	assert.Assert(t, errors.As(err, &c))
	assert.DeepEqual(t, c.Overlap, []string{"contracts/a"})
	assert.Equal(t, c.Since[0].Author, "ben")
	assert.ErrorContains(t, err, "revision 1 by ben changed contracts/a")
	_, found := table.rows["contracts/b"]
	assert.Assert(t, !found)
}

func TestLostResponses(t *testing.T) {
	lost := store.ErrIndeterminate
	for _, tc := range []struct {
		name    string
		hook    func(n int) (bool, error)
		commits int
	}{
		{"took effect", func(int) (bool, error) { return true, lost }, 1},
		{"had no effect, sent again", func(n int) (bool, error) {
			if n == 1 {
				return false, lost
			}
			return true, nil
		}, 2},
		{"sent again and lost again", func(n int) (bool, error) { return n == 2, lost }, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := newTable()
				table.hook = tc.hook
				rev, err := newWriter(table).Commit(t.Context(), "ann", 0, singleChange("contracts/a", "x"))
				assert.NilError(t, err)
				assert.Equal(t, rev, uint64(1))
				assert.Equal(t, table.rows["contracts/a"].Version, uint64(1))
				assert.Equal(t, table.commitCalls, tc.commits)
			})
		})
	}
}

func TestLostResponseThenConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.hook = func(n int) (bool, error) {
			if n > 1 {
				return true, nil
			}
			table.mu.Unlock()
			_, err := newWriter(table).Commit(t.Context(), "ben", 0, singleChange("contracts/b", "theirs"))
			table.mu.Lock()
			assert.NilError(t, err)
			return false, store.ErrIndeterminate
		}
		_, err := newWriter(table).Commit(t.Context(), "ann", 0, singleChange("contracts/a", "x"))
		var c *ConflictError
		assert.Assert(t, errors.As(err, &c), "%v", err)
	})
}

func TestOutcomeUnknownWhenStoreStaysDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.hook = func(int) (bool, error) { return true, store.ErrIndeterminate }
		table.isDown = func() bool { return table.commitCalls > 0 }
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := newWriter(table).Commit(ctx, "ann", 0, singleChange("contracts/a", "x"))
		var u *UnknownOutcomeError
		assert.Assert(t, errors.As(err, &u), "%v", err)
		assert.Equal(t, u.Revision, uint64(1))
		assert.ErrorContains(t, err, u.ChangeID)
	})
}

func TestUnavailableWritesNothing(t *testing.T) {
	table := newTable()
	table.hook = func(int) (bool, error) { return false, store.ErrUnavailable }
	_, err := newWriter(table).Commit(context.Background(), "ann", 0, singleChange("contracts/a", "x"))
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, table.commitCalls, 1)
}
