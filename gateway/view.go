package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// view is what the process believes; it implements forward.View.
type view struct {
	table atomic.Pointer[route.Table]
	// routers is the number of gateways, this one included.
	routers atomic.Int64

	mu       sync.Mutex
	registry *registry.Registry
	// usable caches the registry's answer for each service until the next change.
	usable map[string][]registry.Server
	// listed is set once a list of servers was read.
	listed bool
}

func newView() *view {
	v := &view{registry: registry.New(), usable: map[string][]registry.Server{}}
	v.routers.Store(1)
	return v
}

// Table implements forward.View.
func (v *view) Table() *route.Table { return v.table.Load() }

// Routers implements forward.View.
func (v *view) Routers() int { return int(v.routers.Load()) }

// Servers implements forward.View.
func (v *view) Servers(service string) []registry.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	list, ok := v.usable[service]
	if !ok {
		list = v.registry.Usable(service)
		v.usable[service] = list
	}
	return list
}

// applyTable takes t unless a newer one is in force, and reports whether it did.
func (v *view) applyTable(t *route.Table) bool {
	for {
		old := v.table.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if v.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

// applyServers takes a list of servers and reports whether it changed anything.
func (v *view) applyServers(version int64, list []registry.Server, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.registry.List()
	if !v.registry.Apply(version, list, now) {
		return false
	}
	v.listed = true
	after := v.registry.List()
	if equal(before, after) {
		return false
	}
	clear(v.usable)
	return true
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

// informed reports whether requests can be answered.
func (v *view) informed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed && v.table.Load() != nil
}

// addresses are those of all known servers.
func (v *view) addresses() map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[string]bool{}
	for _, s := range v.registry.List() {
		out[s.Addr] = true
	}
	return out
}
