package kvmemory_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/outputlength"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
)

// simulation replays a load at many routers and many engines. Each router has its own queue and
// pool, receives the others' placements after a delay, and is refused by engines whose memory is
// taken. Runs grow, and when an engine runs out of memory, its newest run is preempted and its
// prompt prefilled again.
type simulation struct {
	deployment
	rng     *rand.Rand
	pools   []*kvmemory.Pool
	queues  []requestQueue
	lengths []map[string]*outputlength.Learner
	policy  waitqueue.Policy
	// expectedFree is the memory that a router expects to become free for it during a run, in
	// tokens. Nil disables immediate rejection; rejectedAtOnce counts the requests rejected that
	// way.
	expectedFree   func(p *kvmemory.Pool, now time.Time) float64
	rejectedAtOnce int
	// leaveSaturated is set if runs leave engines that turn out to be saturated; rechecks are the
	// times at which routers check the engines of runs that they have just placed.
	leaveSaturated bool
	// reports is nil if routers know the exact load of the others, after a delay.
	reports  *periodicReports
	rechecks map[time.Time][]*simRequest
	// customers is nil if requests have no customers.
	customers  *customers
	all        []*simRequest
	queued     map[*waitqueue.Waiter]*simRequest
	running    []*simRequest
	arrivals   map[time.Time][]*simRequest
	dueReports map[time.Time][]string
	// used is the memory that runs hold on each engine, placements the number of runs placed there.
	ids        []string
	used       map[string]float64
	placements map[string]int
	// refusals counts refused reservations, preempted the runs that were preempted.
	refusals, preempted int
	// perToken is the current time per token of each engine, if they differ in speed; held the sum
	// of the memory in use over all ticks.
	perToken map[string]float64
	held     float64
	// beginLength returns the length estimate of a request; that of the router's learner if nil.
	beginLength func(r *simRequest) *outputlength.Run
}

func newSimulation(d deployment, cfg kvmemory.Config) *simulation {
	s := &simulation{
		deployment: d, rng: rand.New(rand.NewPCG(d.seed, 7)), policy: waitqueue.DefaultPolicy(),
		queued: map[*waitqueue.Waiter]*simRequest{}, arrivals: map[time.Time][]*simRequest{}, dueReports: map[time.Time][]string{},
		used: map[string]float64{}, placements: map[string]int{}, rechecks: map[time.Time][]*simRequest{},
	}
	list := make([]kvmemory.Server, d.engines)
	for i := range list {
		list[i] = kvmemory.Server{ID: fmt.Sprintf("e-%03d", i), Zone: "z1", Capacity: d.memory, Slots: d.slots}
		s.ids = append(s.ids, list[i].ID)
	}
	for i := range d.routers {
		p := kvmemory.New(cfg, fmt.Sprintf("edge-%d", i))
		p.Sync(list)
		p.SetRouters(d.routers)
		s.pools, s.queues = append(s.pools, p), append(s.queues, requestQueue(&waitqueue.Queue{}))
		s.lengths = append(s.lengths, map[string]*outputlength.Learner{})
	}
	s.all = d.requests(s.rng)
	for _, r := range s.all {
		s.arrivals[r.firstArrival] = append(s.arrivals[r.firstArrival], r)
	}
	return s
}

func (s *simulation) simulate() *simulation {
	for now := start; now.Before(start.Add(simDuration + simClientTimeout)); now = now.Add(simTick) {
		s.updateSpeeds(now)
		s.running = slices.DeleteFunc(s.running, func(r *simRequest) bool { return s.advance(r, now) })
		s.preempt(now)
		s.deliverReports(now)
		s.recheckSaturation(now)
		for _, r := range s.arrivals[now] {
			s.enqueue(r, now)
		}
		for _, i := range s.rng.Perm(s.routers) {
			if s.queues[i].Len() > 0 {
				s.dispatch(i, now)
			}
		}
		s.rejectExpired(now)
		s.customers.publish(now)
	}
	return s
}

// enqueue adds a request to the queue of its router.
func (s *simulation) enqueue(r *simRequest, now time.Time) {
	late, remaining := now != r.firstArrival, simClientTimeout-now.Sub(r.firstArrival)
	r.waiter = &waitqueue.Waiter{
		Need: r.prompt + r.hint, Arrived: now, Late: late, Customer: r.customer, Priority: r.priority,
		GiveUpAt: s.policy.GiveUpAt(now, simObjective, remaining, r.prompt, late),
	}
	r.run = &kvmemory.Run{Need: r.waiter.Need, Prompt: r.prompt, Length: s.beginRun(r)}
	if s.rejectsEarly(r, now) {
		s.rejectedAtOnce++
		r.waiter.GiveUpAt = now
	}
	s.queued[r.waiter] = r
	s.queues[r.router].Add(r.waiter)
	s.customers.wait(r, 1)
}

