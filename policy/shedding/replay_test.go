package shedding

import (
	"math/rand/v2"
	"strings"
	"time"
)

const (
	tick      = time.Millisecond
	period    = 100 * time.Millisecond
	objective = 900 * time.Millisecond
	// closeWork and acceptWork are the processor time to close or accept a connection, probeWork that of a probe.
	closeWork, acceptWork, probeWork = 40 * time.Microsecond, 40 * time.Microsecond, 5 * time.Microsecond
	// hops is how often a request waits for the processor; hopPause is the time between two of them.
	hops     = 4
	hopPause = 5 * time.Millisecond
	// gatheredFrom and gatheredFor are when most callers come to one router, grace is the time within which it has to cope
	// and in which it has to take a connection.
	gatheredFrom, gatheredFor = 15 * time.Second, 12 * time.Second
	grace                     = 3 * time.Second
	// contactClients is the number of clients that have to try in that time.
	contactClients = 7
)

// machine says when the processor works, and how fast. used is the processor time that was used in the period.
type machine func(sinceStart, used time.Duration) (speed float64)

// quotaOf works at full speed until a part of each period is used.
func quotaOf(quota time.Duration) machine {
	return func(_, used time.Duration) float64 {
		if used >= quota {
			return 0
		}
		return 1
	}
}

// runningFor works for a part of each period of time, whatever there is to do.
func runningFor(part, period time.Duration) machine {
	return func(sinceStart, _ time.Duration) float64 {
		if sinceStart%period >= part {
			return 0
		}
		return 1
	}
}

// slow works all the time, at a fraction of the speed.
func slow(speed float64) machine {
	return func(time.Duration, time.Duration) float64 { return speed }
}

// task is what waits for the processor: a hop of a request, a probe, or connections to accept.
type task struct {
	left time.Duration
	run  func(now time.Time)
}

// share returns the part of the time for which the processor works at full speed, if there always is work.
func (m machine) share() float64 {
	worked := time.Duration(0)
	for at := range period / tick {
		worked += time.Duration(float64(tick) * m(at*tick, worked))
	}
	return worked.Seconds() / period.Seconds()
}

// processor runs tasks in their order.
type processor struct {
	machine machine
	used    time.Duration
	queue   []*task
}

func (p *processor) add(work time.Duration, run func(now time.Time)) {
	p.queue = append(p.queue, &task{work, run})
}

// work works for one tick.
func (p *processor) work(now time.Time) {
	since := now.Sub(start)
	if since%period == 0 {
		p.used = 0
	}
	budget := tick
	for budget > 0 && len(p.queue) > 0 {
		speed := p.machine(since, p.used)
		if speed == 0 {
			return
		}
		t := p.queue[0]
		done := min(time.Duration(float64(budget)*speed), t.left)
		t.left -= done
		p.used += done
		budget -= max(time.Duration(float64(done)/speed), 1)
		if t.left <= 0 {
			p.queue = p.queue[1:]
			t.run(now)
		}
	}
}

// played counts the requests of a time.
type played struct{ read, served, sent int }

func (p played) share() float64 { return float64(p.served) / float64(max(p.read, 1)) }

// load is requests, each on a new connection: at a usual rate, and many more while they are gathered.
type load struct {
	name            string
	machine         machine
	work            time.Duration
	usual, gathered float64
	// startsGathered is set if they are gathered from the start on.
	startsGathered bool
}

// rate is the rate of requests in connections per second, and whether a router has to cope with it by now.
func (l load) rate(at time.Time) (rate float64, gathered, cope bool) {
	from := start.Add(gatheredFrom)
	if l.startsGathered {
		from = start
	}
	switch since := at.Sub(from); {
	case since < 0, since >= gatheredFor:
		return l.usual, false, true
	default:
		return l.gathered, true, since >= grace
	}
}

// way is how a router decides.
type way struct {
	name string
	// lateTimers is set if late timers are the sign of an overload.
	lateTimers, acceptsAll bool
}

// result is what came of a replay. longest is the longest time in which no connection was taken though enough came.
type result struct {
	before, during, after played
	longest               time.Duration
}

// router is a router on a processor, under a load.
type router struct {
	load    load
	way     way
	cpu     processor
	limiter *Limiter
	reads   Reads
	result  result
	// backlog are the connections that wait to be accepted, accepting is set while a task that accepts them waits.
	backlog   []*connection
	accepting bool
	// pauses are requests that do not wait for the processor at the moment, in the order in which they will again.
	pauses []pause
	// probeDue is when the next probe may begin, probing is set while one waits, came once a connection came since.
	probeDue      time.Time
	probing, came bool
	// waiting counts the connections that came since lastTaken, when one was taken.
	waiting   int
	lastTaken time.Time
}

// connection is a connection with one request; count is where it counts.
type connection struct {
	arrived time.Time
	count   *played
	read    *Read
}

func (c *connection) givenUp(now time.Time) bool { return now.Sub(c.arrived) > objective }

