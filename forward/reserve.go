package forward

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/waiting"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// engines joins the policies that place and queue requests for one service's decode
// engines to goroutines and timers. It is safe for concurrent use.
type engines struct {
	terms waiting.Terms
	// zone is that of this process.
	zone string

	mu     sync.Mutex
	memory *kvmemory.Pool
	line   waiting.Line
	// turns are where waiting requests learn which engine to ask.
	turns map[*waiting.Waiter]chan string
	// retry is set while a timer will look at the line again.
	retry bool
	// short is when a request last waited for memory.
	short time.Time
	// changed are the engines whose placement changed since it was last told.
	changed map[string]struct{}
	// tell is called, with mu held, when changed is no longer empty; it must not block.
	tell func()
}

func newEngines(seed, zone string, tell func()) *engines {
	return &engines{
		changed: map[string]struct{}{}, tell: tell,
		zone:   zone,
		terms:  waiting.DefaultTerms(),
		memory: kvmemory.New(kvmemory.DefaultConfig(), seed),
		turns:  map[*waiting.Waiter]chan string{},
	}
}

const (
	// passFor is how long smaller requests may go before a larger one that waits.
	passFor = 300 * time.Millisecond
	// lineCheck is the pause after which a line that does not move is looked at again;
	// refusals of engines count as long.
	lineCheck = 50 * time.Millisecond
)

// lease is room for one request at a decode engine. It belongs to the request's goroutine.
type lease struct {
	server registry.Server
	need   int
	// reservation is the engine's name for it; empty once it was used.
	reservation string
	// since is when it was granted.
	since time.Time
	// refused is set when the engine took no run though it had granted memory.
	refused bool
}

// sync takes the list of engines that may get new work.
func (e *engines) sync(servers []registry.Server, capacity, slots int) {
	list := make([]kvmemory.Server, 0, len(servers))
	for _, s := range servers {
		if s.Stage == registry.Decode {
			list = append(list, kvmemory.Server{ID: s.ID, Zone: s.Zone, Capacity: capacity, Slots: slots})
		}
	}
	e.memory.Sync(list)
}

// reserve waits for room and reserves it. It returns a reason when there is none in time.
func (f *Forwarder) reserve(ctx context.Context, j *job, need int, exclude []string) (*lease, outcome.Reason) {
	e := f.service(j.service).engines
	spec := j.table.Services[j.service].Engine
	if need > spec.KVTokens {
		return nil, outcome.PromptTooLong
	}
	late := j.late()
	w := &waiting.Waiter{
		Need: need, Arrived: j.arrived, Late: late, Priority: j.route.Priority, Exclude: exclude,
		Until: e.terms.Until(j.arrived, j.route.Objective, j.left(j.arrived), j.meta.PromptTokens, late),
	}
	start := time.Now()
	defer func() { j.waited += time.Since(start) }()
	if e.hopeless(w, f.holdTime(j), start) {
		return nil, outcome.NoPlace
	}
	for {
		servers := f.View.Servers(j.service)
		id, ok := e.await(ctx, w, servers, spec.KVTokens, spec.Slots)
		if !ok {
			if ctx.Err() != nil {
				return nil, reasonOf(ctx)
			}
			return nil, outcome.NoPlace
		}
		s, ok := find(servers, id)
		if !ok {
			e.failed(id, need)
			continue
		}
		reservation, err := f.Engines.Reserve(ctx, s, need, spec.MaxHold)
		switch {
		case err == nil:
			return &lease{server: s, need: need, reservation: reservation, since: time.Now()}, ""
		case errors.Is(err, ErrFull):
			f.Metrics.Counter(metrics.ReservationsRefused).Inc(1)
			e.refused(id, need)
		case ctx.Err() != nil:
			e.release(id, need)
			return nil, reasonOf(ctx)
		default:
			f.noteReach(s, err)
			f.attemptFailed(j, s, outcome.EngineLost, err)
			e.failed(id, need)
		}
	}
}

// late reports whether the client has come back after a refusal, and so can't be answered
// within its objective any more: those that are turned away stay away for some time, and
// have so much less left. Clients' own limits differ by less.
func (j *job) late() bool {
	return j.meta.Patience > 0 && j.meta.Patience < j.route.Timeout-waiting.DefaultTerms().BackMin
}

// hopeless reports whether a request is to be turned away without waiting.
func (e *engines) hopeless(w *waiting.Waiter, hold time.Duration, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if hold <= 0 || e.line.Len() == 0 {
		return false
	}
	rate := float64(e.memory.OwnTotal()) / hold.Seconds()
	return e.terms.Hopeless(e.line.Ahead(w), rate, w.Until.Sub(now))
}

// holdTime is the mean time that a run holds memory; zero while it is not known.
func (f *Forwarder) holdTime(j *job) time.Duration {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.hold
}