// beginRun returns the length estimate of a request.
func (s *simulation) beginRun(r *simRequest) *outputlength.Run {
	if s.beginLength != nil {
		return s.beginLength(r)
	}
	learners := s.lengths[r.router]
	if learners[r.kind.name] == nil {
		learners[r.kind.name] = outputlength.New()
	}
	_, maximum := s.deployment.lengths()
	return learners[r.kind.name].Begin(r.hint, maximum)
}

// rejectsEarly reports whether a request is rejected without waiting.
func (s *simulation) rejectsEarly(r *simRequest, now time.Time) bool {
	queue := s.queues[r.router]
	if s.expectedFree == nil || queue.Len() == 0 {
		return false
	}
	rate := s.expectedFree(s.pools[r.router], now) / simRunDuration.Seconds()
	return s.policy.ShouldReject(queue.Ahead(r.waiter), rate, r.waiter.GiveUpAt.Sub(now))
}

// dispatch places the queued requests of one router.
func (s *simulation) dispatch(i int, now time.Time) {
	p := s.pools[i]
	for {
		var id string
		w := s.queues[i].Next(func(w *waitqueue.Waiter) bool {
			var ok bool
			r := s.queued[w]
			id, ok = p.Pick(kvmemory.Request{
				Run: r.run, Late: w.Late, Yields: s.customers.yields(i, w), Deadline: r.firstArrival.Add(simClientTimeout), Delay: simStartDelay, GiveUpAt: w.GiveUpAt,
			}, now)
			return ok
		}, simOvertakeLimit, now)
		if w == nil {
			return
		}
		r := s.queued[w]
		p.Place(id, r.run)
		s.placements[id]++
		if s.used[id]+float64(r.prompt+simEventTokens) > float64(s.memory) {
			s.refusals++
			p.Refused(id, r.run, now)
			s.queues[i].Add(w)
			continue
		}
		s.customers.wait(r, -1)
		s.customers.hold(r, 1)
		delete(s.queued, w)
		s.begin(r, id, now)
	}
}

func (s *simulation) begin(r *simRequest, id string, now time.Time) {
	r.engine, r.firstEvent = id, now.Add(simPrefillOverhead+time.Duration(r.prompt)*simPrefillPerToken)
	s.used[id] += float64(r.prompt + simEventTokens)
	s.running = append(s.running, r)
	s.rechecks[now.Add(simReservationDelay)] = append(s.rechecks[now.Add(simReservationDelay)], r)
	s.scheduleReport(r, now)
}

// scheduleReport schedules a report to the other routers of a change on a run's engine.
func (s *simulation) scheduleReport(r *simRequest, now time.Time) {
	s.dueReports[now.Add(simReportDelay)] = append(s.dueReports[now.Add(simReportDelay)], r.engine)
	if s.reports != nil {
		s.reports.record(s, r.router, r.engine, now)
	}
}

// recheckSaturation has runs leave engines that became saturated while their memory was being
// reserved.
func (s *simulation) recheckSaturation(now time.Time) {
	for _, r := range s.rechecks[now] {
		if !s.leaveSaturated || !s.pools[r.router].Saturated(r.engine, now) {
			continue
		}
		s.used[r.engine] -= float64(r.prompt + simEventTokens)
		s.pools[r.router].Release(r.engine, r.run, now)
		s.scheduleReport(r, now)
		s.updateSpeeds(now)
		s.running = slices.DeleteFunc(s.running, func(o *simRequest) bool { return o == r })
		s.queued[r.waiter] = r
		s.queues[r.router].Add(r.waiter)
		s.customers.hold(r, -1)
		s.customers.wait(r, 1)
	}
}

