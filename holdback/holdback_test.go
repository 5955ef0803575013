package holdback

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

var (
	crashing = fingerprint.Of(fingerprint.Request{Target: "/deadly"})
	harmless = fingerprint.Of(fingerprint.Request{Target: "/harmless"})
)

func newGuard(off bool) *Guard {
	return New(&log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}, metrics.NewSet(), off)
}

// exchangeReports delivers the report of each guard to all others.
func exchangeReports(list ...*Guard) {
	for _, from := range list {
		for _, to := range list {
			if from != to {
				to.Receive(from.Report(time.Minute), "another")
			}
		}
	}
}

func quarantined(g *Guard, d fingerprint.Digest) bool {
	_, ok := g.Quarantined(d, nil)
	return ok
}

// TestTerminationsObservedByDifferentGateways has each gateway observe one termination, with the crashing request and a
// harmless one in progress: together they must quarantine the crashing one.
func TestTerminationsObservedByDifferentGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []*Guard{newGuard(false), newGuard(false), newGuard(false)}
		for i, g := range list {
			g.ServerTerminated(fmt.Sprint("s", i), []quarantine.BrokenAttempt{{Content: crashing}, {Content: harmless, Generated: 9}})
			exchangeReports(list...)
			time.Sleep(time.Second)
		}
		for _, g := range list {
			assert.Assert(t, quarantined(g, crashing))
			assert.Assert(t, !quarantined(g, harmless))
		}
		// A gateway that lost all datagrams and reports receives the hold later.
		recovered := newGuard(false)
		time.Sleep(2 * time.Minute)
		recovered.Receive(list[0].Report(time.Minute), "g1")
		assert.Assert(t, quarantined(recovered, crashing))
		// At one gateway a server answers the request after all.
		recovered.RequestSucceeded(crashing)
		exchangeReports(append(list, recovered)...)
		for _, g := range append(list, recovered) {
			assert.Assert(t, !quarantined(g, crashing))
		}
	})
}

// TestNothingIsQuarantinedWhenOff: with quarantine off, neither observations nor reports quarantine a request.
func TestNothingIsQuarantinedWhenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(true)
		for i := range quarantine.MaxTerminations {
			g.ServerTerminated(fmt.Sprint("s", i), []quarantine.BrokenAttempt{{Content: crashing}})
		}
		g.Receive(&peer.Suspects{Holds: []*peer.Hold{{Content: crashing[:], LeftMs: 1000, ForMs: 1000}}}, "g2")
		time.Sleep(time.Second)
		assert.Assert(t, !g.Active())
	})
}

// TestInvalidReportsAreIgnored covers messages that no gateway sends: they change nothing, or no more than a valid one.
func TestInvalidReportsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(false)
		g.Receive(nil, "g2")
		g.Receive(&peer.Suspects{
			Sightings: []*peer.Sighting{{Content: []byte("short")}, {}},
			Holds: []*peer.Hold{
				{Content: crashing[:], LeftMs: 1000}, {Content: crashing[:], LeftMs: 2000, ForMs: 1000},
				{Content: append(crashing[:], 1), LeftMs: 1000, ForMs: 1000},
			},
			Releases: []*peer.Release{{}},
		}, "g2")
		parts := make([]string, fingerprint.MaxParts+1)
		digest := fingerprint.OfParts(parts)
		g.Receive(&peer.Suspects{Holds: []*peer.Hold{
			{Content: digest[:], LeftMs: 1000, ForMs: 1000, Parts: parts}, {Content: crashing[:], LeftMs: 1000, ForMs: 1000, Parts: []string{"bad"}},
		}}, "g2")
		assert.Assert(t, !g.Active())
		g.Receive(&peer.Suspects{Holds: []*peer.Hold{{Content: crashing[:], LeftMs: 1 << 60, ForMs: 1 << 60}}}, "g2")
		left, _ := g.Quarantined(crashing, nil)
		assert.Assert(t, left <= quarantine.MaxHold)
	})
}

// TestReportFitsADatagram checks that a report stays within its bounds after many terminations.
func TestReportFitsADatagram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(false)
		for i := range 300 {
			g.ServerTerminated(fmt.Sprintf("i-%010d@%d", i, time.Now().UnixMilli()), []quarantine.BrokenAttempt{{Content: fingerprint.Of(fingerprint.Request{Target: fmt.Sprint(i)})}})
		}
		r := g.Report(time.Minute)
		assert.Equal(t, len(r.GetSightings()), maxObservationsPerReport)
		time.Sleep(time.Minute)
		assert.Equal(t, len(g.Report(time.Minute).GetSightings()), 0)
	})
}

// rowTable is a table in memory with a change feed that returns at once.
type rowTable struct {
	store.Table
	rows []store.Row
	// version is the store's.
	version store.Position
}

func (t *rowTable) All(ctx context.Context) ([]store.Row, store.Position, error) {
	rows, err := t.List(ctx, "", "", 100)
	return append(rows, t.rows...), t.version, err
}

func (t *rowTable) Changes(ctx context.Context, _ store.Position, _ time.Duration) ([]store.Row, []string, store.Position, error) {
	return nil, nil, 0, ctx.Err()
}

// syncFrom applies the complete table once.
func syncFrom(t *testing.T, g *Guard, table Table) {
	t.Helper()
	_, err := g.follow(t.Context(), table, 0, false)
	assert.NilError(t, err)
}

