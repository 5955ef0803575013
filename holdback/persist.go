package holdback

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// TableName is the table of the platform's store that persists holds: one row for each, with the request's digest as
// its key.
const TableName = "quarantine"

// Table is a table of the platform's store with a change feed.
type Table interface {
	store.Table
	// All returns all rows, and the position of the store from which Changes continues.
	All(ctx context.Context) (rows []store.Row, position store.Position, err error)
	// Changes waits for rows to change after a position. It returns the rows that were written, the keys of the rows that
	// were removed, and the position to continue from. It returns store.ErrRestored if the store was restored since.
	Changes(ctx context.Context, after store.Position, wait time.Duration) (rows []store.Row, removed []string, next store.Position, err error)
}

const (
	// changesTimeout is how long the store may wait for a change. Gateways report holds to each other; the store is for
	// those that receive no reports.
	changesTimeout = 15 * time.Second
	// persistRetry is the interval at which holds that could not be written are tried again.
	persistRetry = 500 * time.Millisecond
	// persistDelay is the age from which a process that reads the store for all writes a hold that the deciding gateway
	// has not written: time for that gateway's write and for the change to reach this process.
	persistDelay = 2 * time.Second
)

// Row is the value of a hold's row.
type Row struct {
	Begun time.Time `json:"begun"`
	// ForSeconds is the full duration of the hold.
	ForSeconds float64 `json:"for_s"`
	// Servers are the servers that terminated while running the request, as known to the gateway that wrote the row.
	Servers []string `json:"servers"`
	// Parts are the IDs of the parts of prompts that a request must all have to be quarantined, whose digest is the key;
	// none if the key is the digest of one request.
	Parts []string `json:"parts,omitempty"`
}

// storeState is the local state of a hold's row in the store.
type storeState struct {
	// version is that of the row; zero until the row was read.
	version uint64
	// duration is the full duration of the hold.
	duration time.Duration
	// removeAfter is the time from which the row may be removed.
	removeAfter time.Time
	// released is set if the hold was released before the row was read: a store that was restored lacks the removal.
	released bool
}

// hold returns the hold of a row. Rows use wall-clock time, since a monotonic clock doesn't outlast its process; the
// clocks of VMs differ by seconds, and whatever they show, a hold lasts no longer than its duration.
func (r Row) hold(d fingerprint.Digest, now time.Time) (quarantine.Hold, error) {
	duration := bounded.Seconds(r.ForSeconds)
	if duration <= 0 || duration > quarantine.MaxHold {
		return quarantine.Hold{}, errors.New("for_s is out of range")
	}
	if len(r.Parts) > 0 && d != fingerprint.OfParts(r.Parts) {
		return quarantine.Hold{}, errors.New("the key is not the digest of parts")
	}
	left := min(r.Begun.Add(duration).Sub(now.Round(0)), duration)
	return quarantine.Hold{Content: d, Parts: r.Parts, Until: now.Add(left), Duration: duration}, nil
}

// Follow applies the holds of the table and their changes until ctx is done. It calls report with the result of each
// call, and backOff after a failed one, with the number of consecutive failures.
func (g *Guard) Follow(ctx context.Context, t Table, report func(error), backOff func(failures int)) {
	position, synced, failures := store.Position(0), false, 0
	for ctx.Err() == nil {
		next, err := g.follow(ctx, t, position, synced)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, store.ErrRestored) {
			synced = false
			backOff(1)
			continue
		}
		report(err)
		synced = err == nil
		if err != nil {
			failures++
			backOff(failures)
			continue
		}
		position, failures = next, 0
	}
}

func (g *Guard) follow(ctx context.Context, t Table, position store.Position, synced bool) (store.Position, error) {
	if synced {
		rows, removed, next, err := t.Changes(ctx, position, changesTimeout)
		if err == nil {
			g.applyRows(rows, removed)
		}
		return next, err
	}
	rows, next, err := t.All(ctx)
	if err != nil {
		return 0, err
	}
	if next < position {
		// A late answer: a row that it lacks was not removed.
		g.applyRows(rows, nil)
		return position, nil
	}
	if position != 0 && next.Era() != position.Era() {
		g.forgetLostRows(rows)
	}
	g.applyRows(rows, g.missingKeys(rows))
	return next, nil
}

