// Package storetest holds the contract tests of the ports of package store. Each
// implementation runs them from its own test files.
package storetest

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// SharedVersions is implemented by tables whose versions count the transactions of
// the whole store, so that the version of a row may increase by more than one.
type SharedVersions interface{ SharedVersions() }

// TestTable runs the contract tests of the table. Each call of fresh returns an empty
// table.
func TestTable(t *testing.T, fresh func(t *testing.T) store.Table) {
	cases := []struct {
		name string
		run  func(*testing.T, store.Table)
	}{
		{"row", tableRow},
		{"versions", tableVersions},
		{"commit is atomic", tableAtomicCommit},
		{"conflict names the row", tableConflict},
		{"list", tableList},
		{"pages", tablePages},
		{"invalid calls", tableInvalid},
		{"concurrent commits", tableConcurrent},
		{"canceled context", tableCanceledContext},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, fresh(t)) })
	}
}

func put(key, value string) store.Write {
	return store.Write{Key: key, Value: []byte(value)}
}

func commit(t *testing.T, tb store.Table, writes ...store.Write) {
	t.Helper()
	assert.NilError(t, tb.Commit(t.Context(), store.Txn{Writes: writes}))
}

func version(t *testing.T, tb store.Table, key string) uint64 {
	t.Helper()
	row, err := tb.Get(t.Context(), key)
	if errors.Is(err, store.ErrNotFound) {
		return 0
	}
	assert.NilError(t, err)
	return row.Version
}

// assertVersion compares a version with that of a table that counts the writes of each
// row. With shared versions it checks only a lower bound, and the absence of a row.
func assertVersion(t *testing.T, tb store.Table, got, want uint64, what ...any) {
	t.Helper()
	if _, shared := tb.(SharedVersions); shared && want > 0 {
		assert.Assert(t, got >= want, what...)
		return
	}
	assert.Equal(t, got, want, what...)
}

func tableRow(t *testing.T, tb store.Table) {
	for _, key := range []string{"plain", "a/b c", "á&=%2F?#+", "line\nbreak"} {
		_, err := tb.Get(t.Context(), key)
		assert.ErrorIs(t, err, store.ErrNotFound)
		commit(t, tb, put(key, "\x00\xff"))
		row, err := tb.Get(t.Context(), key)
		assert.NilError(t, err)
		assertVersion(t, tb, row.Version, 1)
		row.Version = 1
		assert.DeepEqual(t, row, store.Row{Key: key, Value: []byte("\x00\xff"), Version: 1})
	}
}

// tableVersions checks that a version of a key is never reused and that a missing row
// has version 0 for checks.
func tableVersions(t *testing.T, tb store.Table) {
	steps := []struct {
		write store.Write
		want  uint64
	}{
		{store.Write{Key: "k", Delete: true}, 0},
		{put("k", "a"), 1},
		{put("k", "a"), 2},
		{store.Write{Key: "k", Delete: true}, 0},
		{put("k", "b"), 4},
		{store.Write{Key: "k", Delete: true}, 0},
		{store.Write{Key: "k", Delete: true}, 0},
		{put("k", "c"), 6},
	}
	last := uint64(0)
	for i, s := range steps {
		check := store.Check{Key: "k", Version: version(t, tb, "k")}
		txn := store.Txn{Checks: []store.Check{check}, Writes: []store.Write{s.write}}
		assert.NilError(t, tb.Commit(t.Context(), txn), "step %d", i)
		got := version(t, tb, "k")
		assertVersion(t, tb, got, s.want, "step %d", i)
		assert.Assert(t, got == 0 || got > last, "step %d: %d after %d", i, got, last)
		last = max(last, got)
	}
}

func tableAtomicCommit(t *testing.T, tb store.Table) {
	commit(t, tb, put("a", "1"), put("b", "1"))
	before := version(t, tb, "a")
	txn := store.Txn{
		Checks: []store.Check{{Key: "a", Version: before}, {Key: "c", Version: 7}},
		Writes: []store.Write{put("a", "2"), {Key: "b", Delete: true}, put("d", "2")},
	}
	var conflict *store.ConflictError
	assert.Assert(t, errors.As(tb.Commit(t.Context(), txn), &conflict))
	assert.Equal(t, version(t, tb, "a"), before)
	for key, want := range map[string]uint64{"a": 1, "b": 1, "c": 0, "d": 0} {
		assertVersion(t, tb, version(t, tb, key), want, key)
	}
	txn.Checks[1].Version = 0
	assert.NilError(t, tb.Commit(t.Context(), txn))
	assert.Assert(t, version(t, tb, "a") > before)
	for key, want := range map[string]uint64{"a": 2, "b": 0, "c": 0, "d": 1} {
		assertVersion(t, tb, version(t, tb, key), want, key)
	}
}

func tableConflict(t *testing.T, tb store.Table) {
	commit(t, tb, put("k", "1"))
	first := version(t, tb, "k")
	assertVersion(t, tb, first, 1)
	commit(t, tb, put("k", "2"))
	for _, want := range []uint64{0, first, first + 2} {
		txn := store.Txn{Checks: []store.Check{{Key: "k", Version: want}}}
		var conflict *store.ConflictError
		assert.Assert(t, errors.As(tb.Commit(t.Context(), txn), &conflict))
		assert.DeepEqual(t, *conflict, store.ConflictError{Key: "k", Want: want, Have: first + 1})
	}
	matching := store.Txn{Checks: []store.Check{{Key: "k", Version: first + 1}}}
	assert.NilError(t, tb.Commit(t.Context(), matching))
	assert.Equal(t, version(t, tb, "k"), first+1)
}

