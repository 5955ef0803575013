package entry

import (
	"crypto/rand"
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/store"
)

func TestEntriesSharePollsOfVMList(t *testing.T) {
	set := DefaultSettings()
	for entries, mean := range map[int]time.Duration{0: 2 * time.Second, 1: 2 * time.Second, 410: 820 * time.Second} {
		set.Policy.Entries = entries
		for range 20 {
			interval := vmListInterval(set)
			assert.Assert(t, interval >= mean/2 && interval < mean+mean/2, "%d entries: %s", entries, interval)
		}
	}
}

// TestLeavingServerOutsideSubsetIsNotified: the entry that polls the list may have no link to a server that
// the list marks as leaving.
func TestLeavingServerOutsideSubsetIsNotified(t *testing.T) {
	set := DefaultSettings()
	set.Policy.SubsetSize = 1
	quiet := event.New("test", "t", log.PanicLevel)
	s := New(set, quiet, metrics.NewSet())
	s.pool = newPool(set, quiet, nil, rand.Text(), s.state, s.index)
	defer s.pool.close()
	d := dissemination.Delta{Head: 1}
	var vms []store.VM
	for i := range 2 * maxTemporaryLinks {
		id := fmt.Sprintf("b%d", i)
		body := fmt.Sprintf("id: %s\naddress: 127.0.0.1:1\nzone: z\nrole: decode\nmodels: [m]\n", id)
		d.Records = append(d.Records, dissemination.Record{Key: dissemination.BackendPrefix + id, Revision: 1, Value: []byte(body)})
		vms = append(vms, store.VM{ID: id, State: store.VMLeaving})
	}
	_, err := s.state.Apply(d)
	assert.NilError(t, err)
	s.pool.refresh()
	assert.Equal(t, len(s.pool.all()), 1)

	s.pool.setListedLeaving(vms)
	assert.Equal(t, len(s.pool.all()), 1+maxTemporaryLinks)
	later := time.Now().Add(2 * temporaryLinkTTL)
	temporary := 0
	for _, pr := range s.pool.all() {
		if pr.keepTemporary(later) {
			temporary++
		}
	}
	assert.Equal(t, temporary, maxTemporaryLinks, "kept while they are listed")
	s.pool.setListedLeaving(nil)
	for _, pr := range s.pool.all() {
		assert.Assert(t, !pr.keepTemporary(later))
	}
}
