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
	// changesTimeout is how long the store may wait for a change. Holds reach gateways from each other; the store is for
	// those that hear none.
	changesTimeout = 15 * time.Second
	// persistRetry is the pause after a hold that could not be kept.
	persistRetry = 500 * time.Millisecond
	// persistDelay is the time after which a hold that another gateway decided and has not kept is kept by a reader: time
	// for the write and for the change to come round.
	persistDelay = 2 * time.Second
)

// Row is how a hold is kept.
type Row struct {
	Begun time.Time `json:"begun"`
	// ForSeconds is the whole time of the hold.
	ForSeconds float64 `json:"for_s"`
	// Servers are those that ended under the request, as far as the gateway that kept it knows them.
	Servers []string `json:"servers"`
}

// storeState is a hold in the store.
type storeState struct {
	// version is that of its row; zero until it was read.
	version uint64
	// duration is the duration time of the hold.
	duration time.Duration
	// removeAfter is when its row may go.
	removeAfter time.Time
}

// hold is the hold of a row. It is kept by the time of day, since no other clock outlasts a process; times of day
// of VMs differ by seconds, and a hold lasts no longer than it says whatever they are.
func (r Row) hold(d fingerprint.Digest, now time.Time) (quarantine.Hold, error) {
	duration := time.Duration(r.ForSeconds * float64(time.Second))
	if duration <= 0 || duration > quarantine.MaxHold {
		return quarantine.Hold{}, errors.New("for_s is out of range")
	}
	left := min(r.Begun.Add(duration).Sub(now.Round(0)), duration)
	return quarantine.Hold{Content: d, Until: now.Add(left), For: duration}, nil
}

// Follow takes the holds of the table until ctx ends. It calls pause after a call that failed, with the number of those
// that failed in a row.
func (g *Guard) Follow(ctx context.Context, t Table, report func(error), backOff func(failures int)) {
	version, synced, failures := int64(0), false, 0
	for ctx.Err() == nil {
		next, err := g.follow(ctx, t, version, synced)
		if ctx.Err() != nil {
			return
		}
		report(err)
		synced = err == nil
		if err != nil {
			failures++
			backOff(failures)
			continue
		}
		version, failures = next, 0
	}
}

func (g *Guard) follow(ctx context.Context, t Table, version int64, synced bool) (int64, error) {
	if synced {
		rows, removed, next, err := t.Changes(ctx, version, changesTimeout)
		if err == nil {
			g.applyRows(rows, removed)
		}
		return next, err
	}
	rows, next, err := t.All(ctx)
	if err != nil {
		return 0, err
	}
	if next < version {
		// A store that has lost its history may answer with what held seconds ago: a row that it lacks is not gone.
		g.applyRows(rows, nil)
		return version, nil
	}
	g.applyRows(rows, g.missingKeys(rows))
	return next, nil
}

// missingKeys are the keys of holds that were in the table and are not among all its rows.
func (g *Guard) missingKeys(rows []store.Row) []string {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for d, k := range g.stored {
		if k.version > 0 && !present[d.String()] {
			out = append(out, d.String())
		}
	}
	return out
}

func (g *Guard) applyRows(rows []store.Row, removed []string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range rows {
		if err := g.applyRow(r, now); err != nil {
			event.HoldInvalid.Log(g.log).Str("key", r.Key).Err(err).Msg("")
		}
	}
	for _, key := range removed {
		d, err := fingerprint.Parse(key)
		if err != nil {
			continue // It was not taken either.
		}
		delete(g.stored, d)
		delete(g.removals, d)
		if g.applyRelease(d, now, sourceStore) {
			g.releases[d] = now
			notify(g.updates)
		}
	}
}

// applyRow takes one row. The caller holds mu.
func (g *Guard) applyRow(r store.Row, now time.Time) error {
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
	if r.Version < g.stored[d].version {
		return nil // What it was before.
	}
	g.stored[d] = storeState{version: r.Version, duration: h.For, removeAfter: h.Until.Add(h.For)}
	if !g.off {
		g.applyHold(h, sourceStore)
	}
	return nil
}

// Persist writes holds to the table and removes those that have ended, until ctx ends. Reads reports whether this process
// is one of the few that read the store for all: they keep what the gateway that decided did not. It calls note with
// the result of each call, and pause after one that failed, with the number of those that failed in a row.
func (g *Guard) Persist(ctx context.Context, t store.Table, readsForAll func() bool, report func(error), backOff func(failures int)) {
	timer := time.NewTicker(persistRetry)
	defer timer.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.persistDue:
		case <-timer.C:
		}
		for _, c := range g.pendingChanges(time.Now(), readsForAll()) {
			err := g.commit(ctx, t, c)
			if ctx.Err() != nil {
				return
			}
			report(err)
			if err == nil {
				failures = 0
				continue
			}
			failures++
			backOff(failures)
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
		g.committed(c)
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

// pendingChanges are the pendingChanges of the table that this process is to make.
func (g *Guard) pendingChanges(now time.Time, readsForAll bool) []change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []change
	for _, h := range g.ledger.Holds(now) {
		k := g.stored[h.Content]
		observed := g.observedLocally(h.Content)
		_, removing := g.removals[h.Content]
		if k.duration >= h.For || removing || (!observed && (!readsForAll || now.Sub(h.Begun()) < persistDelay)) {
			continue
		}
		out = append(out, g.writeHold(h, k.version))
	}
	for d, k := range g.stored {
		_, drops := g.removals[d]
		if k.version > 0 && (drops || (readsForAll && !k.removeAfter.After(now))) {
			out = append(out, change{content: d, Txn: store.Txn{
				Checks: []store.Check{{Key: d.String(), Version: k.version}},
				Writes: []store.Write{{Key: d.String(), Delete: true}},
			}})
		}
	}
	return out
}

// writeHold is the change that keeps a hold. The caller holds mu.
func (g *Guard) writeHold(h quarantine.Hold, version uint64) change {
	value, err := json.Marshal(Row{Begun: h.Begun().UTC(), ForSeconds: h.For.Seconds(), Servers: g.ledger.Ends(h.Content)})
	if err != nil {
		panic(err) // A Row can always be encoded.
	}
	return change{content: h.Content, hold: h, Txn: store.Txn{
		Checks: []store.Check{{Key: h.Content.String(), Version: version}},
		Writes: []store.Write{{Key: h.Content.String(), Value: value}},
	}}
}

// committed notes that a change was made; the version of the row comes with the next changes of the table.
func (g *Guard) committed(c change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.hold.For == 0 {
		delete(g.stored, c.content)
		delete(g.removals, c.content)
		return
	}
	k := g.stored[c.content]
	k.duration, k.removeAfter = c.hold.For, c.hold.Until.Add(c.hold.For)
	g.stored[c.content] = k
}
