package gateway

import (
	"maps"
	"slices"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// serversUpdate is a server list as one gateway reports it to another: the whole list when base is zero, otherwise
// the changes since the version base.
type serversUpdate struct {
	base, version store.Position
	servers       []registry.Server
	// removed are instances. An instance that has restarted is not among them: its later incarnation, among servers,
	// replaces the earlier one.
	removed []string
}

// listChange is one change of the server list, from one version of the store to another.
type listChange struct {
	from, to store.Position
	// updated are servers that are new or have changed; removed are instances.
	updated []registry.Server
	removed []string
}

// listHistory holds the latest changes of the server list. A gateway that has one of their versions is sent only the
// later changes: a list of a thousand servers has some 65 kB, and every change is sent from every gateway to every
// other.
type listHistory struct {
	changes []listChange
}

// maxHistory is the number of changes that are kept. While the servers of a service are replaced one after the other,
// there is a change every half second, and peers receive it within seconds.
const maxHistory = 32

// add records the change from one list to the next.
func (h *listHistory) add(from, to store.Position, before, after []registry.Server) {
	change := listChange{from: from, to: to}
	old := byInstance(before)
	for _, s := range after {
		if old[s.Instance()] != s {
			change.updated = append(change.updated, s)
		}
		delete(old, s.Instance())
	}
	change.removed = slices.Sorted(maps.Keys(old))
	h.changes = append(h.changes, change)
	if len(h.changes) > maxHistory {
		h.changes = slices.Delete(h.changes, 0, len(h.changes)-maxHistory)
	}
}

// since merges the changes after a version; false if that version is no longer in the history.
func (h *listHistory) since(version store.Position) (serversUpdate, bool) {
	i := slices.IndexFunc(h.changes, func(change listChange) bool { return change.from == version })
	if i < 0 {
		return serversUpdate{}, false
	}
	updated, removed := map[string]registry.Server{}, map[string]bool{}
	out := serversUpdate{base: version}
	for _, change := range h.changes[i:] {
		out.version = change.to
		for _, s := range change.updated {
			updated[s.Instance()] = s
			delete(removed, s.Instance())
		}
		for _, instance := range change.removed {
			delete(updated, instance)
			removed[instance] = true
		}
	}
	for _, instance := range slices.Sorted(maps.Keys(updated)) {
		out.servers = append(out.servers, updated[instance])
	}
	out.removed = slices.Sorted(maps.Keys(removed))
	return out, true
}

// applyTo returns the whole list that results from applying the update to a list of the version base.
func (u serversUpdate) applyTo(list []registry.Server) []registry.Server {
	whole := byInstance(list)
	for _, s := range u.servers {
		whole[s.Instance()] = s
	}
	for _, instance := range u.removed {
		delete(whole, instance)
	}
	return slices.Collect(maps.Values(whole))
}

// byInstance indexes a list by instance; a list holds at most one incarnation of each.
func byInstance(list []registry.Server) map[string]registry.Server {
	out := make(map[string]registry.Server, len(list))
	for _, s := range list {
		out[s.Instance()] = s
	}
	return out
}
