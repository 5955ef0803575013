package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// view is what the process believes; it implements forward.View.
type view struct {
	table atomic.Pointer[route.Table]
	// encoded is the table as the store holds it, for other gateways.
	encoded atomic.Pointer[encodedTable]
	// routers is the number of gateways, this one included, for shares of budgets; others
	// are those known to live.
	routers, others atomic.Int64

	mu       sync.Mutex
	registry *registry.Registry
	// usable caches the registry's answer for each service until the next change.
	usable    map[string][]registry.Server
	switching map[string]switching
	// down are servers that have ended though they are still listed, until a time.
	down map[string]time.Time
	// leaving are servers that have said in answers that they leave.
	leaving *leavers
	// listed is set once a list of servers is known.
	listed bool
	// changed is the version of the store at which the list last changed, steps how it came
	// there, read when this process last read it itself, and confirmed when any process that is
	// known of last read this version.
	changed         int64
	steps           changes
	read, confirmed time.Time
	// proofs is how old the table is proved to be.
	proofs *proofs
	// onEnded is told of starts of servers that were followed by a later one; it is called without
	// mu held.
	onEnded func([]registry.Server)
}

// encodedTable is the encoding of one version of the table.
type encodedTable struct {
	version int64
	data    []byte
}

func newView() *view {
	v := &view{registry: registry.New(), usable: map[string][]registry.Server{}, switching: map[string]switching{}, down: map[string]time.Time{}, leaving: newLeavers()}
	v.routers.Store(1)
	return v
}

// Table implements forward.View.
func (v *view) Table() *route.Table { return v.table.Load() }

// Proved implements forward.View.
func (v *view) Proved(ctx context.Context) bool { return v.proofs.trusted(ctx) }

// ProvedForUnknownKey implements forward.View.
func (v *view) ProvedForUnknownKey(ctx context.Context) bool { return v.proofs.lately(ctx) }

// Routers implements forward.View.
func (v *view) Routers() int { return int(v.routers.Load()) }

// version is that of the route table in force, or -1.
func (v *view) version() int64 {
	if t := v.table.Load(); t != nil {
		return t.Version
	}
	return -1
}

// Others implements forward.View.
func (v *view) Others() int { return int(v.others.Load()) }

// Servers implements forward.View.
func (v *view) Servers(service string) []registry.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	list, ok := v.usable[service]
	if !ok {
		list = slices.DeleteFunc(v.registry.Usable(service), func(s registry.Server) bool {
			_, moving := v.switching[s.ID]
			_, down := v.down[s.ID]
			return moving || down
		})
		v.usable[service] = list
	}
	return list
}

// all returns the servers of a service that are not leaving, also those that change
// their stage, and to which stage.
func (v *view) all(service string) ([]registry.Server, map[string]registry.Stage) {
	v.mu.Lock()
	defer v.mu.Unlock()
	moving := make(map[string]registry.Stage, len(v.switching))
	for id, w := range v.switching {
		moving[id] = w.to
	}
	return v.registry.Usable(service), moving
}

// switchTo notes that an engine was ordered to another stage some time ago. It gets no
// requests until it has it.
func (v *view) switchTo(id string, to registry.Stage, age time.Duration, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := now.Add(-age)
	if old, ok := v.switching[id]; ok && !at.After(old.at.Add(switchSlack)) {
		return
	}
	if age >= switchLimit || v.stageOf(id) == to {
		return
	}
	v.switching[id] = switching{to: to, at: at}
	clear(v.usable)
}

// stageOf returns the stage of an engine as listed; Whole if it is not. The caller holds mu.
func (v *view) stageOf(id string) registry.Stage {
	s, _ := v.registry.Get(id)
	return s.Stage
}

// Listed implements forward.View.
func (v *view) Listed(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.registry.Get(id)
	return ok && !s.Leaving
}

// Leaving implements forward.View.
func (v *view) Leaving(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Leaving(id)
}

// downLife is how long a server that refuses connections gets no requests. Its entry
// lapses after three heartbeats of some 1.2 s.
const downLife = 5 * time.Second

// MarkDown implements forward.View.
func (v *view) MarkDown(s registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down[s.ID] = time.Now().Add(downLife)
	clear(v.usable)
}

// MarkReplaced implements forward.View.
func (v *view) MarkReplaced(s registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.MarkLeaving(s.ID) {
		clear(v.usable)
	}
}

// settle ends the switches that are done, or that took too long to be believed, and
// tries servers again that were down.
func (v *view) settle(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, until := range v.down {
		if now.After(until) {
			delete(v.down, id)
			clear(v.usable)
		}
	}
	for id, w := range v.switching {
		age := now.Sub(w.at)
		if age >= switchLimit || (age >= w.least && v.stageOf(id) == w.to) {
			delete(v.switching, id)
			clear(v.usable)
		}
	}
}

// switches returns the engines that change their stage.
func (v *view) switches() map[string]switching {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.switching)
}

// switching is an engine that changes its stage.
type switching struct {
	to registry.Stage
	at time.Time
	// least is the time that a change takes at least.
	least time.Duration
}

const (
	// switchLimit is when a change that is not seen in the list is given up: running
	// work is finished first, which takes some seconds.
	switchLimit = 20 * time.Second
	// switchSlack is by how much two tellings of one change may differ in age.
	switchSlack = 2 * time.Second
)

// applyTable takes t unless a newer one is in force, and reports whether it did.
func (v *view) applyTable(t *route.Table, encoded []byte) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.table.Load()
	if old != nil && t.Version <= old.Version {
		return false
	}
	v.table.Store(t)
	v.encoded.Store(&encodedTable{version: t.Version, data: encoded})
	return true
}

// informed reports whether requests can be answered.
func (v *view) informed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed && v.table.Load() != nil
}

// known are the addresses and the instances of all servers.
func (v *view) known() (addrs, ids map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	addrs, ids = map[string]bool{}, map[string]bool{}
	for _, s := range v.registry.List() {
		addrs[s.Addr], ids[s.ID] = true, true
	}
	return addrs, ids
}
