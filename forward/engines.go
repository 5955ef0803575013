package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// engines joins the policies that place and queue requests for one service's decode
// engines to goroutines and timers. It is safe for concurrent use.
type engines struct {
	terms waitqueue.Policy
	off   mechanism.Set
	// zone is that of this process.
	zone string

	mu     sync.Mutex
	memory *kvmemory.Pool
	// list returns the servers that may get new work; synced is what memory was last told of them.
	list   func() []registry.Server
	synced engineList
	// doubtful reports whether requests fail at an engine.
	doubtful func(id string) bool
	// closed reports whether an engine is to be sent nothing now, by what it said.
	closed func(id string) bool
	line   waitqueue.Queue
	// turns are where waiting requests learn which engine to ask.
	turns map[*waitqueue.Waiter]turn
	// lengths is what was learned of the lengths of runs, by route.
	lengths map[string]*outputlength.Learner
	// retry is set while a timer will look at the line again.
	retry bool
	// short is when a request last waited for memory.
	short time.Time
	// changed are the engines whose placement changed since it was last told, reading the
	// tokens that prefill engines were sent and have not read.
	changed map[string]struct{}
	reading map[string]int
	// tell is called, with mu held, when changed is no longer empty; it must not block.
	tell func()
}

// turn is a request in the line.
type turn struct {
	run *kvmemory.Run
	// held reports whether the request is sent to no server any more.
	held func() bool
	// reserve takes the run from what an engine says that it takes.
	reserve func(id string) bool
	// engine is sent the engine to ask, or nothing if the request need not wait any more.
	engine chan string
}

func newEngines(seed, zone string, off mechanism.Set, list func() []registry.Server, doubtful, closed func(string) bool, tell func()) *engines {
	return &engines{
		list: list, doubtful: doubtful, closed: closed,
		changed: map[string]struct{}{}, reading: map[string]int{}, tell: tell,
		zone:   zone,
		terms:  waitingTerms(off),
		off:    off,
		memory: kvmemory.New(memoryConfig(off), seed),
		turns:  map[*waitqueue.Waiter]turn{}, lengths: map[string]*outputlength.Learner{},
	}
}

const (
	// passFor is how long smaller requests may go before a larger one that waits.
	passFor = 300 * time.Millisecond
	// lineCheck is the pause after which a line that does not move is looked at again: the
	// turns of two other gateways.
	lineCheck = 10 * time.Millisecond
)

// engineList is a list of servers as the view hands it out, which is the same slice until
// something changes, and what the route table says of each engine.
type engineList struct {
	first           *registry.Server
	length          int
	capacity, slots int
}

// sync takes the list of engines that may get new work. The caller holds mu.
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
			list = append(list, kvmemory.Server{ID: s.ID, Zone: s.Zone, Capacity: capacity, Slots: slots})
		}
	}
	e.memory.Sync(list)
}

// newRun is what memory is told of a request of a route, and the tokens that it is expected to
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

// forget drops what was learned of routes that keep does not want. Runs in progress still know
// their lengths.
func (e *engines) forget(keep func(routeName string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.lengths, func(name string, _ *outputlength.Learner) bool { return !keep(name) })
}

// finished notes that a run has come to its own end.
func (e *engines) finished(r *kvmemory.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Finish()
}

// hopeless reports whether a request is to be turned away without waiting.
func (e *engines) hopeless(w *waitqueue.Waiter, hold time.Duration, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if hold <= 0 || e.line.Len() == 0 {
		return false
	}
	rate := e.memory.PerRouter() / hold.Seconds()
	return e.terms.ShouldReject(e.line.Ahead(w), rate, w.GiveUpAt.Sub(now))
}

