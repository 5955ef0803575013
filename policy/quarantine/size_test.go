package quarantine

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLedgerIsSmall: a full Ledger takes less than a tenth of the 32 MB of memory that a process has for its control
// state.
func TestLedgerIsSmall(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := New()
	for i := range maxSuspects {
		observeAll(l, 0, fmt.Sprintf("i-%010d@1764720000123", i/40), fmt.Sprint(i))
	}
	for i := range maxLostRuns {
		lose(l, 0, fmt.Sprintf("i-%010d@1764720000123", i/10), fmt.Sprint("lost ", i), "first", fmt.Sprintf("%08x", i%500), fmt.Sprintf("%08x", i))
	}
	for i := range maxCountedRuns {
		l.RunBegan([]string{fmt.Sprintf("%08x", i+maxLostRuns), fmt.Sprintf("%08x", i%500)}, at(0))
	}
	for i := range maxHolds {
		l.AddHold(Hold{Content: named(fmt.Sprint("held ", i)), Until: start.Add(FirstHold), Duration: FirstHold})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d kB", used>>10)
	assert.Assert(t, used < 3200<<10, "%d kB", used>>10)
	runtime.KeepAlive(l)
}
