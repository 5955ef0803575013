package forward

import (
	"maps"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// engines adds locking and timers to the policies that queue and place the requests of one service's decode engines.
// It is safe for concurrent use.
type engines struct {
	policy waitqueue.Policy
	off    mechanism.Set
	// zone is the zone of this process.
	zone string

	mu     sync.Mutex
	memory *kvmemory.Pool
	// list returns the servers that may get new work; synced is the list that memory was last updated with.
	list   func() []registry.Server
	synced engineList
	// verdicts are those on the engines for copies of runs; they must not take mu.
	verdicts eligibility.Verdicts
	queue    waitqueue.Queue
	// entries are the requests in queue.
	entries   map[*waitqueue.Waiter]queueEntry
	customers *customers
	// lengths predicts the output length of runs, by route.
	lengths map[string]*outputlength.Learner
	// checkScheduled is set while a timer is pending that will check the queue again.
	checkScheduled bool
	// shortageAt is when a request last waited for memory.
	shortageAt time.Time
	// changed are the engines whose placement has changed since it was last reported; prefilling is the load of each
	// prefill engine.
	changed    map[string]struct{}
	prefilling map[string]kvmemory.Load
	// copied is the memory that this process placed for copies of runs, in tokens.
	copied int
	// notify is called, with mu held, when changed becomes non-empty or customers begin or cease to wait; it must not
	// block.
	notify func()
}

func newEngines(seed, zone string, off mechanism.Set, m *metrics.Set, list func() []registry.Server, verdicts eligibility.Verdicts, notify func()) *engines {
	c := newCustomers(off, m)
	return &engines{
		customers: c, queue: waitqueue.Queue{Shares: c.shares},
		list: list, verdicts: verdicts,
		changed: map[string]struct{}{}, prefilling: map[string]kvmemory.Load{}, notify: notify,
		zone:    zone,
		policy:  queuePolicy(off),
		off:     off,
		memory:  kvmemory.New(memoryConfig(off), seed),
		entries: map[*waitqueue.Waiter]queueEntry{}, lengths: map[string]*outputlength.Learner{},
	}
}

const (
	// overtakeLimit is how long smaller requests may overtake a larger one that waits.
	overtakeLimit = 300 * time.Millisecond
	// queueCheckInterval is the interval at which a queue that does not move is checked again: the staggered delays of
	// two other gateways.
	queueCheckInterval = 10 * time.Millisecond
	// startDelay is the time that is expected from a choice of an engine to the first token: prompts of some 5,000
	// tokens are prefilled and transferred in 0.2 to 0.4 s.
	startDelay = 300 * time.Millisecond
)

// engineList identifies a list of servers, which is the same slice in the view until something changes, together with
// the engine's capacity and slots in the route table.
type engineList struct {
	first           *registry.Server
	length          int
	capacity, slots int
}

// sync updates memory with the engines that may get new work. The caller holds mu.
func (e *engines) sync(servers []registry.Server, capacity, slots int) {
	now := engineList{length: len(servers), capacity: capacity, slots: slots}
	if len(servers) > 0 {
		now.first = &servers[0]
	}
	if now == e.synced {
		return
	}
	e.synced = now
	list := make([]kvmemory.Server, 0, len(servers))
	for _, s := range servers {
		if s.Stage == registry.Decode {
			list = append(list, kvmemory.Server{ID: s.ID, Zone: s.Zone, Capacity: capacity, Slots: slots, Version: s.Version})
		}
	}
	e.memory.Sync(list)
}

// newRun returns the memory forecast of a request of a route, and the number of tokens that it is expected to
// generate.
func (e *engines) newRun(routeName string, m *Meta, need int) (*kvmemory.Run, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.off.Has(mechanism.Forecast) {
		return &kvmemory.Run{Need: need, Prompt: m.PromptTokens}, need - m.PromptTokens
	}
	l, ok := e.lengths[routeName]
	if !ok {
		l = outputlength.New()
		e.lengths[routeName] = l
	}
	length := l.Begin(m.LengthHint, m.MaxTokens)
	return &kvmemory.Run{Need: need, Prompt: m.PromptTokens, Length: length}, length.Median()
}

// forget drops the predictors of routes that known does not report. Runs in progress keep their predictions.
func (e *engines) forget(known func(routeName string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.lengths, func(name string, _ *outputlength.Learner) bool { return !known(name) })
}

// finished records that a run has completed by itself.
func (e *engines) finished(r *kvmemory.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Finish()
}

// rejectsEarly reports whether a request is to be rejected without waiting.
func (e *engines) rejectsEarly(w *waitqueue.Waiter, hold time.Duration, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if hold <= 0 || e.queue.Len() == 0 {
		return false
	}
	rate := e.memory.ExpectedTokens() / hold.Seconds()
	return e.policy.ShouldReject(e.queue.Ahead(w), rate, w.GiveUpAt.Sub(now))
}

// dispatch assigns queued requests to engines that are expected to have enough free memory. The caller holds mu.
func (e *engines) dispatch() {
	now := time.Now()
	for {
		var id string
		w := e.queue.Next(func(w *waitqueue.Waiter) bool {
			var ok bool
			entry := e.entries[w]
			id, ok = e.memory.Pick(kvmemory.Request{
				Run: entry.run, Late: w.Late, Yields: e.customers.yields(w), Zone: e.zone, Exclude: w.Exclude, Verdicts: entry.verdictsOr(e.verdicts),
				Version: w.Version, Withheld: e.queue.Withheld(),
				Deadline: entry.deadline, Delay: startDelay, GiveUpAt: w.GiveUpAt,
			}, now)
			return ok && entry.reserve(id)
		}, overtakeLimit, now)
		if w == nil {
			break
		}
		entry := e.entries[w]
		e.memory.Place(id, entry.run)
		e.customers.place(w, entry.run)
		e.markChanged(id)
		entry.engine <- id
		delete(e.entries, w)
	}
	e.customers.countReordered(e.queue.Reordered())
	e.scheduleCheck()
}

// scheduleCheck schedules another check of a queue that is not empty. The caller holds mu.
func (e *engines) scheduleCheck() {
	if e.checkScheduled || e.queue.Len() == 0 {
		return
	}
	e.checkScheduled = true
	time.AfterFunc(queueCheckInterval, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.checkScheduled = false
		e.dropQuarantined()
		// Otherwise a request that waits alone would miss engines added since, and wait until it is given up.
		e.sync(e.list(), e.synced.capacity, e.synced.slots)
		e.dispatch()
	})
}

