package streamversions

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

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
		told, kept := d.TakeUpdates()
		keepers := simNetwork{r}.Keepers()
		for _, other := range r.s.routers {
			if other != r && len(told) > 0 {
				r.s.send(r, other, func() { other.dir.Receive(told) })
			}
			if len(kept) > 0 && slices.Contains(keepers, other.name) {
				r.s.send(r, other, func() { other.dir.Receive(kept) })
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

func (n simNetwork) Keepers() (out []string) {
	for _, other := range n.r.s.routers {
		if !n.r.reads() && other.reads() {
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
