package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// view is the local state of routes and servers; it implements forward.View.
type view struct {
	table atomic.Pointer[route.Table]
	// encoded is the table as the store holds it, for other gateways.
	encoded atomic.Pointer[encodedTable]
	// routers is the number of gateways, this one included, for shares of budgets; others is the number of other live
	// gateways.
	routers, others atomic.Int64

	mu       sync.Mutex
	registry *registry.Registry
	// usable caches the registry's answer for each service until the next change.
	usable    map[string][]registry.Server
	switching map[string]stageSwitch
	// down are servers that have terminated though they are still listed, each until a time.
	down map[string]time.Time
	// leaving are servers that have announced in responses that they are leaving.
	leaving *leavingServers
	// listed is set once a server list is known.
	listed bool
	// changedVersion is the version of the store at which the list last changed, history its latest changes, lastRead
	// when this process last read the list itself, and lastConfirmed when any gateway is known to have last read this
	// version.
	changedVersion store.Position
	history        listHistory
	// listDigest is a digest of the list; zero until it is needed.
	listDigest              uint64
	lastRead, lastConfirmed time.Time
	// changedAt is when the list last changed here.
	changedAt time.Time
	// proofs tracks how recently the table was proved to be the newest.
	proofs *proofs
	// removals is the timer that removes servers which the list lacks; nil if there are none. onRemoved is called after it has,
	// without mu held.
	removals  *time.Timer
	onRemoved func()
	// onReplaced is called with incarnations of servers that a later one has replaced, without mu held.
	onReplaced func([]registry.Server)
}

// encodedTable is the encoding of one version of the table.
type encodedTable struct {
	version int64
	data    []byte
}

func newView() *view {
	v := &view{registry: registry.New(), usable: map[string][]registry.Server{}, switching: map[string]stageSwitch{}, down: map[string]time.Time{}, leaving: newLeavingServers()}
	v.routers.Store(1)
	return v
}

// Table implements forward.View.
func (v *view) Table() *route.Table { return v.table.Load() }

// Proved implements forward.View.
func (v *view) Proved(ctx context.Context) bool { return v.proofs.trusted(ctx) }

// ProvedForUnknownKey implements forward.View.
func (v *view) ProvedForUnknownKey(ctx context.Context) bool {
	return v.proofs.provedForUnknownKey(ctx)
}

// Routers implements forward.View.
func (v *view) Routers() int { return int(v.routers.Load()) }

// version returns that of the route table in force, or -1.
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
		list = slices.DeleteFunc(v.registry.Usable(service), func(s registry.Server) bool { return v.verdict(s.ID).Excluded })
		v.usable[service] = list
	}
	return list
}

// verdict is the verdict on a server by what this process keeps besides its entry. A mark counts until expire drops it.
// The caller holds mu.
func (v *view) verdict(id string) eligibility.Verdict {
	out := eligibility.NewVerdict()
	v.conditions(id, func(c eligibility.Condition) { out.Add(c, time.Time{}) })
	return out
}

// conditions calls add with the conditions of a server that this process keeps besides its entry. The caller holds mu.
func (v *view) conditions(id string, add func(eligibility.Condition)) {
	if sw, ok := v.switching[id]; ok {
		add(eligibility.Condition{Reason: eligibility.StageChange, Author: eligibility.Peers, Since: sw.at, Until: sw.at.Add(switchTimeout)})
	}
	if until, ok := v.down[id]; ok {
		add(eligibility.Condition{Reason: eligibility.Down, Author: eligibility.Router, Since: until.Add(-downTTL), Until: until})
	}
}

// allServers returns the servers of a service that are not leaving, including those that change their stage, and the
// new stage of these.
func (v *view) allServers(service string) ([]registry.Server, map[string]registry.Stage) {
	v.mu.Lock()
	defer v.mu.Unlock()
	moving := make(map[string]registry.Stage, len(v.switching))
	for id, sw := range v.switching {
		moving[id] = sw.to
	}
	return v.registry.Usable(service), moving
}

// recordSwitch records that an engine was ordered to another stage, age ago. It gets no requests until the change is
// complete.
func (v *view) recordSwitch(id string, to registry.Stage, age time.Duration, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := now.Add(-age)
	if old, ok := v.switching[id]; ok && !at.After(old.at.Add(switchAgeTolerance)) {
		return
	}
	if age >= switchTimeout || v.stageOf(id) == to {
		return
	}
	v.switching[id] = stageSwitch{to: to, at: at}
	clear(v.usable)
}

// stageOf returns the stage of an engine as listed; Whole if it is not listed. The caller holds mu.
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

// LeavingSince implements forward.View.
func (v *view) LeavingSince(id string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.LeavingSince(id)
}

// downTTL is how long a server that refuses connections gets no requests. Its entry lapses after three heartbeats of
// some 1.2 s.
const downTTL = 5 * time.Second

// MarkDown implements forward.View.
func (v *view) MarkDown(s registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down[s.ID] = time.Now().Add(downTTL)
	clear(v.usable)
}

// MarkReplaced implements forward.View.
func (v *view) MarkReplaced(s registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.MarkLeaving(s.ID, time.Now()) {
		clear(v.usable)
	}
}

// expire drops stage changes that are complete or have timed out, and the marks of down servers whose time is over.
func (v *view) expire(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, until := range v.down {
		if now.After(until) {
			delete(v.down, id)
			clear(v.usable)
		}
	}
	for id, sw := range v.switching {
		age := now.Sub(sw.at)
		if age >= switchTimeout || (age >= sw.minAge && v.stageOf(id) == sw.to) {
			delete(v.switching, id)
			clear(v.usable)
		}
	}
}

// switches returns the engines that change their stage.
func (v *view) switches() map[string]stageSwitch {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.switching)
}

// stageSwitch is a change of an engine's stage that is in progress.
type stageSwitch struct {
	to registry.Stage
	at time.Time
	// minAge is the minimum duration of a change.
	minAge time.Duration
}

const (
	// switchTimeout is when a change that does not appear in the list is given up: running work is finished first,
	// which takes some seconds.
	switchTimeout = 20 * time.Second
	// switchAgeTolerance is the maximum difference in age between two reports of the same change.
	switchAgeTolerance = 2 * time.Second
)

// applyTable puts t in force unless a newer table is, and reports whether it did.
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

// synced reports whether both the route table and the server list are known, so that requests can be answered.
func (v *view) synced() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed && v.table.Load() != nil
}

// knownServers returns the addresses and the IDs of all listed servers.
func (v *view) knownServers() (addrs, ids map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	addrs, ids = map[string]bool{}, map[string]bool{}
	for _, s := range v.registry.List() {
		addrs[s.Addr], ids[s.ID] = true, true
	}
	return addrs, ids
}
