package holdback

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// TestListAndRelease: an operator lists the stored holds, including invalid rows, and releases one.
func TestListAndRelease(t *testing.T) {
	table := memory.New(memory.Options{}).Table()
	begun := time.Unix(1_000_000, 0).UTC()
	value, err := json.Marshal(Row{Begun: begun, ForSeconds: 600, Servers: []string{"a", "b", "c"}})
	assert.NilError(t, err)
	assert.NilError(t, table.Commit(t.Context(), store.Txn{Writes: []store.Write{
		{Key: crashing.String(), Value: value}, {Key: "other", Value: []byte("{")},
	}}))
	list, err := List(t.Context(), table)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 2)
	for _, k := range list {
		if k.Content == "other" {
			assert.Assert(t, k.Fault != "")
			continue
		}
		assert.Equal(t, k.Content, crashing.String())
		assert.Equal(t, k.Until(), begun.Add(10*time.Minute))
		assert.DeepEqual(t, k.Servers, []string{"a", "b", "c"})
	}
	assert.NilError(t, Release(t.Context(), table, crashing.String()))
	assert.ErrorIs(t, Release(t.Context(), table, crashing.String()), ErrNotQuarantined)
	assert.ErrorContains(t, Release(t.Context(), table, "other"), "digest of a request")
}

// A row that release 7b4c601 wrote holds the same request for the rest of its time.
func TestRowOfEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := emptyTable(store.At(0, 5))
		assert.NilError(t, table.Commit(t.Context(), store.Txn{Writes: []store.Write{{
			Key:   "a54b2c3a672daf112696551b10f3e97a",
			Value: []byte(`{"begun":"2000-01-01T00:00:00.3Z","for_s":600,"servers":["s0","s1","s2"]}`),
		}}}))
		time.Sleep(time.Minute)
		g := newGuard(false)
		syncFrom(t, g, table)
		left, ok := g.Quarantined(crashing, nil)
		assert.Assert(t, ok)
		assert.Equal(t, left, 9*time.Minute+300*time.Millisecond)
	})
}