func find(servers []registry.Server, id string) (registry.Server, bool) {
	for _, s := range servers {
		if s.ID == id {
			return s, true
		}
	}
	return registry.Server{}, false
}

// await waits until the request's turn at an engine comes. The engine's memory is then
// taken, until refused, failed or release is called.
func (e *engines) await(ctx context.Context, w *waiting.Waiter, servers []registry.Server, capacity, slots int) (string, bool) {
	e.mu.Lock()
	e.sync(servers, capacity, slots)
	turn := make(chan string, 1)
	e.turns[w] = turn
	e.line.Add(w)
	e.dispatch()
	if e.line.Len() > 0 {
		e.short = time.Now()
	}
	e.mu.Unlock()

	t := time.NewTimer(time.Until(w.Until))
	defer t.Stop()
	select {
	case id := <-turn:
		return id, true
	case <-t.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.line.Remove(w) {
		delete(e.turns, w)
		return "", false
	}
	return <-turn, true
}

// dispatch gives turns to waiting requests for which an engine is thought to have room.
// The caller holds mu.
func (e *engines) dispatch() {
	now := time.Now()
	for {
		var id string
		w := e.line.Next(func(w *waiting.Waiter) bool {
			var ok bool
			id, ok = e.memory.Pick(w.Need, e.zone, w.Exclude, now)
			return ok
		}, passFor, now)
		if w == nil {
			break
		}
		e.memory.Take(id, w.Need)
		e.note(id)
		e.turns[w] <- id
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
		e.dispatch()
	})
}

func (e *engines) refused(id string, need int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Refuse(id, need, time.Now())
	e.note(id)
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
	out := make([]kvmemory.Share, 0, len(e.changed))
	for id := range e.changed {
		out = append(out, kvmemory.Share{ID: id, Tokens: e.memory.OwnAt(id)})
	}
	clear(e.changed)
	return out
}

func (e *engines) failed(id string, need int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Fail(id, need, time.Now())
	e.note(id)
}

// worked notes that an engine ran a request.
func (e *engines) worked(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Worked(id)
}

// release notes that a request is over at an engine.
func (e *engines) release(id string, need int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.Release(id, need)
	e.note(id)
	e.dispatch()
}

// giveBack ends a lease. A reservation that was not used is returned to the engine
// without waiting for it; it lapses by itself when that fails.
func (f *Forwarder) giveBack(j *job, l *lease) {
	e := f.service(j.service).engines
	if l.refused {
		e.failed(l.server.ID, l.need)
	} else {
		f.observeHold(j, time.Since(l.since))
		e.release(l.server.ID, l.need)
	}
	if l.reservation == "" {
		return
	}
	s, reservation := l.server, l.reservation
	l.reservation = ""
	go func() {
		if err := f.Engines.Unreserve(context.Background(), s, reservation); err != nil {
			f.attemptFailed(j, s, outcome.ReservationLapsed, err)
		}
	}()
}

// Placed is the memory that this process placed on decode engines, in tokens.
func (f *Forwarder) Placed() []kvmemory.Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []kvmemory.Share
	for _, s := range f.services {
		out = append(out, s.engines.own()...)
	}
	return out
}

func (e *engines) own() []kvmemory.Share {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.memory.Own()
}

// TakeChanged returns what this process placed on the engines whose placement changed
// since the last call.
func (f *Forwarder) TakeChanged() []kvmemory.Share {
	f.mu.Lock()
	all := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	var out []kvmemory.Share
	for _, s := range all {
		out = append(out, s.engines.takeChanged()...)
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

// Held is the memory that all processes placed on the engines of a service, in tokens.
func (f *Forwarder) Held(service string) int {
	e := f.service(service).engines
	e.mu.Lock()
	defer e.mu.Unlock()
	_, used := e.memory.Capacity()
	return used
}

// SetOthers takes the memory that other processes placed on some engines. Waiting
// requests are looked at again, since memory may have become free.
func (f *Forwarder) SetOthers(tokens map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.engines.setOthers(tokens)
	}
}

func (e *engines) setOthers(tokens map[string]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, n := range tokens {
		e.memory.SetOthers(id, n)
	}
	if e.line.Len() > 0 {
		e.dispatch()
	}
}

// holdWeight is what the last run counts in the mean time that runs hold memory.
const holdWeight = 0.05

func (f *Forwarder) observeHold(j *job, took time.Duration) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.hold == 0 {
		s.hold = took
	}
	s.hold += time.Duration(holdWeight * float64(took-s.hold))
}

// comeBack is when a client that is turned away should come back.
func (f *Forwarder) comeBack(j *job) time.Duration {
	if j.table == nil || j.route == nil {
		return unconfiguredRetry
	}
	terms := f.service(j.service).engines.terms
	return terms.ComeBack(j.left(time.Now()), rand.Float64())
}
