package streamversions

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/invariant"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// site simulates routers, the store that lists engines, and clients, whose messages are late, lost and out of order.
type site struct {
	rng      *rand.Rand
	began    time.Time
	platform *memory.Platform
	recorder *invariant.Recorder
	routers  []*simRouter

	mu sync.Mutex
	// list is what the store lists, position rises with each change. away is set while nobody reaches the store.
	list     []registry.Server
	position int
	away     bool
	// inTouch and wentOn count take-ups of streams that were begun a second or more before all routers were lost.
	inTouch, wentOn int
}

// simRouter is one router process. Its fields are guarded by site.mu.
type simRouter struct {
	s    *site
	name string
	dir  *Directory
	stop context.CancelFunc
	// up is set while the process runs; cut while it reaches neither the store nor routers that are not cut; frozenUntil is
	// when it reads again what came meanwhile.
	up, cut     bool
	frozenUntil time.Time
	position    int
	list        []registry.Server
	// heard is when it last heard of a reading of the list, healthySince when its last trouble was over.
	heard, healthySince time.Time
}

const (
	simRouters = 4
	// Shares of messages that are lost and that are late.
	simLost, simLate = 0.03, 0.05
	maxLate          = 2 * time.Second
	// simTime is the length of a run. Trouble begins once routers have run for the whole window.
	simTime  = 75 * time.Second
	simQuiet = 34 * time.Second
	// streamTimeout is how long clients try.
	streamTimeout = 14 * time.Second
)

func newSite(seed uint64) *site {
	s := &site{
		rng: rand.New(rand.NewPCG(seed, 7)), began: time.Now(), platform: memory.New(memory.Options{}), recorder: invariant.NewRecorder(),
		list: engines("v1"), position: 1,
	}
	for i := range simRouters {
		s.routers = append(s.routers, &simRouter{s: s, name: fmt.Sprintf("10.0.0.%d:1", i+1)})
	}
	return s
}

// draw returns a random number below n.
func (s *site) draw(n float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n * s.rng.Float64()
}

func (s *site) wait(least, most time.Duration) {
	time.Sleep(least + time.Duration(s.draw(float64(most-least))))
}

// start starts the process of a router, with an empty memory.
func (r *simRouter) start() {
	ctx, cancel := context.WithCancel(context.Background())
	table := func(prefix string) store.Table { return simTable{r.s.platform.Table(), r, prefix} }
	d := New(Config{
		Network: simNetwork{r}, Lists: r, History: NewHistory(table("versions/")), Rows: NewStreamRows(table("streams/"), r.name+"/"+time.Now().String()),
		Metrics: metrics.NewSet(), Clock: r.uptime,
	})
	r.s.mu.Lock()
	r.dir, r.stop, r.up, r.position, r.list, r.healthySince = d, cancel, true, 0, nil, time.Now()
	r.s.mu.Unlock()
	calls := StoreCalls{Writes: r.reads, Report: func(error) {}, BackOff: func(int) { time.Sleep(300 * time.Millisecond) }}
	go d.KeepHistory(ctx, calls)
	go d.KeepStreams(ctx, calls)
	go r.announce(ctx, d)
	go r.follow(ctx)
}

func (r *simRouter) kill() {
	r.stop()
	r.s.mu.Lock()
	r.up = false
	r.s.mu.Unlock()
}

func (r *simRouter) uptime() time.Duration { return time.Since(r.s.began) + time.Hour }

// reads reports whether the router reads the list for all.
func (r *simRouter) reads() bool { return slices.Index(r.s.routers, r) < 2 }

// follow keeps the list up to date: readers read it, the others do when they have heard of no reading.
func (r *simRouter) follow(ctx context.Context) {
	for ctx.Err() == nil {
		r.s.mu.Lock()
		due := r.reads() || time.Since(r.heard) > 1500*time.Millisecond
		r.s.mu.Unlock()
		if due && r.ReadServers(ctx) == nil {
			r.spread()
		}
		r.dir.Expire(r.confirmed())
		time.Sleep(700 * time.Millisecond)
	}
}

