package exclusion_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/exclusion"
	"github.com/hibiscusspur/hibiscusspur/policy/suspicion"
)

// The replayed load: requests arrive at a steady rate, and at 1.7 times that rate while some engines fail everything,
// within some milliseconds. A router sends each request to the engine with the most free places; a failing one has all
// of them free.
const (
	step         = 5 * time.Millisecond
	faultAt      = 10 * time.Second
	faultTime    = 5500 * time.Millisecond
	burst        = 1.7
	replayTime   = 25 * time.Second
	reportDelay  = 5 * time.Millisecond
	failureDelay = 10 * time.Millisecond
)

// replay is one such load. The first failing engines fail.
type replay struct {
	routers, engines, failing int
	// perSecond is the mean arrival rate, places the number of requests that an engine takes.
	perSecond float64
	places    int
	// prepare is the time from a request's placement until it is sent: the prefill of its prompt. start is the time until
	// the engine shows that it runs it, hold how long it then takes a place.
	prepare, start, hold time.Duration
	// everywhere is the share of requests that fail wherever they are sent, repeatable the share that may be sent again.
	everywhere, repeatable float64
	// excluding has routers exclude engines.
	excluding bool
}

// result is the outcome of a replay.
type result struct {
	// failures is the number of requests that the failing engines failed, final that of those that were not sent again.
	failures, final int
	// usedAgain is the time from the end of the fault until all failing engines answered again.
	usedAgain time.Duration
	// wrong is the number of times that a router excluded an engine that works, unusedTime the total time in which most
	// routers had excluded one.
	wrong      int
	unusedTime time.Duration
}

type request struct {
	router, engine     int
	repeatable, doomed bool
	tried              []bool
	prepared           bool
	// at is the time of the next step.
	at   time.Time
	sent time.Time
	// started is set while the request takes a place at an engine that runs it, failed while its failure is on the way.
	started, failed bool
}

type message struct {
	at           time.Time
	from, engine int
	kind         string
}

type world struct {
	replay
	rng        *rand.Rand
	exclusions []*exclusion.Tracker
	suspicions []*suspicion.Tracker
	used       []int
	requests   []*request
	messages   []message
	answered   []time.Time
	result
}

// ids and names are those of the engines and routers.
var ids, names = func() (ids, names []string) {
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("i-%08x", uint32(i+1)*2246822519))
		names = append(names, fmt.Sprint("edge-", i))
	}
	return ids, names
}()

func id(engine int) string { return ids[engine] }

func name(router int) string { return names[router] }

func (r replay) run(seed uint64) result {
	w := &world{replay: r, rng: rand.New(rand.NewPCG(seed, 7)), used: make([]int, r.engines), answered: make([]time.Time, r.engines)}
	for i := range r.routers {
		w.exclusions = append(w.exclusions, exclusion.New(name(i)))
		w.suspicions = append(w.suspicions, suspicion.New(name(i)))
	}
	for now := start; now.Before(start.Add(replayTime)); now = now.Add(step) {
		w.arrive(now)
		w.deliver(now)
		var left []*request
		for _, q := range w.requests {
			if now.Before(q.at) || w.advance(q, now) {
				left = append(left, q)
			}
		}
		w.requests = left
		w.countUnused(now)
	}
	end := start.Add(faultAt + faultTime)
	for e := range r.failing {
		if w.answered[e].IsZero() {
			w.usedAgain = replayTime
		}
		w.usedAgain = max(w.usedAgain, w.answered[e].Sub(end))
	}
	return w.result
}

func faulty(now time.Time) bool {
	return !now.Before(start.Add(faultAt)) && now.Before(start.Add(faultAt+faultTime))
}

func (w *world) arrive(now time.Time) {
	rate := w.perSecond
	if faulty(now) {
		rate *= burst
	}
	for w.rng.Float64() < rate*step.Seconds() {
		w.requests = append(w.requests, &request{
			router: w.rng.IntN(w.routers), engine: -1, repeatable: w.rng.Float64() < w.repeatable,
			doomed: w.rng.Float64() < w.everywhere, tried: make([]bool, w.engines), at: now,
		})
		rate -= 1 / step.Seconds()
	}
}