func (e *engines) refused(id string, r *kvmemory.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Refused(id, r, time.Now())
	e.customers.release(r)
	e.markChanged(id)
}

// recordPrefill records the tokens that were sent to a prefill engine and are not prefilled yet, and those of exported
// prompts that it holds.
func (e *engines) recordPrefill(id string, tokens, held int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.prefilling[id] = (kvmemory.Load{Tokens: tokens, Held: held}); tokens+held == 0 {
		delete(e.prefilling, id)
	}
	e.markChanged(id)
}

// load returns the load that this process placed on an engine. The caller holds mu.
func (e *engines) load(id string, now time.Time) kvmemory.Load {
	if l, ok := e.prefilling[id]; ok {
		return l
	}
	return e.memory.OwnLoad(id, now)
}

// slotLoad returns the share of an engine's decode slots in use.
func (e *engines) slotLoad(id string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.SlotLoad(id)
}

// markChanged marks an engine whose placement has changed. The caller holds mu.
func (e *engines) markChanged(id string) {
	if len(e.changed) == 0 {
		e.notify()
	}
	e.changed[id] = struct{}{}
}

// takeChanged returns the load that this process placed on each engine that changed.
func (e *engines) takeChanged() []kvmemory.Share {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	out := make([]kvmemory.Share, 0, len(e.changed))
	for id := range e.changed {
		out = append(out, kvmemory.Share{ID: id, Load: e.load(id, now)})
	}
	clear(e.changed)
	return out
}

func (e *engines) failed(id string, r *kvmemory.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Failed(id, r, time.Now())
	e.customers.release(r)
	e.markChanged(id)
}

// saturated reports whether more is placed on an engine than fits.
func (e *engines) saturated(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.Saturated(id, time.Now())
}

// conditions calls add with the conditions of an engine that the placement of runs tracks.
func (e *engines) conditions(id string, now time.Time, add func(eligibility.Condition)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.memory.Condition(id, now); ok {
		add(c)
	}
}

// succeeded records that an engine ran a request.
func (e *engines) succeeded(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Succeeded(id)
}

// release records that a request no longer uses an engine.
func (e *engines) release(id string, r *kvmemory.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Release(id, r, time.Now())
	e.customers.release(r)
	e.markChanged(id)
	e.dispatch()
}

func (e *engines) ownLoads() []kvmemory.Share {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.memory.OwnLoads(time.Now())
	for id, l := range e.prefilling {
		out = append(out, kvmemory.Share{ID: id, Load: l})
	}
	return out
}

// shortageTTL is how long a request that waited for memory counts as a sign of a shortage.
const shortageTTL = 5 * time.Second

// memoryShort reports whether a request has recently waited for memory.
func (e *engines) memoryShort(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.shortageAt) < shortageTTL
}

func (e *engines) setPeerLoads(loads map[string]kvmemory.Load, routers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.memory.SetRouters(routers)
	for id, l := range loads {
		e.memory.SetPeerLoad(id, l, now)
	}
	if e.queue.Len() > 0 {
		e.dispatch()
	}
}