func (r *simRouter) confirmed() bool {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return time.Since(r.heard) < 1500*time.Millisecond
}

// spread tells the others of the list that was read.
func (r *simRouter) spread() {
	r.s.mu.Lock()
	position, list := r.position, r.list
	r.s.mu.Unlock()
	for _, other := range r.s.routers {
		if other != r {
			r.s.send(r, other, func() { other.take(position, list) })
		}
	}
}

// take puts a list in force unless a later one is.
func (r *simRouter) take(position int, list []registry.Server) {
	r.s.mu.Lock()
	if position >= r.position {
		r.position, r.list, r.heard = position, list, time.Now()
	}
	list = r.list
	d := r.dir
	r.s.mu.Unlock()
	d.Observe(list)
}

// ReadServers implements Lists.
func (r *simRouter) ReadServers(ctx context.Context) error {
	requested := r.uptime()
	if err := r.call(ctx); err != nil {
		return err
	}
	r.s.mu.Lock()
	position, list := r.s.position, r.s.list
	r.s.mu.Unlock()
	time.Sleep(time.Millisecond)
	r.awake()
	r.take(position, list)
	r.dir.RecordReading(requested)
	return nil
}

// call is a call of the store, which fails while the router doesn't reach it.
func (r *simRouter) call(ctx context.Context) error {
	r.awake()
	time.Sleep(2 * time.Millisecond)
	r.s.mu.Lock()
	silent, away := r.cut || !r.up, r.s.away
	r.s.mu.Unlock()
	if silent {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		<-ctx.Done()
		return store.ErrIndeterminate
	}
	if away {
		return store.ErrUnavailable
	}
	return nil
}

// awake waits until the router is not frozen.
func (r *simRouter) awake() {
	for {
		r.s.mu.Lock()
		left := time.Until(r.frozenUntil)
		r.s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (r *simRouter) announce(ctx context.Context, d *Directory) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.Updates():
		}
		r.awake()
		updates := d.TakeUpdates()
		for _, other := range r.s.routers {
			if other != r {
				r.s.send(r, other, func() { other.dir.Receive(updates) })
			}
		}
	}
}

// send delivers a message unless it is lost, perhaps late, so that messages overtake each other.
func (s *site) send(from, to *simRouter, deliver func()) {
	delay := time.Duration(s.draw(float64(3 * time.Millisecond)))
	if s.draw(1) < simLate {
		delay = time.Duration(s.draw(float64(maxLate)))
	}
	if s.draw(1) < simLost {
		return
	}
	s.mu.Lock()
	receiver := to.dir
	s.mu.Unlock()
	time.AfterFunc(delay, func() {
		to.awake()
		s.mu.Lock()
		reached := from.cut == to.cut && to.up && to.dir == receiver
		s.mu.Unlock()
		if reached {
			deliver()
		}
	})
}

// simNetwork is the Network of one router.
type simNetwork struct{ r *simRouter }

func (n simNetwork) Others() (out []string) {
	for _, other := range n.r.s.routers {
		if other != n.r {
			out = append(out, other.name)
		}
	}
	return out
}

func (n simNetwork) Ask(to []string, q Query) {
	for _, other := range n.r.s.routers {
		if other == n.r || !slices.Contains(to, other.name) {
			continue
		}
		n.r.s.send(n.r, other, func() {
			u, unknown, known := other.dir.Answer(q)
			n.r.s.send(other, n.r, func() {
				if known {
					n.r.dir.Receive([]Update{u})
					return
				}
				n.r.dir.ReceiveUnknown(other.name, unknown)
			})
		})
	}
}

// simTable is a table of the store as one router reaches it.
type simTable struct {
	store.Table
	r      *simRouter
	prefix string
}