// advance takes the next step of a request and reports whether there is another one.
func (w *world) advance(q *request, now time.Time) bool {
	switch {
	case q.failed:
		return w.failed(q, now)
	case q.started && q.sent.IsZero():
		w.used[q.engine]--
		return false
	case q.started:
		w.succeeded(q, now)
		q.sent, q.at = time.Time{}, now.Add(w.hold)
	case q.engine >= 0:
		w.send(q, now)
	case w.place(q, now):
		q.at = now.Add(w.prepare)
		if q.prepared {
			q.at = now
		}
	}
	return true
}

// place chooses the engine with the most free places, a suspected one only if no other has any.
func (w *world) place(q *request, now time.Time) bool {
	best, bestFree, bestLast := -1, 0.0, false
	for e := range w.engines {
		free := float64(w.places-w.used[e]) + 0.5*w.rng.Float64()
		if q.tried[e] || w.used[e] >= w.places {
			continue
		}
		if _, excluded := w.exclusions[q.router].Condition(id(e), q.repeatable, now); excluded {
			continue
		}
		last := w.suspicions[q.router].Suspected(id(e), now) && !w.exclusions[q.router].Excluded(id(e), now)
		if best < 0 || bestLast && !last || bestLast == last && free > bestFree {
			best, bestFree, bestLast = e, free, last
		}
	}
	if best < 0 {
		return false
	}
	if w.exclusions[q.router].TrialBegan(id(best), now) {
		w.tell(q.router, best, "trial", now)
		q.prepared = false
	}
	q.engine, q.tried[best] = best, true
	w.used[best]++
	return true
}

// send sends a request to its engine, unless that has been excluded since.
func (w *world) send(q *request, now time.Time) {
	if _, excluded := w.exclusions[q.router].Condition(id(q.engine), q.repeatable, now); excluded && !w.exclusions[q.router].TrialPending(id(q.engine)) {
		w.used[q.engine]--
		q.engine, q.prepared = -1, true
		return
	}
	q.sent, q.prepared = now, false
	if q.engine < w.failing && faulty(now) || q.doomed {
		q.failed, q.at = true, now.Add(failureDelay)
		return
	}
	q.started, q.at = true, now.Add(w.start)
}

func (w *world) succeeded(q *request, now time.Time) {
	w.suspicions[q.router].Succeeded(id(q.engine))
	if _, announce := w.exclusions[q.router].Succeeded(id(q.engine), q.sent, now); announce && w.excluding {
		w.tell(q.router, q.engine, "success", now)
	}
	if w.answered[q.engine].IsZero() && now.After(start.Add(faultAt+faultTime)) {
		w.answered[q.engine] = now
	}
}

// failed records the failure of a request and reports whether it is sent again.
func (w *world) failed(q *request, now time.Time) bool {
	w.used[q.engine]--
	if !q.doomed {
		w.failures++
		if !q.repeatable {
			w.final++
		}
	}
	announce := w.suspicions[q.router].Failed(id(q.engine), now)
	if w.excluding {
		c, tell := w.exclusions[q.router].Failed(id(q.engine), w.scope(), now)
		w.count(c, q.engine, now)
		announce = announce || tell
	}
	if announce {
		w.tell(q.router, q.engine, "failure", now)
	}
	q.engine, q.failed, q.sent, q.at = -1, false, time.Time{}, now
	again := q.repeatable
	q.repeatable = false
	return again
}

func (w *world) scope() exclusion.Scope {
	return exclusion.Scope{Group: "g", Engines: w.engines, Routers: w.routers}
}

func (w *world) count(c exclusion.Change, engine int, now time.Time) {
	if c.Excluded && !(engine < w.failing && faulty(now)) {
		w.wrong++
	}
}

// countUnused adds the time in which most routers have excluded an engine that works.
func (w *world) countUnused(now time.Time) {
	for e := w.failing; e < w.engines; e++ {
		n := 0
		for _, x := range w.exclusions {
			if x.Excluded(id(e), now) {
				n++
			}
		}
		if n > w.routers/2 {
			w.unusedTime += step
		}
	}
}

func (w *world) tell(from, engine int, kind string, now time.Time) {
	w.messages = append(w.messages, message{now.Add(reportDelay), from, engine, kind})
}