// advance simulates one tick of a run and reports whether it has ended.
func (s *simulation) advance(r *simRequest, now time.Time) bool {
	if now.Before(r.firstEvent) {
		return false
	}
	if s.speeds != nil && now.Sub(r.firstArrival) >= simClientTimeout {
		s.used[r.engine] -= float64(r.prompt+simEventTokens) + r.generated
		s.pools[r.router].Release(r.engine, r.run, now)
		s.scheduleReport(r, now)
		r.result = resultDeadline
		return true
	}
	step := min(s.rate(r)*simTick.Seconds(), float64(r.total)-r.generated)
	r.generated += step
	s.used[r.engine] += step
	r.run.Generated(int(r.generated))
	if r.generated < float64(r.total) {
		return false
	}
	r.run.Finish()
	s.used[r.engine] -= float64(r.prompt+simEventTokens) + r.generated
	s.pools[r.router].Release(r.engine, r.run, now)
	s.customers.hold(r, -1)
	s.scheduleReport(r, now)
	r.result = resultLate
	if !r.waiter.Late && !r.preempted {
		r.result = resultInTime
	}
	return true
}

// preempt preempts the newest runs of engines that have run out of memory; their prompts are
// prefilled again.
func (s *simulation) preempt(now time.Time) {
	const restartDelay = 300 * time.Millisecond
	for _, r := range slices.Backward(s.running) {
		if s.used[r.engine] <= float64(s.memory) || now.Before(r.firstEvent) {
			continue
		}
		s.preempted++
		r.preempted = true
		r.firstEvent = now.Add(restartDelay + time.Duration(r.prompt)*simPrefillPerToken)
		s.used[r.engine] -= r.generated
		r.total -= int(r.generated)
		r.generated = 0
	}
}

// deliverReports delivers the reports that are due: recent changes, and all engines once per
// interval.
func (s *simulation) deliverReports(now time.Time) {
	if s.reports != nil {
		s.reports.recordDue(s, now)
	}
	due := s.dueReports[now]
	if now.Sub(start)%simReportInterval == 0 {
		due = append(due, s.ids...)
	}
	slices.Sort(due)
	for _, id := range slices.Compact(due) {
		s.deliver(id, now)
	}
}

// deliver gives each router the sum of the load that the others placed on an engine.
func (s *simulation) deliver(id string, now time.Time) {
	var sum kvmemory.Load
	own := make([]kvmemory.Load, len(s.pools))
	for i, p := range s.pools {
		own[i] = p.OwnLoad(id, now)
		if s.reports != nil {
			own[i] = s.reports.estimate(i, id, now)
		}
		sum.Add(&own[i], 1)
	}
	for i, p := range s.pools {
		peerLoad := sum
		peerLoad.Add(&own[i], -1)
		p.SetPeerLoad(id, peerLoad, now)
	}
}

// rejectExpired rejects requests that have waited too long; each is retried once.
func (s *simulation) rejectExpired(now time.Time) {
	var expired []*simRequest
	for w, r := range s.queued {
		if !now.Before(w.GiveUpAt) {
			expired = append(expired, r)
		}
	}
	// Sorted, so that the result does not depend on map iteration order.
	slices.SortFunc(expired, func(a, b *simRequest) int { return a.number - b.number })
	for _, r := range expired {
		s.queues[r.router].Remove(r.waiter)
		delete(s.queued, r.waiter)
		s.customers.wait(r, -1)
		r.rejections++
		if r.waiter.Late {
			r.result = resultRejected
			continue
		}
		delay := s.retryAfter(r, simClientTimeout-now.Sub(r.firstArrival))
		r.router = s.rng.IntN(s.routers)
		at := start.Add(now.Add(delay).Sub(start).Round(simTick))
		s.arrivals[at] = append(s.arrivals[at], r)
	}
}

// retryAfter draws the delay until the retry of a rejected request.
func (s *simulation) retryAfter(r *simRequest, left time.Duration) time.Duration {
	u := s.rng.Float64()
	if s.customers == nil || !s.customers.yielding {
		return s.policy.RetryAfter(left, u)
	}
	return s.policy.RetryAfterShortage(0, s.customers.pools[r.router].OverShare(r.customer), left, u)
}

// imbalance is the number of placements on the busiest engine relative to their mean.
func (s *simulation) imbalance() float64 {
	highest, sum := 0, 0
	for _, n := range s.placements {
		highest, sum = max(highest, n), sum+n
	}
	return float64(highest) * float64(s.engines) / float64(sum)
}

func (s *simulation) log(t *testing.T, name string) {
	t.Helper()
	shares := sharesOf(s.all)
	t.Logf("%s: in time %.3f, served %.3f, rejected %.3f, value %.3f; reservations refused %d, preempted %d of %d, imbalance %.2f",
		name, shares.inTime, shares.served, shares.rejected, shares.value, s.refusals, s.preempted, len(s.all), s.imbalance())
}