// pause is a request between two hops.
type pause struct {
	until time.Time
	goOn  func()
}

// replay plays a load with one way.
func replay(seed uint64, load load, w way) result {
	rng := rand.New(rand.NewPCG(seed, 9))
	r := &router{load: load, way: w, cpu: processor{machine: load.machine}, limiter: New(), lastTaken: start}
	r.probeDue = start.Add(r.limiter.Interval())
	for now := start; now.Before(start.Add(45 * time.Second)); now = now.Add(tick) {
		for len(r.pauses) > 0 && !r.pauses[0].until.After(now) {
			r.pauses[0].goOn()
			r.pauses = r.pauses[1:]
		}
		r.cpu.work(now)
		if load.machine(now.Sub(start), r.cpu.used) > 0 && !now.Before(r.probeDue) {
			r.probe(now)
		}
		if rate, _, _ := load.rate(now); rng.Float64() < rate*tick.Seconds() {
			r.connect(now)
		}
	}
	return r.result
}

// probe begins a probe, or looks how late its timer is.
func (r *router) probe(now time.Time) {
	switch {
	case r.way.lateTimers:
		r.limiter.ObserveDelay(now.Sub(r.probeDue), now)
		r.probeDue = now.Add(r.limiter.Interval())
	case !r.probing && (r.came || !r.limiter.Idle()):
		r.probing, r.came = true, false
		r.limiter.BeginProbe(now)
		began := now
		r.cpu.add(probeWork, func(now time.Time) {
			r.limiter.ObserveDelay(now.Sub(began), now)
			r.probing, r.probeDue = false, now.Add(r.limiter.Interval())
		})
	}
}

// connect has a connection come, which a task accepts with all others that wait by then.
func (r *router) connect(now time.Time) {
	c := &connection{arrived: now, count: r.countOf(now)}
	c.count.sent++
	r.waiting++
	r.backlog = append(r.backlog, c)
	if r.accepting {
		return
	}
	r.accepting = true
	r.cpu.add(acceptWork, func(now time.Time) {
		r.accepting = false
		for _, c := range r.backlog {
			r.accept(c, now)
		}
		r.backlog = nil
	})
}

// countOf returns where a request counts that comes now; while the router need not cope yet, nowhere.
func (r *router) countOf(now time.Time) *played {
	_, gathered, cope := r.load.rate(now)
	switch {
	case !cope:
		return &played{}
	case gathered:
		return &r.result.during
	case now.Before(start.Add(gatheredFrom)) && !r.load.startsGathered:
		return &r.result.before
	default:
		return &r.result.after
	}
}

func (r *router) accept(c *connection, now time.Time) {
	r.came = true
	if !r.way.acceptsAll && !r.limiter.Accept(now, Work{Reading: r.reads.Count(now)}) {
		r.cpu.add(closeWork, func(time.Time) {})
		return
	}
	if c.givenUp(now) {
		return
	}
	if r.waiting >= contactClients {
		r.result.longest = max(r.result.longest, now.Sub(r.lastTaken))
	}
	r.lastTaken, r.waiting = now, 0
	c.count.read++
	c.read = r.reads.Begin(now)
	r.hop(c, 1)
}

// hop has a request wait for the processor for the nth time.
func (r *router) hop(c *connection, n int) {
	r.cpu.add(r.load.work/hops, func(now time.Time) {
		c.read.End()
		switch {
		case c.givenUp(now):
		case n == hops:
			c.count.served++
		default:
			r.pauses = append(r.pauses, pause{now.Add(hopPause), func() { r.hop(c, n+1) }})
		}
	})
}

// loads are those under which each gathering is served.
var loads = []load{
	{"quota, all can be served", quotaOf(14 * time.Millisecond), 1600 * time.Microsecond, 30, 75, false},
	{"quota, overload", quotaOf(14 * time.Millisecond), 1600 * time.Microsecond, 30, 400, false},
	{"quota, starts into an overload", quotaOf(14 * time.Millisecond), 1600 * time.Microsecond, 30, 400, true},
	{"pauses whatever it does", runningFor(14*time.Millisecond, period), 300 * time.Microsecond, 30, 250, false},
	{"collections", runningFor(150*time.Millisecond, 200*time.Millisecond), 1600 * time.Microsecond, 30, 300, false},
	{"slow machine, overload", slow(0.14), 1600 * time.Microsecond, 30, 400, false},
}

// slowLoads are those of which single requests take a large part of the processor's share of a second.
var slowLoads = []load{
	{"small quota, few connections, overload", quotaOf(4 * time.Millisecond), 4 * time.Millisecond, 3, 20, false},
	{"small quota, long requests, overload", quotaOf(4 * time.Millisecond), 8 * time.Millisecond, 2, 30, false},
}

// bears reports whether the processor bears the gathered requests.
func (l load) bears() bool { return !strings.Contains(l.name, "overload") }
