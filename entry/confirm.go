package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// confirmer writes which revision this entry and the sidecars that it is linked to
// have in force, in one row: when one of them has reached a higher revision, and
// otherwise every dissemination.ConfirmRefresh.
type confirmer struct {
	set   Settings
	table store.Table
	pool  *pool
	state *dissemination.State
	// written is the revision by process in the row written last, at the time at.
	written map[string]uint64
	at      time.Time
}

// run writes until ctx ends, and then deletes the row, so that nobody waits for an
// entry that has shut down. The interval is jittered, so that entries do not all
// write at once after a change.
func (c *confirmer) run(ctx context.Context, failed func(error)) {
	for {
		pause := c.set.Timing.Confirm/2 + rand.N(c.set.Timing.Confirm)
		select {
		case <-ctx.Done():
			if err := c.withdraw(); err != nil {
				failed(err)
			}
			return
		case <-time.After(pause):
		}
		if err := c.write(ctx, time.Now()); err != nil && ctx.Err() == nil {
			failed(err)
		}
	}
}

func (c *confirmer) write(ctx context.Context, now time.Time) error {
	row, revisions := c.confirmation(now)
	if !c.due(revisions, now) {
		return nil
	}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	w := store.Write{Key: dissemination.ConfirmPrefix + c.set.ID, Value: value}
	if err := c.table.Commit(ctx, store.Txn{Writes: []store.Write{w}}); err != nil {
		return err
	}
	c.written, c.at = revisions, now
	return nil
}

// due reports whether the row is to be written: a process has reached a higher
// revision than written, or the row is old.
func (c *confirmer) due(revisions map[string]uint64, now time.Time) bool {
	if now.Sub(c.at) >= dissemination.ConfirmRefresh {
		return true
	}
	for id, revision := range revisions {
		if revision > c.written[id] {
			return true
		}
	}
	return false
}

// confirmation returns the row, and the revisions in it by process.
func (c *confirmer) confirmation(now time.Time) (dissemination.Confirmation, map[string]uint64) {
	row := dissemination.Confirmation{
		ID: c.set.ID, Role: dissemination.RoleEntry, Zone: c.set.Zone, Revision: c.state.Head(), Time: now.UTC(),
	}
	revisions := map[string]uint64{c.set.ID: row.Revision}
	for _, p := range c.pool.all() {
		if revision, ok := p.inForce(); ok {
			revisions[p.backend.ID] = revision
			row.Sidecars = addSidecar(row.Sidecars, p.backend, revision)
		}
	}
	return row, revisions
}

func addSidecar(groups []dissemination.SidecarsInZone, b contract.Backend, revision uint64) []dissemination.SidecarsInZone {
	i := slices.IndexFunc(groups, func(g dissemination.SidecarsInZone) bool {
		return g.Zone == b.Zone && g.Revision == revision
	})
	if i < 0 {
		return append(groups, dissemination.SidecarsInZone{Zone: b.Zone, Revision: revision, IDs: []string{b.ID}})
	}
	groups[i].IDs = append(groups[i].IDs, b.ID)
	return groups
}

// inForce returns the revision that the sidecar has in force; false without a
// link, and for a seed, which no backend record names yet.
func (p *peer) inForce() (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmed, p.link != nil && !strings.HasPrefix(p.backend.ID, seedPrefix)
}

func (c *confirmer) withdraw() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.set.Timing.PlatformCall)
	defer cancel()
	w := store.Write{Key: dissemination.ConfirmPrefix + c.set.ID, Delete: true}
	return c.table.Commit(ctx, store.Txn{Writes: []store.Write{w}})
}

func (s *Service) confirmLoop(ctx context.Context) {
	c := &confirmer{set: s.set, table: s.table, pool: s.pool, state: s.state}
	c.run(ctx, func(err error) {
		s.met.Counter(metrics.StoreErrors).Inc(1)
		event.StoreFailed.Log(s.log).Err(err).Msg("")
	})
}

// claimSweepLoop deletes claim rows that are over; the pause is jittered, since
// one entry suffices.
func (s *Service) claimSweepLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(claimSweep/2 + rand.N(claimSweep)):
		}
		for more := true; more && ctx.Err() == nil; {
			var err error
			if more, err = s.guard.table.Sweep(ctx); err != nil {
				break
			}
		}
	}
}

// claimSweep is the mean pause between two deletions of old claim rows.
const claimSweep = 10 * time.Minute
