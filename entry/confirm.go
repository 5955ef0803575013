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

// confirmer writes the revisions that this entry and its linked sidecars have in force, in one row: when one
// of them reaches a higher revision, and otherwise every dissemination.ConfirmRefresh.
type confirmer struct {
	settings Settings
	table    store.Table
	pool     *pool
	state    *dissemination.State
	// writtenRevisions holds the revisions by process in the latest row, which was written at writtenAt.
	writtenRevisions map[string]uint64
	writtenAt        time.Time
}

// run writes the row until ctx ends, and then deletes it, so that no operator waits for an entry that has shut
// down. The interval is jittered, so that entries do not all write at once after a change.
func (c *confirmer) run(ctx context.Context, failed func(error)) {
	for {
		interval := c.settings.Timing.Confirm/2 + rand.N(c.settings.Timing.Confirm)
		select {
		case <-ctx.Done():
			if err := c.deleteRow(); err != nil {
				failed(err)
			}
			return
		case <-time.After(interval):
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
	w := store.Write{Key: dissemination.ConfirmPrefix + c.settings.ID, Value: value}
	if err := c.table.Commit(ctx, store.Txn{Writes: []store.Write{w}}); err != nil {
		return err
	}
	c.writtenRevisions, c.writtenAt = revisions, now
	return nil
}

// due reports whether the row has to be written: a process has reached a higher revision than the row has, or
// the row is old.
func (c *confirmer) due(revisions map[string]uint64, now time.Time) bool {
	if now.Sub(c.writtenAt) >= dissemination.ConfirmRefresh {
		return true
	}
	for id, revision := range revisions {
		if revision > c.writtenRevisions[id] {
			return true
		}
	}
	return false
}

// confirmation returns the row and its revisions by process.
func (c *confirmer) confirmation(now time.Time) (dissemination.Confirmation, map[string]uint64) {
	row := dissemination.Confirmation{
		ID: c.settings.ID, Role: dissemination.RoleEntry, Zone: c.settings.Zone, Revision: c.state.Head(), Time: now.UTC(),
	}
	revisions := map[string]uint64{c.settings.ID: row.Revision}
	for _, p := range c.pool.all() {
		if revision, ok := p.revisionInForce(); ok {
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

// revisionInForce returns the revision that the sidecar has in force. It returns false without a link, and
// for a seed, which no backend record names yet.
func (p *peer) revisionInForce() (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedRevision, p.link != nil && !strings.HasPrefix(p.backend.ID, seedPrefix)
}

func (c *confirmer) deleteRow() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.settings.Timing.PlatformCall)
	defer cancel()
	w := store.Write{Key: dissemination.ConfirmPrefix + c.settings.ID, Delete: true}
	return c.table.Commit(ctx, store.Txn{Writes: []store.Write{w}})
}

func (s *Service) confirmLoop(ctx context.Context) {
	c := &confirmer{settings: s.settings, table: s.table, pool: s.pool, state: s.state}
	c.run(ctx, func(err error) {
		s.metrics.Counter(metrics.StoreErrors).Inc(1)
		event.StoreFailed.Log(s.log).Err(err).Msg("")
	})
}

// claimSweepLoop deletes expired claim rows. The interval is jittered, since one entry suffices.
func (s *Service) claimSweepLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(claimSweepInterval/2 + rand.N(claimSweepInterval)):
		}
		for more := true; more && ctx.Err() == nil; {
			var err error
			if more, err = s.guard.table.Sweep(ctx); err != nil {
				break
			}
		}
	}
}

// claimSweepInterval is the mean interval between two deletions of expired claim rows.
const claimSweepInterval = 10 * time.Minute