func tableList(t *testing.T, tb store.Table) {
	commit(t, tb, put("b/2", "x"), put("c", "x"), put("b/10", "x"), put("a", "x"), put("b/1", "x"))
	commit(t, tb, store.Write{Key: "c", Delete: true})
	cases := []struct {
		prefix, after string
		limit         int
		want          string
	}{
		{"", "", 10, "[a b/1 b/10 b/2]"},
		{"", "", 2, "[a b/1]"},
		{"b/", "", 10, "[b/1 b/10 b/2]"},
		{"b/", "a", 10, "[b/1 b/10 b/2]"},
		{"b/", "b/1", 1, "[b/10]"},
		{"b/", "b/11", 10, "[b/2]"},
		{"b/", "b/2", 10, "[]"},
		{"b/", "zz", 10, "[]"},
		{"c", "", 10, "[]"},
	}
	for _, c := range cases {
		rows, err := tb.List(t.Context(), c.prefix, c.after, c.limit)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(keys(rows)), c.want, "prefix %q after %q limit %d", c.prefix, c.after, c.limit)
	}
}

func keys(rows []store.Row) []string {
	var k []string
	for _, r := range rows {
		k = append(k, r.Key)
	}
	return k
}

// tablePages iterates over the table by pages while rows around the position change.
func tablePages(t *testing.T, tb store.Table) {
	for i := range 25 {
		commit(t, tb, put(fmt.Sprintf("r/%02d", i), strconv.Itoa(i)))
	}
	var seen []string
	after := ""
	for {
		rows, err := tb.List(t.Context(), "r/", after, 4)
		assert.NilError(t, err)
		if len(rows) == 0 {
			break
		}
		seen = append(seen, keys(rows)...)
		after = rows[len(rows)-1].Key
		commit(t, tb, store.Write{Key: after, Delete: true}, put("r/", "before"))
	}
	assert.Equal(t, len(seen), 25)
}

func tableInvalid(t *testing.T, tb store.Table) {
	twice := store.Txn{Writes: []store.Write{put("k", "1"), {Key: "k", Delete: true}}}
	calls := map[string]func() error{
		"empty key":       func() error { _, err := tb.Get(t.Context(), ""); return err },
		"limit zero":      func() error { _, err := tb.List(t.Context(), "", "", 0); return err },
		"limit too large": func() error { _, err := tb.List(t.Context(), "", "", store.MaxList+1); return err },
		"empty txn":       func() error { return tb.Commit(t.Context(), store.Txn{}) },
		"key twice":       func() error { return tb.Commit(t.Context(), twice) },
		"key not UTF-8":   func() error { return tb.Commit(t.Context(), store.Txn{Writes: []store.Write{put("\xff", "")}}) },
		"check of no key": func() error { return tb.Commit(t.Context(), store.Txn{Checks: []store.Check{{}}}) },
	}
	for name, call := range calls {
		assert.ErrorIs(t, call(), store.ErrInvalid, name)
	}
	rows, err := tb.List(t.Context(), "", "", store.MaxList)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
}

// tableConcurrent moves units between two rows from many goroutines, in transactions
// that check both rows. No unit is lost, and every committed transaction adds one to
// the versions.
func tableConcurrent(t *testing.T, tb store.Table) {
	const workers, moves = 8, 10
	commit(t, tb, put("from", strconv.Itoa(workers*moves)), put("to", "0"))
	first := version(t, tb, "from")
	assertVersion(t, tb, first, 1)
	var wg sync.WaitGroup
	errs := make(chan error, workers*moves)
	for range workers {
		wg.Go(func() {
			for range moves {
				errs <- moveUnit(t.Context(), tb)
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		assert.NilError(t, err)
	}
	for key, want := range map[string]string{"from": "0", "to": strconv.Itoa(workers * moves)} {
		row, err := tb.Get(t.Context(), key)
		assert.NilError(t, err)
		assert.Equal(t, string(row.Value), want)
		assert.Equal(t, row.Version, first+workers*moves)
	}
}

// moveUnit repeats a read and a checked commit until there is no conflict.
func moveUnit(ctx context.Context, tb store.Table) error {
	for {
		err := tryMove(ctx, tb)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
}

func tryMove(ctx context.Context, tb store.Table) error {
	var txn store.Txn
	for key, by := range map[string]int{"from": -1, "to": 1} {
		row, err := tb.Get(ctx, key)
		if err != nil {
			return err
		}
		n, err := strconv.Atoi(string(row.Value))
		if err != nil {
			return err
		}
		txn.Checks = append(txn.Checks, store.Check{Key: key, Version: row.Version})
		txn.Writes = append(txn.Writes, put(key, strconv.Itoa(n+by)))
	}
	return tb.Commit(ctx, txn)
}

func tableCanceledContext(t *testing.T, tb store.Table) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := tb.Get(canceled, "k")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	err = tb.Commit(canceled, store.Txn{Writes: []store.Write{put("k", "1")}})
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, version(t, tb, "k"), uint64(0))
}