// forgetLostRows forgets the rows that a restored store lacks, so that their holds are written again. rows is the
// complete table.
func (g *Guard) forgetLostRows(rows []store.Row) {
	present := keysOf(rows)
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.stored, func(d fingerprint.Digest, _ storeState) bool { return !present[d.String()] })
	notify.Send(g.persistDue)
}

func keysOf(rows []store.Row) map[string]bool {
	keys := make(map[string]bool, len(rows))
	for _, r := range rows {
		keys[r.Key] = true
	}
	return keys
}

// missingKeys returns the keys of holds that were in the table and are missing in rows, the complete table.
func (g *Guard) missingKeys(rows []store.Row) []string {
	present := keysOf(rows)
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
			continue // Such a row was never applied.
		}
		delete(g.stored, d)
		delete(g.removals, d)
		if g.applyRelease(d, now, sourceStore) {
			g.releases[d] = now
			notify.Send(g.updates)
		}
	}
}

// applyRow applies one row. The caller holds mu.
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
		return nil // An earlier state of the row.
	}
	g.stored[d] = storeState{
		version: r.Version, duration: h.Duration, removeAfter: h.Until.Add(h.Duration), released: g.ledger.Released(h),
	}
	if !g.off {
		g.applyHold(h, sourceStore)
	}
	return nil
}

// Persist writes holds to the table and removes those that have ended, until ctx is done. readsForAll reports whether
// this process is one of the few that read the store for all gateways: these also write the holds that the deciding
// gateway did not. Persist calls report with the result of each call, and backOff after a failed one, with the number of
// consecutive failures.
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
		for _, c := range g.dueChanges(time.Now(), readsForAll()) {
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

// commit makes one change of the table. A conflict with another process is no error: its row arrives with the next
// changes of the table.
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

// change is a transaction that writes or removes one hold.
type change struct {
	store.Txn
	content fingerprint.Digest
	hold    quarantine.Hold
}

// dueChanges returns the changes of the table that this process is to make.
func (g *Guard) dueChanges(now time.Time, readsForAll bool) []change {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []change
	for _, h := range g.ledger.Holds(now) {
		k := g.stored[h.Content]
		observed := g.observedLocally(h)
		_, removing := g.removals[h.Content]
		if k.duration >= h.Duration || removing || (!observed && (!readsForAll || now.Sub(h.StartedAt()) < persistDelay)) {
			continue
		}
		out = append(out, g.changeToWrite(h, k.version))
	}
	for d, k := range g.stored {
		_, removing := g.removals[d]
		if k.version > 0 && (removing || (readsForAll && (k.released || !k.removeAfter.After(now)))) {
			out = append(out, change{content: d, Txn: store.Txn{
				Checks: []store.Check{{Key: d.String(), Version: k.version}},
				Writes: []store.Write{{Key: d.String(), Delete: true}},
			}})
		}
	}
	return out
}

// changeToWrite returns the change that writes a hold. The caller holds mu.
func (g *Guard) changeToWrite(h quarantine.Hold, version uint64) change {
	value, err := json.Marshal(Row{Begun: h.StartedAt().UTC(), ForSeconds: h.Duration.Seconds(), Servers: g.ledger.TerminatedServers(h), Parts: h.Parts})
	if err != nil {
		panic(err) // A Row can always be encoded.
	}
	return change{content: h.Content, hold: h, Txn: store.Txn{
		Checks: []store.Check{{Key: h.Content.String(), Version: version}},
		Writes: []store.Write{{Key: h.Content.String(), Value: value}},
	}}
}

// committed records that a change was made; the version of the row arrives with the next changes of the table.
func (g *Guard) committed(c change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.hold.Duration == 0 {
		delete(g.stored, c.content)
		delete(g.removals, c.content)
		return
	}
	k := g.stored[c.content]
	k.duration, k.removeAfter = c.hold.Duration, c.hold.Until.Add(c.hold.Duration)
	g.stored[c.content] = k
}