// await waits until the request's turn at an engine comes. The engine's memory is then
// taken for the run, until refused, failed or release is called.
func (e *engines) await(ctx context.Context, w *waitqueue.Waiter, t turn, capacity, slots int) (string, bool) {
	e.mu.Lock()
	e.sync(e.list(), capacity, slots)
	engine := make(chan string, 1)
	t.engine = engine
	e.turns[w] = t
	e.line.Add(w)
	e.dispatch()
	if e.line.Len() > 0 {
		e.short = time.Now()
	}
	e.mu.Unlock()

	over := time.NewTimer(time.Until(w.GiveUpAt))
	defer over.Stop()
	select {
	case id := <-engine:
		return id, id != ""
	case <-over.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.line.Remove(w) {
		delete(e.turns, w)
		return "", false
	}
	id := <-engine
	return id, id != ""
}

// dropHeld ends the wait of requests that have become known for servers that end under them. The caller holds mu.
func (e *engines) dropHeld() {
	for w, t := range e.turns {
		if t.held() && e.line.Remove(w) {
			delete(e.turns, w)
			t.engine <- ""
		}
	}
}

// dispatch gives turns to waiting requests for which an engine is thought to have room.
// The caller holds mu.
func (e *engines) dispatch() {
	now := time.Now()
	for {
		var id string
		w := e.line.Next(func(w *waitqueue.Waiter) bool {
			var ok bool
			t := e.turns[w]
			id, ok = e.memory.Pick(kvmemory.Ask{
				Run: t.run, Late: w.Late, Zone: e.zone, Exclude: w.Exclude, Avoid: e.doubtful, Closed: e.closed,
			}, now)
			return ok && t.reserve(id)
		}, passFor, now)
		if w == nil {
			break
		}
		t := e.turns[w]
		e.memory.Take(id, t.run)
		e.note(id)
		t.engine <- id
		delete(e.turns, w)
	}
	e.lookAgain()
}

// lookAgain arranges that a line that is not empty is looked at again. The caller holds mu.
func (e *engines) lookAgain() {
	if e.retry || e.line.Len() == 0 {
		return
	}
	e.retry = true
	time.AfterFunc(lineCheck, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.retry = false
		e.dropHeld()
		// Whoever waits alone would else see no engine that has come since, and wait to the end of its time.
		e.sync(e.list(), e.synced.capacity, e.synced.slots)
		e.dispatch()
	})
}

func (e *engines) refused(id string, r *kvmemory.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Refuse(id, r, time.Now())
	e.note(id)
}

// noteReading notes the tokens that a prefill engine was sent and has not read.
func (e *engines) noteReading(id string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reading[id] = tokens; tokens == 0 {
		delete(e.reading, id)
	}
	e.note(id)
}

// load is what this process placed on an engine. The caller holds mu.
func (e *engines) load(id string, now time.Time) kvmemory.Load {
	if tokens := e.reading[id]; tokens > 0 {
		return kvmemory.Load{Tokens: tokens}
	}
	return e.memory.OwnAt(id, now)
}

// crowd is the share of an engine's places that are taken.
func (e *engines) crowd(id string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.Crowd(id)
}

// note marks an engine whose placement changed. The caller holds mu.
func (e *engines) note(id string) {
	if len(e.changed) == 0 {
		e.tell()
	}
	e.changed[id] = struct{}{}
}

// takeChanged returns what this process placed on the engines that changed.
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
	e.memory.Fail(id, r, time.Now())
	e.note(id)
}

// crowded reports whether more is placed on an engine than fits it.
func (e *engines) crowded(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.Crowded(id, time.Now())
}

// worked notes that an engine ran a request.
func (e *engines) worked(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Worked(id)
}

// release notes that a request is over at an engine.
func (e *engines) release(id string, r *kvmemory.Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Release(id, r, time.Now())
	e.note(id)
	e.dispatch()
}

func (e *engines) own() []kvmemory.Share {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.memory.Own(time.Now())
	for id, tokens := range e.reading {
		out = append(out, kvmemory.Share{ID: id, Load: kvmemory.Load{Tokens: tokens}})
	}
	return out
}

// shortLife is how long a request that waited for memory counts as a sign that it is short.
const shortLife = 5 * time.Second

// isShort reports whether a request waited for memory a moment ago.
func (e *engines) isShort(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.short) < shortLife
}

func (e *engines) setOthers(loads map[string]kvmemory.Load, routers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.memory.SetRouters(routers)
	for id, l := range loads {
		e.memory.SetOthers(id, l, now)
	}
	if e.line.Len() > 0 {
		e.dispatch()
	}
}
