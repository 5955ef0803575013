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
	deadly   = fingerprint.Of(fingerprint.Request{Target: "/deadly"})
	harmless = fingerprint.Of(fingerprint.Request{Target: "/harmless"})
)

func newGuard(off bool) *Guard {
	return New(&log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}, metrics.NewSet(), off)
}

// tell hands what each guard has to tell to all others.
func tell(list ...*Guard) {
	for _, from := range list {
		for _, to := range list {
			if from != to {
				to.Take(from.Report(time.Minute), "another")
			}
		}
	}
}

func held(g *Guard, d fingerprint.Digest) bool {
	_, ok := g.Held(d)
	return ok
}

// TestSeenApart: each end of a server is seen by another gateway, with a request of somebody else beside it.
func TestSeenApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []*Guard{newGuard(false), newGuard(false), newGuard(false)}
		for i, g := range list {
			g.ServerTerminated(fmt.Sprint("s", i), []quarantine.BrokenAttempt{{Content: deadly}, {Content: harmless, Generated: 9}})
			tell(list...)
			time.Sleep(time.Second)
		}
		for _, g := range list {
			assert.Assert(t, held(g, deadly))
			assert.Assert(t, !held(g, harmless))
		}
		// One whose datagrams and reports were lost meanwhile hears of the hold later.
		late := newGuard(false)
		time.Sleep(2 * time.Minute)
		late.Take(list[0].Report(time.Minute), "g1")
		assert.Assert(t, held(late, deadly))
		// A server answers it after all at one gateway.
		late.RequestSucceeded(deadly)
		tell(append(list, late)...)
		for _, g := range append(list, late) {
			assert.Assert(t, !held(g, deadly))
		}
	})
}

// TestSwitchedOff: nothing is held, whatever is seen or told.
func TestSwitchedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(true)
		for i := range quarantine.MaxTerminations {
			g.ServerTerminated(fmt.Sprint("s", i), []quarantine.BrokenAttempt{{Content: deadly}})
		}
		g.Take(&peer.Suspects{Holds: []*peer.Hold{{Content: deadly[:], LeftMs: 1000, ForMs: 1000}}}, "g2")
		time.Sleep(time.Second)
		assert.Assert(t, !g.Active())
	})
}

// TestToldNonsense: messages that no gateway sends change nothing.
func TestToldNonsense(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(false)
		g.Take(nil, "g2")
		g.Take(&peer.Suspects{
			Sightings: []*peer.Sighting{{Content: []byte("short")}, {}},
			Holds: []*peer.Hold{
				{Content: deadly[:], LeftMs: 1000}, {Content: deadly[:], LeftMs: 2000, ForMs: 1000},
				{Content: append(deadly[:], 1), LeftMs: 1000, ForMs: 1000},
			},
			Releases: []*peer.Release{{}},
		}, "g2")
		assert.Assert(t, !g.Active())
		g.Take(&peer.Suspects{Holds: []*peer.Hold{{Content: deadly[:], LeftMs: 1 << 60, ForMs: 1 << 60}}}, "g2")
		left, _ := g.Held(deadly)
		assert.Assert(t, left <= quarantine.MaxHold)
	})
}

// TestReportsAreSmall: many ends with many requests each still make a message that fits a datagram.
func TestReportsAreSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(false)
		for i := range 300 {
			g.ServerTerminated(fmt.Sprintf("i-%010d@%d", i, time.Now().UnixMilli()), []quarantine.BrokenAttempt{{Content: fingerprint.Of(fingerprint.Request{Target: fmt.Sprint(i)})}})
		}
		r := g.Report(time.Minute)
		assert.Equal(t, len(r.GetSightings()), toldSightings)
		time.Sleep(time.Minute)
		assert.Equal(t, len(g.Report(time.Minute).GetSightings()), 0)
	})
}

// rowTable is a table in memory whose changes are not waited for.
type rowTable struct {
	store.Table
	rows []store.Row
	// version is that of the store.
	version int64
}

func (t *rowTable) All(ctx context.Context) ([]store.Row, int64, error) {
	rows, err := t.List(ctx, "", "", 100)
	return append(rows, t.rows...), t.version, err
}

func (t *rowTable) Changes(ctx context.Context, _ int64, _ time.Duration) ([]store.Row, []string, int64, error) {
	return nil, nil, 0, ctx.Err()
}

// read takes the whole table once.
func read(t *testing.T, g *Guard, table Table) {
	t.Helper()
	_, err := g.follow(t.Context(), table, 0, false)
	assert.NilError(t, err)
}

