package holdback

import (
	"encoding/json"
	"testing"
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
