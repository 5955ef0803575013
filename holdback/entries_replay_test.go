package holdback

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// TestEntriesShareTerminations replays a caller who sends a request twice a second for a minute, each time to another of
// twelve entries, and every server that begins to run it ends. Entries that know only what they have seen themselves
// lose three servers each. If they share the holds by a table, those that hear of the hold late lose some more. If they
// tell each other of each end, three servers end in all.
func TestEntriesShareTerminations(t *testing.T) {
	const (
		entries  = 12
		sends    = 120
		interval = 500 * time.Millisecond
		poll     = 5 * time.Second
	)
	replay := func(seed uint64, shareEnds, shareHolds bool) (ended int) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			rng := rand.New(rand.NewPCG(seed, 31))
			table := memory.New(memory.Options{}).Table()
			var guards []*Guard
			for range entries {
				g := newGuard(false)
				guards = append(guards, g)
				if shareHolds {
					backOff := func(int) { time.Sleep(poll) }
					go g.Follow(ctx, NewPolledTable(table, "q/", poll), func(error) {}, backOff)
					go g.Persist(ctx, NewPolledTable(table, "q/", poll), func() bool { return false }, func(error) {}, backOff)
				}
			}
			for range sends {
				g := guards[rng.IntN(entries)]
				if !quarantined(g, crashing) {
					g.ServerTerminated(fmt.Sprint("s", ended), []quarantine.BrokenAttempt{{Content: crashing}})
					ended++
				}
				if shareEnds {
					tellOthers(t, guards, g)
				}
				time.Sleep(interval)
			}
			cancel()
			time.Sleep(poll)
		})
		return ended
	}
	for seed := range uint64(4) {
		alone, holds, ends := replay(seed, false, false), replay(seed, false, true), replay(seed, true, true)
		t.Logf("seed %d: servers ended: %d alone, %d with shared holds, %d with shared ends", seed, alone, holds, ends)
		assert.Check(t, ends == quarantine.MaxTerminations)
		assert.Check(t, ends < holds && holds < alone)
	}
}

// tellOthers passes what one guard has observed on to all others.
func tellOthers(t *testing.T, guards []*Guard, from *Guard) {
	t.Helper()
	report, err := from.EncodeRecent(time.Second)
	assert.NilError(t, err)
	for _, g := range guards {
		if g != from {
			assert.NilError(t, g.ReceiveEncoded(report, "entry"))
		}
	}
}
