package holdback

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// crashingParts and soundParts are the shared parts of prompts of requests that crash servers, and of others.
var crashingParts, soundParts = []string{"first", "bad"}, []string{"first", "document"}

func withPart(i int) fingerprint.Digest {
	return fingerprint.Of(fingerprint.Request{Target: fmt.Sprint("/with-part/", i)})
}

func heldByParts(g *Guard, parts []string) bool {
	_, ok := g.Quarantined(harmless, parts)
	return ok
}

// crashUnderPart has each guard observe the termination of a server under another request with the crashing part.
func crashUnderPart(list ...*Guard) {
	for _, g := range list {
		for range 50 {
			g.RunBegan(soundParts)
		}
	}
	time.Sleep(time.Second)
	for i, g := range list {
		g.ServerTerminated(fmt.Sprint("s", i), []quarantine.BrokenAttempt{
			{Content: withPart(i), Parts: crashingParts}, {Content: harmless, Generated: 9}, {Content: fingerprint.Digest{byte(i)}, Parts: soundParts},
		})
		exchangeReports(list...)
		time.Sleep(time.Second)
	}
}

// TestPartObservedByDifferentGateways has each gateway observe one termination under another request with the part: together
// they must quarantine all requests with it and no others. A run that begins at one of them releases it at all.
func TestPartObservedByDifferentGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []*Guard{newGuard(false), newGuard(false), newGuard(false)}
		crashUnderPart(list...)
		for _, g := range list {
			assert.Assert(t, heldByParts(g, crashingParts))
			assert.Assert(t, !heldByParts(g, soundParts))
			assert.Assert(t, !quarantined(g, harmless))
		}
		restarted := newGuard(false)
		restarted.Receive(list[0].Report(time.Minute), "g1")
		assert.Assert(t, heldByParts(restarted, crashingParts))
		restarted.RunBegan(crashingParts)
		exchangeReports(append(list, restarted)...)
		for _, g := range append(list, restarted) {
			assert.Assert(t, !heldByParts(g, crashingParts))
		}
	})
}

// TestPartHoldIsStored: a gateway that starts later reads the hold of a part from the store, and an operator who removes its
// row releases it at all.
func TestPartHoldIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []*Guard{newGuard(false), newGuard(false), newGuard(false)}
		crashUnderPart(list...)
		table := emptyTable(store.At(0, 5))
		for _, g := range list {
			for _, c := range g.dueChanges(time.Now(), false) {
				assert.NilError(t, g.commit(t.Context(), table, c))
			}
		}
		stored, err := List(t.Context(), table)
		assert.NilError(t, err)
		assert.Equal(t, len(stored), 1)
		assert.DeepEqual(t, stored[0].Parts, []string{"bad"})
		later := newGuard(false)
		for _, g := range append(list, later) {
			syncFrom(t, g, table)
		}
		assert.Assert(t, heldByParts(later, crashingParts))
		assert.NilError(t, Release(t.Context(), table, stored[0].Content))
		for _, g := range append(list, later) {
			g.applyRows(nil, []string{stored[0].Content})
			assert.Assert(t, !heldByParts(g, crashingParts))
		}
	})
}

// TestReportOfLongPartsFitsADatagram: a report stays within its bounds though prompts have many parts with long IDs.
func TestReportOfLongPartsFitsADatagram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(false)
		var parts []string
		for i := range 64 {
			parts = append(parts, fmt.Sprintf("%064d", i))
		}
		for i := range 100 {
			g.ServerTerminated(fmt.Sprintf("i-%010d@%d", i, time.Now().UnixMilli()), []quarantine.BrokenAttempt{{Content: withPart(i), Parts: parts}})
		}
		data, err := proto.Marshal(g.Report(time.Minute))
		assert.NilError(t, err)
		assert.Assert(t, len(data) < 16<<10, "%d", len(data))
	})
}
