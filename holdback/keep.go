package holdback

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// TableName is the table of the platform's store in which holds are kept: a row for each, under its digest.
const TableName = "quarantine"

// Table is where holds are kept.
type Table interface {
	store.Table
	// All returns all rows, and the version of the store from which Changes goes on.
	All(ctx context.Context) (rows []store.Row, version int64, err error)
	// Changes waits for rows to change after a version. It returns those that were written, the keys of those that
	// were removed, and the version to go on from.
	Changes(ctx context.Context, after int64, wait time.Duration) (rows []store.Row, removed []string, next int64, err error)
}

const (
	// feedWait is how long the store may wait for a change. Holds reach gateways from each other; the store is for
	// those that hear none.
	feedWait = 15 * time.Second
	// keepRetry is the pause after a hold that could not be kept.
	keepRetry = 500 * time.Millisecond
	// keepFor is the time after which a hold that another gateway decided and has not kept is kept by a reader: time
	// for the write and for the change to come round.
	keepFor = 2 * time.Second
)

// Row is how a hold is kept.
type Row struct {
	Begun time.Time `json:"begun"`
	// ForSeconds is the whole time of the hold.
	ForSeconds float64 `json:"for_s"`
	// Servers are those that ended under the request, as far as the gateway that kept it knows them.
	Servers []string `json:"servers"`
}

// keptHold is a hold in the store.
type keptHold struct {
	// version is that of its row; zero until it was read.
	version uint64
	// whole is the whole time of the hold.
	whole time.Duration
	// forgotten is when its row may go.
	forgotten time.Time
}

// hold is the hold of a row. It is kept by the time of day, since no other clock outlasts a process; times of day
// of VMs differ by seconds, and a hold lasts no longer than it says whatever they are.
func (r Row) hold(d fingerprint.Digest, now time.Time) (quarantine.Hold, error) {
	whole := time.Duration(r.ForSeconds * float64(time.Second))
	if whole <= 0 || whole > quarantine.MaxHold {
		return quarantine.Hold{}, errors.New("for_s is out of range")
	}
	left := min(r.Begun.Add(whole).Sub(now.Round(0)), whole)
	return quarantine.Hold{Content: d, Until: now.Add(left), Duration: whole}, nil
}

// Follow takes the holds of the table until ctx ends. It calls pause after a call that failed, with the number of those
// that failed in a row.
func (g *Guard) Follow(ctx context.Context, t Table, note func(error), pause func(failures int)) {
	version, known, failures := int64(0), false, 0
	for ctx.Err() == nil {
		next, err := g.follow(ctx, t, version, known)
		if ctx.Err() != nil {
			return
		}
		note(err)
		known = err == nil
		if err != nil {
			failures++
			pause(failures)
			continue
		}
		version, failures = next, 0
	}
}

func (g *Guard) follow(ctx context.Context, t Table, version int64, known bool) (int64, error) {
	if known {
		rows, removed, next, err := t.Changes(ctx, version, feedWait)
		if err == nil {
			g.takeRows(rows, removed)
		}
		return next, err
	}
	rows, next, err := t.All(ctx)
	if err != nil {
		return 0, err
	}
	if next < version {
		// A store that has lost its history may answer with what held seconds ago: a row that it lacks is not gone.
		g.takeRows(rows, nil)
		return version, nil
	}
	g.takeRows(rows, g.missing(rows))
	return next, nil
}