// deliver delivers the messages that have arrived by now to all other routers.
func (w *world) deliver(now time.Time) {
	for len(w.messages) > 0 && !now.Before(w.messages[0].at) {
		m := w.messages[0]
		w.messages = w.messages[1:]
		for i := range w.routers {
			if i != m.from {
				w.receive(i, m, now)
			}
		}
	}
}

func (w *world) receive(i int, m message, now time.Time) {
	switch m.kind {
	case "failure":
		w.suspicions[i].Reported(name(m.from), id(m.engine), now)
		if w.excluding {
			w.count(w.exclusions[i].Reported(name(m.from), id(m.engine), w.scope(), now), m.engine, now)
		}
	case "success":
		w.exclusions[i].SuccessReported(id(m.engine), now)
	case "trial":
		w.exclusions[i].TrialReported(id(m.engine), now)
	}
}

const seeds = 5

// TestFailingEnginesAreExcluded guards against engines that fail everything and keep getting requests because they are
// empty, while memory is short elsewhere: failures there, with other routers' failures making them a last resort only, and
// with exclusion. They must be in use again soon after the fault ends.
func TestFailingEnginesAreExcluded(t *testing.T) {
	decode := replay{routers: 27, engines: 36, failing: 5, perSecond: 37, places: 5, prepare: 250 * time.Millisecond, start: 30 * time.Millisecond, hold: 3 * time.Second, repeatable: 1.0 / 3}
	prefill := replay{routers: 27, engines: 13, failing: 2, perSecond: 37, places: 1, start: 200 * time.Millisecond, repeatable: 1}
	for _, c := range []struct {
		name       string
		load       replay
		everywhere float64
		// share is the largest share of the failures without exclusion that may remain.
		share float64
	}{
		{"decode", decode, 0, 0.5}, {"decode", decode, 0.02, 0.5}, {"decode", decode, 0.14, 0.6},
		{"prefill", prefill, 0, 0.5}, {"prefill", prefill, 0.02, 0.5},
	} {
		t.Run(fmt.Sprintf("%s, %.0f in 100 fail", c.name, 100*c.everywhere), func(t *testing.T) {
			c.load.everywhere = c.everywhere
			var before, after result
			var usedAgain time.Duration
			for seed := range uint64(seeds) {
				c.load.excluding = false
				before.add(c.load.run(seed))
				c.load.excluding = true
				r := c.load.run(seed)
				after.add(r)
				usedAgain += r.usedAgain
			}
			t.Logf("failures at failing engines (final): %d (%d) before, %d (%d) after; used again after %v at most, %v in the mean (before %v); wrong exclusions %d, unused for %v",
				before.failures, before.final, after.failures, after.final, after.usedAgain, usedAgain/seeds, before.usedAgain, after.wrong, after.unusedTime)
			assert.Check(t, float64(after.failures) <= c.share*float64(before.failures))
			assert.Check(t, after.final <= before.final)
			assert.Check(t, after.usedAgain <= 4*time.Second)
		})
	}
}

// add adds the counts of another replay, and keeps the longest time.
func (r *result) add(o result) {
	r.failures += o.failures
	r.final += o.final
	r.wrong += o.wrong
	r.unusedTime += o.unusedTime
	r.usedAgain = max(r.usedAgain, o.usedAgain)
}

// TestRequestsThatFailEverywhereExcludeFew guards against engines that are excluded for requests which fail wherever they
// are sent: how much of the time of 36 working engines is lost for most routers.
func TestRequestsThatFailEverywhereExcludeFew(t *testing.T) {
	for everywhere, share := range map[float64]float64{0.02: 0.001, 0.05: 0.002, 0.14: 0.01} {
		var all result
		for seed := range uint64(seeds) {
			all.add(replay{
				routers: 27, engines: 36, perSecond: 37, places: 5, prepare: 250 * time.Millisecond, start: 30 * time.Millisecond, hold: 3 * time.Second,
				repeatable: 1.0 / 3, everywhere: everywhere, excluding: true,
			}.run(seed))
		}
		t.Logf("%.0f in 100 fail: %d decisions of single routers, unused for %v of %v", 100*everywhere, all.wrong, all.unusedTime, seeds*36*replayTime)
		assert.Check(t, all.unusedTime.Seconds() <= share*seeds*36*replayTime.Seconds(), "%.0f in 100", 100*everywhere)
	}
}