func (t simTable) Get(ctx context.Context, key string) (store.Row, error) {
	if err := t.r.call(ctx); err != nil {
		return store.Row{}, err
	}
	return t.Table.Get(ctx, t.prefix+key)
}

func (t simTable) List(ctx context.Context, _, after string, limit int) ([]store.Row, error) {
	if err := t.r.call(ctx); err != nil {
		return nil, err
	}
	if after != "" {
		after = t.prefix + after
	}
	rows, err := t.Table.List(ctx, t.prefix, after, limit)
	for i := range rows {
		rows[i].Key = strings.TrimPrefix(rows[i].Key, t.prefix)
	}
	return rows, err
}

func (t simTable) Commit(ctx context.Context, txn store.Txn) error {
	if err := t.r.call(ctx); err != nil {
		return err
	}
	txn.Checks, txn.Writes = slices.Clone(txn.Checks), slices.Clone(txn.Writes)
	for i := range txn.Checks {
		txn.Checks[i].Key = t.prefix + txn.Checks[i].Key
	}
	for i := range txn.Writes {
		txn.Writes[i].Key = t.prefix + txn.Writes[i].Key
	}
	return t.Table.Commit(ctx, txn)
}

// client begins a stream at one router, loses its connection, and takes the stream up at others.
func (s *site) client(n int) {
	first := s.pick()
	if first == nil {
		return
	}
	ref := forward.StreamRef{Service: "llm", ID: fmt.Sprint(n)}
	version := s.versionAt(first)
	if version == "" {
		return
	}
	began := time.Now()
	s.received(ref, version, first)
	first.dir.Begun(ref, version, began.Add(streamTimeout))
	s.wait(300*time.Millisecond, 6*time.Second)
	lost := false
	for range 3 {
		s.wait(100*time.Millisecond, 400*time.Millisecond)
		r := s.pick()
		if r == nil {
			continue
		}
		r.awake()
		lost = lost || s.lostAllAfter(began.Add(time.Second))
		healthy := s.healthy(r)
		version, ok := r.dir.Version(context.Background(), ref)
		if lost && healthy && s.healthy(r) {
			s.count(ok)
		}
		if !ok {
			continue
		}
		s.received(ref, version, r)
		r.dir.Begun(ref, version, began.Add(streamTimeout))
		return
	}
}

// pick returns a router that runs, or nil.
func (s *site) pick() *simRouter {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := slices.DeleteFunc(slices.Clone(s.routers), func(r *simRouter) bool { return !r.up || len(r.list) == 0 })
	if len(up) == 0 {
		return nil
	}
	return up[s.rng.IntN(len(up))]
}

// versionAt returns the version of an engine that a router chooses for a new stream.
func (s *site) versionAt(r *simRouter) string {
	r.awake()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.list) == 0 {
		return ""
	}
	return r.list[s.rng.IntN(len(r.list))].Version
}

func (s *site) received(ref forward.StreamRef, version string, r *simRouter) {
	s.recorder.Add(invariant.Event{Kind: invariant.EventsReceived, Request: ref.ID, Version: version, Node: r.name})
}

// healthy reports whether a router has been in touch for contact_ms.
func (s *site) healthy(r *simRouter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.up && !r.cut && !s.away && time.Since(r.healthySince) > 3*time.Second
}

// lostAllAfter reports whether each router has lost its memory since a time.
func (s *site) lostAllAfter(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.routers, func(r *simRouter) bool { return !r.up || r.healthySince.Before(at) })
}

func (s *site) count(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inTouch++
	if ok {
		s.wentOn++
	}
}

// release has the store list engines of other versions.
func (s *site) release(versions ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away {
		s.list, s.position = engines(versions...), s.position+1
	}
}

// trouble is one kind of trouble; it ends by itself.
type trouble func(s *site)

func (s *site) restart(r *simRouter) {
	r.kill()
	s.wait(300*time.Millisecond, 1300*time.Millisecond)
	r.start()
}

