package gateway

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// applyServers takes a list of servers and reports whether it changed anything.
func (v *view) applyServers(version int64, list []registry.Server, now time.Time) bool {
	changed, ended := v.apply(version, list, now)
	if len(ended) > 0 && v.onEnded != nil {
		v.onEnded(ended)
	}
	return changed
}

func (v *view) apply(version int64, list []registry.Server, now time.Time) (changed bool, ended []registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	defer func() { ended = v.registry.TakeTerminated() }()
	before := v.registry.List()
	if !v.registry.Apply(version, list, now) {
		return false, nil
	}
	after := v.registry.List()
	if v.listed && equal(before, after) {
		return false, nil
	}
	if v.listed {
		v.steps.add(v.changed, version, before, after)
	}
	v.listed = true
	v.changed = version
	clear(v.usable)
	return true, nil
}

// idOf is the ID of a start that another gateway told by its tag.
func (v *view) idOf(instance string, tag uint32) string {
	return registry.ResolveTag(instance, tag, v.latestStart(instance))
}

// latestStart is the latest known start of an instance; zero if none is known.
func (v *view) latestStart(instance string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.LatestStart(instance)
}

// toldServers takes what another gateway told, and reports whether it changed anything.
// Changes to a list that is not the one known here are of no use: the whole list follows
// once the other has heard which version is. An equal list of a newer version takes that
// version over, so that it is known here for what the other calls it, and not told again.
func (v *view) toldServers(told serversTold, now time.Time) bool {
	list := told.servers
	if told.base != 0 {
		known, version := v.list()
		if version != told.base {
			return false
		}
		list = told.over(known)
	}
	changed := v.applyServers(told.version, list, now)
	v.mu.Lock()
	defer v.mu.Unlock()
	if told.version > v.changed {
		v.steps.add(v.changed, told.version, nil, nil)
		v.changed = told.version
	}
	return changed
}

// list is the list of servers and the version at which it last changed.
func (v *view) list() ([]registry.Server, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.List(), v.changed
}

// listVersion is the version at which the list of servers last changed.
func (v *view) listVersion() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// noteRead notes that this process read the list from the store.
func (v *view) noteRead(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.read, v.confirmed = now, now
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

// serversSince returns the version at which the list changed, and what to tell a gateway
// that has the list of another version; nothing if that is as new.
func (v *view) serversSince(version int64) (changed int64, told *serversTold) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.listed || v.changed <= version {
		return v.changed, nil
	}
	if t, ok := v.steps.since(version); ok {
		return v.changed, &t
	}
	return v.changed, &serversTold{version: v.changed, servers: v.registry.List()}
}

// readAge is how long ago this process read the list from the store.
func (v *view) readAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.read.IsZero() {
		return never
	}
	return now.Sub(v.read)
}

// confirmedAge is how long ago a process that is known of read the list that is known here. Told on, it reaches all
// within a few exchanges of any pairs; told by readers alone, it came once in a pause of a pair, 1.7 s among
// 68 gateways, and most of them read the list themselves, four times as many readings as two make.
func (v *view) confirmedAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmed.IsZero() {
		return never
	}
	return now.Sub(v.confirmed)
}

// never stands for the age of something that has not happened.
const never = time.Hour

// confirm notes that another process read the same list from the store a moment ago.
func (v *view) confirm(version int64, age time.Duration, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version != v.changed {
		return
	}
	if at := now.Add(-age); at.After(v.confirmed) {
		v.confirmed = at
	}
	if age < confirmAge {
		v.registry.Touch(now)
	}
}

// confirmAge is the age up to which another's reading of the list confirms ours.
const confirmAge = 1500 * time.Millisecond
