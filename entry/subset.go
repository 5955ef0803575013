package entry

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/policy/subset"
)

// temporaryLinkTTL is how long a link outside the subset is kept after its last use.
const temporaryLinkTTL = time.Minute

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

// backendView is this entry's view of the backend records: the servers that are not retired, and those of
// them in its subset.
type backendView struct {
	list           []contract.Backend
	active, chosen map[string]contract.Backend
	// coverage is by model, or by name of a plain service.
	coverage map[string]coverage
}

// coverage counts the servers that meter the requests for one model, which are decode, mixed and plain ones:
// all of them, and those linked.
type coverage struct{ all, linked int }

// scale returns the ratio of all servers to the linked ones, at least 1.
func (c coverage) scale() float64 { return max(float64(c.all)/float64(max(c.linked, 1)), 1) }

func coverageByModel(active, chosen map[string]contract.Backend) map[string]coverage {
	out := make(map[string]coverage)
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

// newView returns the view of list, or old itself when old was built from the same list.
func newView(old *backendView, set Settings, list []contract.Backend) *backendView {
	if old != nil && sameList(old.list, list) {
		return old
	}
	active := activeBackends(list)
	chosen := chooseSubset(set, active)
	return &backendView{list: list, active: active, chosen: chosen, coverage: coverageByModel(active, chosen)}
}

// sameList reports whether both are the same slice of the index, which never changes a list in place.
func sameList(a, b []contract.Backend) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// chooseSubset returns the backend servers that this entry keeps links to: a bounded number for each model
// and role, and all plain services.
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
		for _, id := range subset.Pick(self, g, subset.Options{MaxSize: set.Policy.SubsetSize, OwnZoneShare: ownZoneShare}) {
			out[id] = all[id]
		}
	}
	return out
}

// ownZoneShare is the fraction of a subset that comes from the entry's own zone.
const ownZoneShare = 0.5

// keepTemporary reports whether the peer is a temporary one that is still needed: it was used within
// temporaryLinkTTL, or its server has to be notified that it is leaving.
func (p *peer) keepTemporary(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.temporaryUsedAt.IsZero() && (p.listedLeaving || now.Sub(p.temporaryUsedAt) < temporaryLinkTTL)
}

// setTemporary makes the peer a temporary one that was last used at usedAt, or a peer of the subset for the
// zero time.
func (p *peer) setTemporary(usedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.temporaryUsedAt = usedAt
}

// renewTemporary records a use of a temporary peer.
func (p *peer) renewTemporary(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.temporaryUsedAt.IsZero() {
		p.temporaryUsedAt = now
	}
}
