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

func TestEntriesShareTheReadingsOfVMs(t *testing.T) {
	set := DefaultSettings()
	for entries, mean := range map[int]time.Duration{0: 2 * time.Second, 1: 2 * time.Second, 410: 820 * time.Second} {
		set.Policy.Entries = entries
		for range 20 {
			pause := vmPause(set)
			assert.Assert(t, pause >= mean/2 && pause < mean+mean/2, "%d entries: %s", entries, pause)
		}
	}
}

// TestLeavingServerOutsideTheSubsetIsTold: the entry that reads the list may have no
// link to the server that it says is leaving.
func TestLeavingServerOutsideTheSubsetIsTold(t *testing.T) {
	set := DefaultSettings()
	set.Policy.SubsetSize = 1
	quiet := event.New("test", "t", log.PanicLevel)
	s := New(set, quiet, metrics.NewSet())
	s.pool = newPool(set, quiet, nil, rand.Text(), s.state, s.index)
	defer s.pool.close()
	d := dissemination.Delta{Head: 1}
	var vms []store.VM
	for i := range 2 * maxGuestsTold {
		id := fmt.Sprintf("b%d", i)
		body := fmt.Sprintf("id: %s\naddress: 127.0.0.1:1\nzone: z\nrole: decode\nmodels: [m]\n", id)
		d.Records = append(d.Records, dissemination.Record{Key: dissemination.BackendPrefix + id, Revision: 1, Value: []byte(body)})
		vms = append(vms, store.VM{ID: id, State: store.VMLeaving})
	}
	_, err := s.state.Apply(d)
	assert.NilError(t, err)
	s.pool.refresh()
	assert.Equal(t, len(s.pool.all()), 1)

	s.pool.markListed(vms)
	assert.Equal(t, len(s.pool.all()), 1+maxGuestsTold)
	later := time.Now().Add(2 * guestLife)
	guests := 0
	for _, pr := range s.pool.all() {
		if pr.isGuest(later) {
			guests++
		}
	}
	assert.Equal(t, guests, maxGuestsTold, "kept while they are listed")
	s.pool.markListed(nil)
	for _, pr := range s.pool.all() {
		assert.Assert(t, !pr.isGuest(later))
	}
}
