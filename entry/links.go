package entry

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/policy/subset"
)

// guestLife is how long a link outside the subset is kept after its last use.
const guestLife = time.Minute

// activeBackends returns the backend servers that are not retired, by id.
func activeBackends(list []contract.Backend) map[string]contract.Backend {
	out := make(map[string]contract.Backend, len(list))
	for _, b := range list {
		if !b.Retired {
			out[b.ID] = b
		}
	}
	return out
}

// view is what this entry makes of the backend records: the servers that are not
// retired, and those of them in its subset.
type view struct {
	list           []contract.Backend
	active, chosen map[string]contract.Backend
	// cover is by model, or name of a plain service.
	cover map[string]cover
}

// cover counts the servers at which requests for one model are metered, decode,
// mixed and plain ones: all, and those linked.
type cover struct{ all, linked int }

// scale is the number of all over that of the linked, at least 1.
func (c cover) scale() float64 { return max(float64(c.all)/float64(max(c.linked, 1)), 1) }

func covers(active, chosen map[string]contract.Backend) map[string]cover {
	out := make(map[string]cover)
	for id, b := range active {
		if b.Role == string(engine.RolePrefill) {
			continue
		}
		for _, m := range b.Models {
			c := out[m]
			c.all++
			if _, ok := chosen[id]; ok {
				c.linked++
			}
			out[m] = c
		}
	}
	return out
}

// newView returns the view of list: old itself when it is of the same list.
func newView(old *view, set Settings, list []contract.Backend) *view {
	if old != nil && sameList(old.list, list) {
		return old
	}
	active := activeBackends(list)
	chosen := chooseSubset(set, active)
	return &view{list: list, active: active, chosen: chosen, cover: covers(active, chosen)}
}

// sameList reports whether both are the index's same list, which it never changes.
func sameList(a, b []contract.Backend) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// chooseSubset returns the backend servers that this entry keeps links to: a
// bounded number for each model and role. Plain services are all linked.
func chooseSubset(set Settings, all map[string]contract.Backend) map[string]contract.Backend {
	type kind struct{ model, role string }
	groups := make(map[kind][]subset.Backend)
	out := make(map[string]contract.Backend, len(all))
	for _, b := range all {
		if b.Role == roleService {
			out[b.ID] = b
			continue
		}
		for _, m := range b.Models {
			k := kind{m, b.Role}
			groups[k] = append(groups[k], subset.Backend{ID: b.ID, Zone: b.Zone})
		}
	}
	self := subset.Entry{ID: set.ID, Zone: set.Zone, Index: set.Policy.Index, Count: set.Policy.Entries}
	for _, g := range groups {
		for _, id := range subset.Pick(self, g, subset.Options{MaxSize: set.Policy.SubsetSize, OwnZoneShare: ownShare}) {
			out[id] = all[id]
		}
	}
	return out
}

// ownShare is the part of a subset that comes from the entry's own zone.
const ownShare = 0.5

// isGuest reports whether the peer is a guest that was used lately, or that is to
// go on hearing that it is leaving.
func (p *peer) isGuest(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.guestSince.IsZero() && (p.listed || now.Sub(p.guestSince) < guestLife)
}

// setGuest makes the peer a guest from since on, or no guest for the zero time.
func (p *peer) setGuest(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guestSince = since
}

// renewGuest notes a use of a guest.
func (p *peer) renewGuest(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.guestSince.IsZero() {
		p.guestSince = now
	}
}
