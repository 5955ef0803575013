package streamversions

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

func streamsUntil(until time.Time, version string, keys ...streamversion.Key) (out []Update) {
	for _, k := range keys {
		out = append(out, Update{Stream: k, Record: streamversion.Record{Version: version, Until: until}})
	}
	return out
}

func versionsOf(streams []Update) map[streamversion.Key]string {
	out := map[streamversion.Key]string{}
	for _, u := range streams {
		out[u.Stream] = u.Version
	}
	return out
}

// TestRowsOfSeveralProcesses: each process replaces its own row alone, and reads those of all.
func TestRowsOfSeveralProcesses(t *testing.T) {
	table, until := memory.New(memory.Options{}).Table(), time.Now().Add(time.Minute)
	a, b := NewStreamRows(table, "vm/1"), NewStreamRows(table, "vm/2")
	assert.NilError(t, a.write(t.Context(), nil), "nothing to remove")
	assert.NilError(t, a.write(t.Context(), streamsUntil(until, "v1", 1, 1<<63)))
	assert.NilError(t, b.write(t.Context(), append(streamsUntil(until, "v1", 3), streamsUntil(until, "v2", 4)...)))
	read, err := b.read(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, versionsOf(read), map[streamversion.Key]string{1: "v1", 1 << 63: "v1", 3: "v1", 4: "v2"})
	assert.Assert(t, time.Until(read[0].Until) > 50*time.Second && time.Until(read[0].Until) <= time.Minute)
	assert.NilError(t, a.write(t.Context(), nil))
	_, err = table.Get(t.Context(), a.key())
	assert.Assert(t, errors.Is(err, store.ErrNotFound), "removed")
}

// TestMalformedRow: a row that can't be decoded hides no other.
func TestMalformedRow(t *testing.T) {
	table := memory.New(memory.Options{}).Table()
	rows := NewStreamRows(table, "vm/1")
	assert.NilError(t, rows.write(t.Context(), streamsUntil(time.Now().Add(time.Minute), "v1", 1)))
	for i, value := range []string{"{", `{"streams":{"v1":["x"]},"left_ms":10}`} {
		write := store.Write{Key: fmt.Sprint("a/", i), Value: []byte(value)}
		assert.NilError(t, table.Commit(t.Context(), store.Txn{Writes: []store.Write{write}}))
	}
	read, err := rows.read(t.Context())
	assert.Assert(t, errors.Is(err, store.ErrMalformed))
	assert.DeepEqual(t, versionsOf(read), map[streamversion.Key]string{1: "v1"})
}

// lateTable loses the answer to the first write, and carries it out when told.
type lateTable struct {
	store.Table
	late []store.Txn
}

func (l *lateTable) Commit(ctx context.Context, txn store.Txn) error {
	if len(l.late) == 0 {
		l.late = append(l.late, txn)
		return store.ErrIndeterminate
	}
	return l.Table.Commit(ctx, txn)
}

// TestLateWriteReplacesNoRow guards against a write without an answer that is carried out late and replaces a newer one.
func TestLateWriteReplacesNoRow(t *testing.T) {
	table := &lateTable{Table: memory.New(memory.Options{}).Table()}
	rows, until := NewStreamRows(table, "vm/1"), time.Now().Add(time.Minute)
	assert.ErrorIs(t, rows.write(t.Context(), streamsUntil(until, "v1", 1)), store.ErrIndeterminate)
	assert.NilError(t, rows.write(t.Context(), streamsUntil(until, "v1", 1, 2)))
	assert.NilError(t, table.Table.Commit(t.Context(), table.late[0]))
	read, err := rows.read(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, versionsOf(read), map[streamversion.Key]string{1: "v1", 2: "v1"})
}

// TestRemoveOldRows: rows of processes that are gone are removed once none of their streams can be resumed, and no others.
func TestRemoveOldRows(t *testing.T) {
	table, now := memory.New(memory.Options{}).Table(), time.Now()
	gone, alive, own := NewStreamRows(table, "vm/1"), NewStreamRows(table, "vm/2"), NewStreamRows(table, "vm/3")
	for _, rows := range []*StreamRows{gone, alive, own} {
		assert.NilError(t, rows.write(t.Context(), streamsUntil(now.Add(16*time.Second), "v1", 1)))
	}
	left, err := own.removeOld(t.Context(), now)
	assert.NilError(t, err)
	assert.Assert(t, left)
	assert.NilError(t, alive.write(t.Context(), streamsUntil(now.Add(30*time.Second), "v1", 2)))
	left, err = own.removeOld(t.Context(), now.Add(17*time.Second))
	assert.NilError(t, err)
	assert.Assert(t, left, "the one that is alive")
	rows, err := own.all(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2)
	left, err = own.removeOld(t.Context(), now.Add(50*time.Second))
	assert.NilError(t, err)
	assert.Assert(t, !left)
}

// TestKeepInterval: all routers together write no more than their part of what the store takes.
func TestKeepInterval(t *testing.T) {
	for _, routers := range []int{1, 5, 20, 68, 410} {
		perSecond := float64(routers) / keepInterval(routers).Seconds()
		assert.Assert(t, perSecond <= keepWritesPerSecond, "%d routers: %.1f writes a second", routers, perSecond)
	}
	assert.Equal(t, keepInterval(5), minKeepInterval)
}