// persist makes the changes of the table that are due, and returns their number.
func persist(t *testing.T, g *Guard, table store.Table, readsForAll bool) int {
	t.Helper()
	due := g.dueChanges(time.Now(), readsForAll)
	for _, c := range due {
		assert.NilError(t, table.Commit(t.Context(), c.Txn))
		g.committed(c)
	}
	return len(due)
}

// TestHoldIsPersistedOnce: the gateways that observed a termination persist the hold and the others don't. A gateway that
// reads the store for all does so if they did not, and removes the row long after the hold has ended.
func TestHoldIsPersistedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &rowTable{Table: memory.New(memory.Options{}).Table()}
		observer, storeReader, other := newGuard(false), newGuard(false), newGuard(false)
		for i := range quarantine.MaxTerminations {
			observer.ServerTerminated(fmt.Sprint("s", i), []quarantine.BrokenAttempt{{Content: crashing}})
		}
		time.Sleep(quarantine.SettleDelay)
		synctest.Wait()
		exchangeReports(observer, storeReader, other)
		assert.Equal(t, persist(t, other, table, false), 0)
		assert.Equal(t, persist(t, storeReader, table, true), 0, "the gateway that observed it goes first")
		time.Sleep(persistDelay)
		assert.Equal(t, persist(t, other, table, false), 0)
		assert.Equal(t, persist(t, storeReader, table, true), 1)
		assert.Equal(t, persist(t, storeReader, table, true), 0, "once")
		syncFrom(t, observer, table)
		assert.Equal(t, persist(t, observer, table, false), 0, "it is stored already")

		started := newGuard(false)
		time.Sleep(time.Minute)
		syncFrom(t, started, table)
		left, ok := started.Quarantined(crashing, nil)
		assert.Assert(t, ok)
		assert.Equal(t, left, quarantine.FirstHold-time.Minute-persistDelay)

		time.Sleep(2 * quarantine.FirstHold)
		syncFrom(t, storeReader, table)
		assert.Equal(t, persist(t, storeReader, table, true), 1, "removed")
		rows, _, err := table.All(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 0)
	})
}

// TestRowRemoved: a gateway that has read the row and then finds it removed releases the request; one that has just
// written the row and reads an older state does not.
func TestRowRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &rowTable{Table: memory.New(memory.Options{}).Table()}
		g := newGuard(false)
		for i := range quarantine.MaxTerminations {
			g.ServerTerminated(fmt.Sprint("s", i), []quarantine.BrokenAttempt{{Content: crashing}})
		}
		time.Sleep(quarantine.SettleDelay)
		synctest.Wait()
		empty := &rowTable{Table: memory.New(memory.Options{}).Table()}
		assert.Equal(t, persist(t, g, table, false), 1)
		syncFrom(t, g, empty)
		assert.Assert(t, quarantined(g, crashing))
		syncFrom(t, g, table)
		syncFrom(t, g, empty)
		assert.Assert(t, !quarantined(g, crashing))
		assert.Equal(t, len(g.Report(time.Minute).GetReleases()), 1, "and reports the release")
	})
}

// TestStaleTable: a store that has lost its history may return its state of seconds ago. A newer row that is missing there
// was not removed, and an earlier state of a row changes nothing.
func TestStaleTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(false)
		begun := time.Now()
		row := func(seconds float64, version uint64) store.Row {
			data, err := json.Marshal(Row{Begun: begun, ForSeconds: seconds})
			assert.NilError(t, err)
			return store.Row{Key: crashing.String(), Value: data, Version: version}
		}
		table := &rowTable{Table: memory.New(memory.Options{}).Table(), rows: []store.Row{row(1200, 90)}, version: 90}
		version, err := g.follow(t.Context(), table, 0, false)
		assert.NilError(t, err)
		for _, stale := range [][]store.Row{nil, {row(600, 50)}} {
			version, err = g.follow(t.Context(), &rowTable{Table: memory.New(memory.Options{}).Table(), rows: stale, version: 60}, version, false)
			assert.NilError(t, err)
			assert.Equal(t, version, store.Position(90), "continues from the known version")
			left, ok := g.Quarantined(crashing, nil)
			assert.Assert(t, ok)
			assert.Equal(t, left, 1200*time.Second)
		}
		_, err = g.follow(t.Context(), &rowTable{Table: memory.New(memory.Options{}).Table(), version: 91}, version, false)
		assert.NilError(t, err)
		assert.Assert(t, !quarantined(g, crashing), "removed since then")
	})
}

// TestInvalidRowsAreIgnored: invalid rows are ignored and the others apply; a wrong clock makes no hold last longer than
// its duration.
func TestInvalidRowsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := func(begun time.Time, seconds float64) []byte {
			data, err := json.Marshal(Row{Begun: begun, ForSeconds: seconds})
			assert.NilError(t, err)
			return data
		}
		now := time.Now()
		g := newGuard(false)
		table := &rowTable{Table: memory.New(memory.Options{}).Table(), rows: []store.Row{
			{Key: "no digest", Value: row(now, 60), Version: 1},
			{Key: harmless.String(), Value: []byte("{"), Version: 2},
			{Key: fingerprint.Of(fingerprint.Request{Target: "long"}).String(), Value: row(now, 1e9), Version: 3},
			{Key: fingerprint.Of(fingerprint.Request{Target: "negative"}).String(), Value: row(now, -1), Version: 4},
			{Key: crashing.String(), Value: row(now.Add(time.Hour), 60), Version: 5},
		}}
		syncFrom(t, g, table)
		assert.Equal(t, len(g.ledger.Holds(now)), 1)
		left, _ := g.Quarantined(crashing, nil)
		assert.Equal(t, left, time.Minute)
	})
}
