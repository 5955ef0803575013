package entry

import (
	"crypto/rand"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/sidecartest"
	"github.com/hibiscusspur/hibiscusspur/metrics"
)

// TestSeedProvidesConfiguration: an entry that starts while the platform is unavailable gets the
// configuration from a sidecar, and replaces the seed by the peers in it.
func TestSeedProvidesConfiguration(t *testing.T) {
	quiet := event.New("test", "t", log.PanicLevel)
	sc, addr := sidecartest.Start(t)
	set := DefaultSettings()
	set.Seeds = []string{addr}
	s := New(set, quiet, metrics.NewSet())
	s.pool = newPool(set, quiet, nil, rand.Text(), s.state, s.index)
	defer s.pool.close()
	learned := make(chan dissemination.Delta, 1)
	s.state.Watch(func(d dissemination.Delta) {
		s.pool.refresh()
		learned <- d
	})
	record := dissemination.Record{
		Key: dissemination.BackendPrefix + "b", Revision: 5,
		Value: []byte("id: b\naddress: 127.0.0.1:1\nzone: z\nrole: decode\nmodels: [m]\n"),
	}
	assert.NilError(t, sc.Configure(dissemination.Delta{Head: 7, Records: []dissemination.Record{record}}))
	s.pool.refresh()
	d := <-learned
	assert.Equal(t, d.Head, uint64(7))
	assert.Assert(t, s.pool.peer(seedPrefix+set.Seeds[0]) == nil)
	assert.Assert(t, s.pool.peer("b") != nil)
}
