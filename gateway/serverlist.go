package gateway

import (
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// applyStoreList applies a server list that this process read from the store, has the other gateways told of servers that leave
// by it, and reports whether it changed anything.
func (v *view) applyStoreList(version store.Position, list []registry.Server, now time.Time) bool {
	known := v.leavingIDs()
	changed := v.applyServers(version, list, now)
	if changed {
		v.leaving.addListed(slices.DeleteFunc(v.leavingIDs(), func(id string) bool { return slices.Contains(known, id) }))
	}
	return changed
}

// leavingIDs returns the IDs of the listed servers that leave.
func (v *view) leavingIDs() (ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for s := range v.registry.All() {
		if s.Leaving {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// applyServers applies a server list and reports whether it changed anything.
func (v *view) applyServers(version store.Position, list []registry.Server, now time.Time) bool {
	changed, replaced := v.applyList(version, list, now)
	if len(replaced) > 0 && v.onReplaced != nil {
		v.onReplaced(replaced)
	}
	return changed
}

func (v *view) applyList(version store.Position, list []registry.Server, now time.Time) (changed bool, replaced []registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	defer func() { replaced = v.registry.TakeTerminated() }()
	before, listedBefore := v.servers()
	if !v.registry.Apply(version, list, now) {
		return false, nil
	}
	v.awaitRemovals(now)
	all, after := v.servers()
	sameList := v.listed && equal(listedBefore, after)
	if !sameList || version.Era() != v.changedVersion.Era() {
		v.recordChange(version, listedBefore, after)
		v.listed, v.listDigest = true, 0
	}
	if sameList && equal(before, all) {
		return false, nil
	}
	v.changedAt = now
	clear(v.usable)
	return true, nil
}

// servers returns all servers in use and those listed, as a rule the same list: sorting thousands takes a while. The caller holds
// mu.
func (v *view) servers() (all, listed []registry.Server) {
	all = v.registry.List()
	if _, missing := v.registry.MissingUntil(); !missing {
		return all, all
	}
	return all, v.registry.Listed()
}

// awaitRemovals has servers removed that the list lacks once the grace after an outage is over. The caller holds mu.
func (v *view) awaitRemovals(now time.Time) {
	if v.removals != nil {
		v.removals.Stop()
		v.removals = nil
	}
	if until, ok := v.registry.MissingUntil(); ok {
		v.removals = time.AfterFunc(until.Sub(now), v.removeMissing)
	}
}

// removeMissing removes the servers that the list lacks. What other gateways are told doesn't change: they were not told of
// these.
func (v *view) removeMissing() {
	v.mu.Lock()
	now := time.Now()
	removed := v.registry.RemoveMissing(now)
	if removed {
		v.changedAt = now
		clear(v.usable)
	}
	v.awaitRemovals(now)
	v.mu.Unlock()
	if removed && v.onRemoved != nil {
		v.onRemoved()
	}
}

// recordChange records the version at which the list changed. The history begins anew with each era of the store, since
// gateways with a list of an earlier era receive the whole list. The caller holds mu.
func (v *view) recordChange(version store.Position, before, after []registry.Server) {
	if version.Era() != v.changedVersion.Era() {
		v.history = listHistory{}
	} else if v.listed {
		v.history.add(v.changedVersion, version, before, after)
	}
	v.changedVersion = version
}

// incarnationID returns the ID of an incarnation that another gateway reports by its tag.
func (v *view) incarnationID(instance string, tag uint32) string {
	return registry.ResolveTag(instance, tag, v.latestIncarnation(instance))
}

// latestIncarnation returns the start time of the latest known incarnation of an instance; zero if none is known.
func (v *view) latestIncarnation(instance string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.LatestStart(instance)
}

// applyServersUpdate applies an update from another gateway and reports whether it changed anything. Changes to a
// list of another version than the local one are ignored: the whole list follows once the other gateway has received
// the local version. An equal list of a newer version sets the local version to it, so that both gateways use the
// same version for it and it is not sent again.
func (v *view) applyServersUpdate(update serversUpdate, now time.Time) bool {
	list := update.servers
	if update.base != 0 {
		known, version := v.list()
		if version != update.base {
			return false
		}
		list = update.applyTo(known)
	}
	changed := v.applyServers(update.version, list, now)
	v.mu.Lock()
	defer v.mu.Unlock()
	if update.version > v.changedVersion {
		v.recordChange(update.version, nil, nil)
	}
	return changed
}

// adoptVersion takes over the version of another gateway's list if the lists are equal by their digests: when two
// gateways read the same change at different versions, the others would otherwise fetch the whole list.
func (v *view) adoptVersion(version store.Position, digest uint64, now time.Time) {
	known := v.listVersion()
	if digest == 0 || version <= known || version.Era() != known.Era() || digest != v.digest() {
		return
	}
	list, _ := v.list()
	v.applyServersUpdate(serversUpdate{version: version, servers: list}, now)
}

// digest returns a digest of the list, which is computed once per change; zero if no list is known.
func (v *view) digest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listed && v.listDigest == 0 {
		v.listDigest = digestOf(v.registry.Listed())
	}
	return v.listDigest
}

// list returns the server list, as other gateways are told it, and the version at which it last changed.
func (v *view) list() ([]registry.Server, store.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Listed(), v.changedVersion
}

// listVersion returns the version at which the server list last changed.
func (v *view) listVersion() store.Position {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changedVersion
}

// readPosition returns the position of the store at which the list was last read.
func (v *view) readPosition() store.Position {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Position()
}

// recordRead records that this process read the list in force from the store.
func (v *view) recordRead(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastRead, v.lastConfirmed = now, now
}

// lacksVersions reports whether the list came from gateways that don't report the software versions of engines, and this
// process has not read it from the store since.
func (v *view) lacksVersions() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.lastRead.Before(v.changedAt) {
		return false
	}
	for s := range v.registry.All() {
		if s.Stage != registry.Whole && s.Version == "" && !s.Unusable {
			return true
		}
	}
	return false
}

// serversOf returns the servers of some services, in no order.
func (v *view) serversOf(services map[string]bool) (out []registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for s := range v.registry.All() {
		if services[s.Service] {
			out = append(out, s)
		}
	}
	return out
}

func equal(a, b []registry.Server) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// serversSince returns the version at which the list changed, and the update for a gateway that has the list of
// another version; nil if that one is as new.
func (v *view) serversSince(version store.Position) (changed store.Position, update *serversUpdate) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.listed || v.changedVersion <= version {
		return v.changedVersion, nil
	}
	if merged, ok := v.history.since(version); ok {
		return v.changedVersion, &merged
	}
	return v.changedVersion, &serversUpdate{version: v.changedVersion, servers: v.registry.Listed()}
}

// listReadAge returns how long ago this process read the list from the store.
func (v *view) listReadAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lastRead.IsZero() {
		return never
	}
	return now.Sub(v.lastRead)
}

// confirmedAge returns how long ago any gateway is known to have read the local version of the list from the store.
// Every gateway passes it on, so it reaches all of them within a few exchanges of any pairs. When only store readers
// reported it, it arrived once per report interval of a pair, 1.7 s among 68 gateways, and most gateways read the
// list themselves: four times as many readings as two make.
func (v *view) confirmedAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lastConfirmed.IsZero() {
		return never
	}
	return now.Sub(v.lastConfirmed)
}

// never is the age of an event that has not happened.
const never = time.Hour

// confirm records that another process read the same list from the store a short time ago.
func (v *view) confirm(version store.Position, age time.Duration, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version != v.changedVersion {
		return
	}
	if at := now.Add(-age); at.After(v.lastConfirmed) {
		v.lastConfirmed = at
	}
	if age < maxConfirmAge {
		v.registry.Touch(now)
	}
}

// maxConfirmAge is the age up to which another gateway's reading of the list confirms the local one.
const maxConfirmAge = 1500 * time.Millisecond