func (s *site) setCut(routers []*simRouter, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range routers {
		r.cut, r.healthySince = cut, time.Now()
	}
}

func (s *site) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	for _, r := range s.routers {
		r.healthySince = time.Now()
	}
}

// cut cuts n routers off together.
func cut(n int) trouble {
	return func(s *site) {
		first := int(s.draw(simRouters))
		var some []*simRouter
		for i := range n {
			some = append(some, s.routers[(first+i)%simRouters])
		}
		s.setCut(some, true)
		s.wait(2*time.Second, 8*time.Second)
		s.setCut(some, false)
	}
}

var troubles = map[string]trouble{
	"one cut": cut(1),
	"two cut": cut(2),
	"freeze": func(s *site) {
		r := s.routers[int(s.draw(simRouters))]
		s.mu.Lock()
		r.frozenUntil = time.Now().Add(2*time.Second + time.Duration(s.rng.IntN(5000))*time.Millisecond)
		r.healthySince = r.frozenUntil
		s.mu.Unlock()
		r.awake()
	},
	"kill": func(s *site) { s.restart(s.routers[int(s.draw(simRouters))]) },
	"all killed at once": func(s *site) {
		var all sync.WaitGroup
		for _, r := range s.routers {
			all.Go(func() { s.restart(r) })
		}
		all.Wait()
	},
	"all killed in turn": func(s *site) {
		for _, r := range s.routers {
			s.restart(r)
			s.wait(100*time.Millisecond, time.Second)
		}
	},
	"store away": func(s *site) {
		s.setAway(true)
		s.wait(time.Second, 5*time.Second)
		s.setAway(false)
	},
}

// run plays clients, releases and trouble of some kinds.
func (s *site) run(kinds []string) {
	var work sync.WaitGroup
	for _, r := range s.routers {
		r.start()
	}
	work.Go(func() {
		for n := 0; time.Since(s.began) < simTime; n++ {
			s.wait(20*time.Millisecond, 120*time.Millisecond)
			work.Go(func() { s.client(n) })
		}
	})
	work.Go(func() {
		time.Sleep(simQuiet)
		for time.Since(s.began) < simTime {
			s.wait(0, 4*time.Second)
			troubles[kinds[int(s.draw(float64(len(kinds))))]](s)
		}
	})
	time.Sleep(simQuiet)
	for _, versions := range [][]string{{"v1", "v2"}, {"v2"}, {"v2", "v3"}} {
		s.wait(time.Second, 12*time.Second)
		s.release(versions...)
	}
	work.Wait()
	for _, r := range s.routers {
		r.kill()
	}
	// Timers of late messages and calls run out.
	time.Sleep(time.Minute)
}

// TestOneVersionUnderFaults checks over random runs with late, lost and reordered messages that a stream holds events of one
// software version, and that at least half of the streams go on that are taken up at routers in touch after all routers
// have lost their memory.
func TestOneVersionUnderFaults(t *testing.T) {
	const seeds = 12
	kinds := []string{"one cut", "two cut", "freeze", "kill", "all killed at once", "all killed in turn", "store away"}
	for _, c := range []struct {
		name  string
		kinds []string
	}{
		{"all kinds", kinds}, {"cuts", kinds[:2]}, {"lost memory", kinds[3:6]}, {"freezes and kills", kinds[2:4]},
	} {
		t.Run(c.name, func(t *testing.T) {
			inTouch, wentOn := 0, 0
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(seed)
					s.run(c.kinds)
					for _, v := range invariant.Check(s.recorder.Events(), invariant.DefaultBounds()) {
						t.Errorf("assertion failed: seed %d: %v", seed, v)
					}
					inTouch, wentOn = inTouch+s.inTouch, wentOn+s.wentOn
				})
			}
			t.Logf("%d of %d streams go on after all routers have lost their memory", wentOn, inTouch)
			assert.Assert(t, 2*wentOn >= inTouch, "%d of %d go on", wentOn, inTouch)
		})
	}
}
