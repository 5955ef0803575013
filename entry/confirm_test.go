package entry

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

func TestConfirmationsAreWrittenOnChangeAndOnceAMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.New(memory.Options{}).Table()
		set := DefaultSettings()
		set.ID = "e1"
		st := dissemination.NewState()
		p := &pool{state: st, peers: make(map[string]*peer)}
		for _, id := range []string{"vm-1", "vm-2", "vm-3", seedPrefix + "x"} {
			p.peers[id] = newPeer(p, contract.Backend{ID: id, Zone: "a"})
			p.peers[id].link = new(entryLink)
		}
		p.peers["vm-3"].link = nil
		c := &confirmer{settings: set, table: table, pool: p, state: st}
		key := dissemination.ConfirmPrefix + "e1"
		row := func() (store.Row, dissemination.Confirmation) {
			var v dissemination.Confirmation
			r, err := table.Get(t.Context(), key)
			assert.NilError(t, err)
			assert.NilError(t, json.Unmarshal(r.Value, &v))
			return r, v
		}
		for _, step := range []struct {
			name    string
			change  func()
			version uint64
		}{
			{"first", func() {}, 1},
			{"nothing new", func() { time.Sleep(10 * time.Second) }, 1},
			{"own revision", func() { _, _ = st.Apply(dissemination.Delta{Head: 4}) }, 2},
			{"a sidecar's revision", func() { p.peers["vm-1"].confirmedRevision = 4 }, 3},
			{"link lost", func() { p.peers["vm-2"].link = nil }, 3},
			{"refresh", func() { time.Sleep(dissemination.ConfirmRefresh) }, 4},
		} {
			step.change()
			assert.NilError(t, c.write(t.Context(), time.Now()))
			r, _ := row()
			assert.Equal(t, r.Version, step.version, step.name)
		}
		_, v := row()
		assert.Equal(t, v.Revision, uint64(4))
		assert.DeepEqual(t, v.Sidecars, []dissemination.SidecarsInZone{{Zone: "a", Revision: 4, IDs: []string{"vm-1"}}})
		assert.NilError(t, c.deleteRow())
		_, err := table.Get(t.Context(), key)
		assert.ErrorIs(t, err, store.ErrNotFound)
	})
}