// missing are the keys of holds that were in the table and are not among all its rows.
func (g *Guard) missing(rows []store.Row) []string {
	there := make(map[string]bool, len(rows))
	for _, r := range rows {
		there[r.Key] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for d, k := range g.kept {
		if k.version > 0 && !there[d.String()] {
			out = append(out, d.String())
		}
	}
	return out
}

func (g *Guard) takeRows(rows []store.Row, removed []string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range rows {
		if err := g.takeRow(r, now); err != nil {
			event.HoldInvalid.Log(g.log).Str("key", r.Key).Err(err).Msg("")
		}
	}
	for _, key := range removed {
		d, err := fingerprint.Parse(key)
		if err != nil {
			continue // It was not taken either.
		}
		delete(g.kept, d)
		delete(g.drop, d)
		if g.takeRelease(d, now, fromStore) {
			g.releases[d] = now
			wake(g.news)
		}
	}
}

// takeRow takes one row. The caller holds mu.
func (g *Guard) takeRow(r store.Row, now time.Time) error {
	d, err := fingerprint.Parse(r.Key)
	if err != nil {
		return err
	}
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return err
	}
	h, err := row.hold(d, now)
	if err != nil {
		return err
	}
	if r.Version < g.kept[d].version {
		return nil // What it was before.
	}
	g.kept[d] = keptHold{version: r.Version, whole: h.Duration, forgotten: h.Until.Add(h.Duration)}
	if !g.off {
		g.takeHold(h, fromStore)
	}
	return nil
}

// Keep writes holds to the table and removes those that have ended, until ctx ends. Reads reports whether this process
// is one of the few that read the store for all: they keep what the gateway that decided did not. It calls note with
// the result of each call, and pause after one that failed, with the number of those that failed in a row.
func (g *Guard) Keep(ctx context.Context, t store.Table, reads func() bool, note func(error), pause func(failures int)) {
	timer := time.NewTicker(keepRetry)
	defer timer.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.unkept:
		case <-timer.C:
		}
		for _, c := range g.changes(time.Now(), reads()) {
			err := g.commit(ctx, t, c)
			if ctx.Err() != nil {
				return
			}
			note(err)
			if err == nil {
				failures = 0
				continue
			}
			failures++
			pause(failures)
		}
	}
}

// commit makes one change of the table. That another process was first is no error: its row comes with the next changes
// of the table.
func (g *Guard) commit(ctx context.Context, t store.Table, c change) error {
	err := t.Commit(ctx, c.Txn)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		g.wrote(c)
		return nil
	case errors.As(err, &conflict):
		return nil
	default:
		return err
	}
}

// change is one change of the table.
type change struct {
	store.Txn
	content fingerprint.Digest
	hold    quarantine.Hold
}

// changes are the changes of the table that this process is to make.
func (g *Guard) changes(now time.Time, reads bool) []change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []change
	for _, h := range g.ledger.Holds(now) {
		k := g.kept[h.Content]
		mine := g.sawEnd(h.Content)
		_, drops := g.drop[h.Content]
		if k.whole >= h.Duration || drops || (!mine && (!reads || now.Sub(h.StartedAt()) < keepFor)) {
			continue
		}
		out = append(out, g.write(h, k.version))
	}
	for d, k := range g.kept {
		_, drops := g.drop[d]
		if k.version > 0 && (drops || (reads && !k.forgotten.After(now))) {
			out = append(out, change{content: d, Txn: store.Txn{
				Checks: []store.Check{{Key: d.String(), Version: k.version}},
				Writes: []store.Write{{Key: d.String(), Delete: true}},
			}})
		}
	}
	return out
}

// write is the change that keeps a hold. The caller holds mu.
func (g *Guard) write(h quarantine.Hold, version uint64) change {
	value, err := json.Marshal(Row{Begun: h.StartedAt().UTC(), ForSeconds: h.Duration.Seconds(), Servers: g.ledger.TerminatedServers(h.Content)})
	if err != nil {
		panic(err) // A Row can always be encoded.
	}
	return change{content: h.Content, hold: h, Txn: store.Txn{
		Checks: []store.Check{{Key: h.Content.String(), Version: version}},
		Writes: []store.Write{{Key: h.Content.String(), Value: value}},
	}}
}

// wrote notes that a change was made; the version of the row comes with the next changes of the table.
func (g *Guard) wrote(c change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.hold.Duration == 0 {
		delete(g.kept, c.content)
		delete(g.drop, c.content)
		return
	}
	k := g.kept[c.content]
	k.whole, k.forgotten = c.hold.Duration, c.hold.Until.Add(c.hold.Duration)
	g.kept[c.content] = k
}
