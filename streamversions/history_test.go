package streamversions

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// syncAll reads and writes what is due.
func syncAll(t *testing.T, d *Directory) {
	t.Helper()
	for due := d.dueHistory(true); len(due) > 0; due = d.dueHistory(true) {
		for service := range due {
			assert.NilError(t, d.syncHistory(t.Context(), service))
		}
	}
}

// TestOnlyVersionIsKept guards against a router that starts when the only version of a service has been replaced, and takes the new one for
// the only one there was; also where the store has lost what was kept.
func TestOnlyVersionIsKept(t *testing.T) {
	table := memory.New(memory.Options{}).Table()
	d := New(Config{Network: fleetNetwork{}, History: NewHistory(table), Metrics: metrics.NewSet()})
	d.Observe(engines("v1"))
	syncAll(t, d)
	d.History = NewHistory(memory.New(memory.Options{}).Table())
	d.StoreRestored()
	syncAll(t, d)
	for _, history := range []*History{NewHistory(table), d.History} {
		later := New(Config{Network: fleetNetwork{}, History: history, Metrics: metrics.NewSet()})
		later.Observe(engines("v2"))
		syncAll(t, later)
		assert.DeepEqual(t, later.possible("llm").Versions, []string{"v1", "v2"})
	}
}

// TestLookupHidesKeptVersions guards against a router that has just started, whose first take-up reads the kept versions before the
// router adopts them: it then took the one that is listed for the only one, and kept none of its streams.
func TestLookupHidesKeptVersions(t *testing.T) {
	history := NewHistory(memory.New(memory.Options{}).Table())
	_, err := history.Keep(t.Context(), "llm", []string{"v1", "v2"}, true)
	assert.NilError(t, err)
	d := New(Config{Network: fleetNetwork{}, History: history, Metrics: metrics.NewSet()})
	d.Observe(engines("v2"))
	versions, ok := d.historyOf(t.Context(), "llm")
	assert.Assert(t, ok)
	assert.DeepEqual(t, versions, []string{"v1", "v2"})
	for service := range d.dueHistory(false) {
		assert.NilError(t, d.syncHistory(t.Context(), service))
	}
	d.Begun(stream, "v2", time.Now().Add(time.Minute))
	assert.Equal(t, len(d.kept()), 1, "its service has had two versions lately")
}