// keep makes the changes of the table that are due once, and returns their number.
func keep(t *testing.T, g *Guard, table store.Table, reads bool) int {
	t.Helper()
	due := g.changes(time.Now(), reads)
	for _, c := range due {
		assert.NilError(t, table.Commit(t.Context(), c.Txn))
		g.wrote(c)
	}
	return len(due)
}

// TestKept: the gateways that saw a server end keep the hold, the others leave it to them; a reader keeps it when they
// did not, and removes it long after its end.
func TestKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &rowTable{Table: memory.New(memory.Options{}).Table()}
		saw, reader, other := newGuard(false), newGuard(false), newGuard(false)
		for i := range quarantine.MaxTerminations {
			saw.ServerTerminated(fmt.Sprint("s", i), []quarantine.BrokenAttempt{{Content: deadly}})
		}
		time.Sleep(quarantine.SettleDelay)
		synctest.Wait()
		tell(saw, reader, other)
		assert.Equal(t, keep(t, other, table, false), 0)
		assert.Equal(t, keep(t, reader, table, true), 0, "the one that saw it goes first")
		time.Sleep(keepFor)
		assert.Equal(t, keep(t, other, table, false), 0)
		assert.Equal(t, keep(t, reader, table, true), 1)
		assert.Equal(t, keep(t, reader, table, true), 0, "once")
		read(t, saw, table)
		assert.Equal(t, keep(t, saw, table, false), 0, "it is there")

		started := newGuard(false)
		time.Sleep(time.Minute)
		read(t, started, table)
		left, ok := started.Held(deadly)
		assert.Assert(t, ok)
		assert.Equal(t, left, quarantine.FirstHold-time.Minute-keepFor)

		time.Sleep(2 * quarantine.FirstHold)
		read(t, reader, table)
		assert.Equal(t, keep(t, reader, table, true), 1, "removed")
		rows, _, err := table.All(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 0)
	})
}

// TestRowRemoved: who read the row and finds it gone lets the request through; who has just written it and reads an
// older state does not.
func TestRowRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &rowTable{Table: memory.New(memory.Options{}).Table()}
		g := newGuard(false)
		for i := range quarantine.MaxTerminations {
			g.ServerTerminated(fmt.Sprint("s", i), []quarantine.BrokenAttempt{{Content: deadly}})
		}
		time.Sleep(quarantine.SettleDelay)
		synctest.Wait()
		empty := &rowTable{Table: memory.New(memory.Options{}).Table()}
		assert.Equal(t, keep(t, g, table, false), 1)
		read(t, g, empty)
		assert.Assert(t, held(g, deadly))
		read(t, g, table)
		read(t, g, empty)
		assert.Assert(t, !held(g, deadly))
		assert.Equal(t, len(g.Report(time.Minute).GetReleases()), 1, "and tells the others")
	})
}

// TestStaleTable: after the store has forgotten its history it may answer with what held seconds ago. A row that was seen
// since is not gone, and an earlier state of a row is no news.
func TestStaleTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard(false)
		begun := time.Now()
		row := func(seconds float64, version uint64) store.Row {
			data, err := json.Marshal(Row{Begun: begun, ForSeconds: seconds})
			assert.NilError(t, err)
			return store.Row{Key: deadly.String(), Value: data, Version: version}
		}
		table := &rowTable{Table: memory.New(memory.Options{}).Table(), rows: []store.Row{row(1200, 90)}, version: 90}
		version, err := g.follow(t.Context(), table, 0, false)
		assert.NilError(t, err)
		for _, stale := range [][]store.Row{nil, {row(600, 50)}} {
			version, err = g.follow(t.Context(), &rowTable{Table: memory.New(memory.Options{}).Table(), rows: stale, version: 60}, version, false)
			assert.NilError(t, err)
			assert.Equal(t, version, int64(90), "goes on from what is known")
			left, ok := g.Held(deadly)
			assert.Assert(t, ok)
			assert.Equal(t, left, 1200*time.Second)
		}
		_, err = g.follow(t.Context(), &rowTable{Table: memory.New(memory.Options{}).Table(), version: 91}, version, false)
		assert.NilError(t, err)
		assert.Assert(t, !held(g, deadly), "removed since")
	})
}

// TestRowsOfOthers: rows that are none are left out, the others hold; a time of day that is wrong makes no hold longer
// than it says.
func TestRowsOfOthers(t *testing.T) {
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
			{Key: deadly.String(), Value: row(now.Add(time.Hour), 60), Version: 5},
		}}
		read(t, g, table)
		assert.Equal(t, len(g.ledger.Holds(now)), 1)
		left, _ := g.Held(deadly)
		assert.Equal(t, left, time.Minute)
	})
}
