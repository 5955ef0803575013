// Package suspicion is a failure detector: it decides which engines a router avoids for some seconds, from the failures
// that all routers observed there.
//
// Load pattern: a server loses power, is partitioned, or fails two requests of five, and stays listed for the seconds
// until its lease lapses or its health check fails. Dozens of routers each send it a request and detect the failure
// only by a failed attempt of their own, although the first one knew of it. Every such attempt takes a retry from the
// budget and delays its request.
//
// So routers report failures to each other. A suspicion decays within seconds and only makes a router prefer other
// engines: when none of them has free capacity, a suspected engine is used as usual. A router that is itself partitioned
// sees failures everywhere; the weight of its reports is divided among all engines it names, and a local success
// outweighs them.
//
// A Tracker is deterministic, takes the time from its caller, and is not safe for concurrent use.
package suspicion

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
)

const (
	// halfLife is the half-life of a suspicion: a restarted engine is used again after a few of them.
	halfLife = 1500 * time.Millisecond
	// maxSuspicion bounds the suspicion of one engine, in failures: many routers report the same outage.
	maxSuspicion = 4.0
	// successFactor is the factor applied to a suspicion after a request of this router succeeded.
	successFactor = 0.5
	// reportInterval is the time in which several reports of one router about an engine count once: when an engine
	// terminates, all requests in progress there fail together.
	reportInterval = time.Second
)

// A router avoids an engine while its suspicion exceeds a threshold between these bounds, which grows with the router's
// affinity for the engine. So a few routers try the engine again first, and if it still fails, the others receive their
// reports before they try: after one failure the routers return over 0.2 to 2.6 seconds.
const (
	minThreshold = 0.3
	maxThreshold = 0.9
)

// Tracker holds one router's suspicions of engines.
type Tracker struct {
	// router is the name of this router.
	router    string
	engines   map[string]*engine
	reporters map[string]*reporter
	sweptAt   time.Time
}

type engine struct {
	suspicion float64
	at        time.Time
	threshold float64
}

// reporter holds when a router reported each engine, within reportInterval.
type reporter struct{ reported map[string]time.Time }

// New returns an empty Tracker of the named router.
func New(router string) *Tracker {
	return &Tracker{router: router, engines: map[string]*engine{}, reporters: map[string]*reporter{}}
}

// Failed records a failure of a request of this router. It reports whether to announce it to other routers, which is at
// most once per reportInterval and engine.
func (t *Tracker) Failed(id string, now time.Time) (announce bool) {
	announce, _ = t.recordReport(t.router, id, now)
	if announce {
		t.raise(id, 1, now)
	}
	return announce
}

// Reported records that another router reported a failed request at an engine. The more engines it reports, the less
// each report counts: it may be cut off itself. By the square, no more than three engines exceed the lowest threshold
// however long such a router reports all of them; in inverse proportion it was up to seven.
func (t *Tracker) Reported(router, id string, now time.Time) {
	if counts, engines := t.recordReport(router, id, now); counts {
		t.raise(id, 1/float64(engines*engines), now)
	}
}

// recordReport records that a router reports an engine. It returns whether the report counts, and how many engines the
// router has reported within reportInterval, this one included.
func (t *Tracker) recordReport(router, id string, now time.Time) (counts bool, engines int) {
	t.sweep(now)
	r, ok := t.reporters[router]
	if !ok {
		r = &reporter{reported: map[string]time.Time{}}
		t.reporters[router] = r
	}
	for other, at := range r.reported {
		if now.Sub(at) >= reportInterval {
			delete(r.reported, other)
		}
	}
	if _, recent := r.reported[id]; recent {
		return false, len(r.reported)
	}
	r.reported[id] = now
	return true, len(r.reported)
}

// Succeeded records that a request of this router succeeded at an engine.
func (t *Tracker) Succeeded(id string) {
	if e, ok := t.engines[id]; ok {
		e.suspicion *= successFactor
	}
}

// Clear records that an engine at which requests failed works again.
func (t *Tracker) Clear(id string) { delete(t.engines, id) }

// Suspected reports whether the router should prefer other engines to this one.
func (t *Tracker) Suspected(id string, now time.Time) bool {
	e, ok := t.engines[id]
	return ok && e.decayed(now) > e.threshold
}

// Condition returns that the router should prefer other engines to this one, and whether it should.
func (t *Tracker) Condition(id string, now time.Time) (eligibility.Condition, bool) {
	if !t.Suspected(id, now) {
		return eligibility.Condition{}, false
	}
	e := t.engines[id]
	halfLives := math.Log2(e.suspicion / e.threshold)
	return eligibility.Condition{
		Reason: eligibility.Suspected, Author: eligibility.Peers, Since: e.at, Until: e.at.Add(time.Duration(halfLives * float64(halfLife))),
	}, true
}

// Len returns the number of engines that are or were suspected recently.
func (t *Tracker) Len() int { return len(t.engines) }

func (t *Tracker) raise(id string, by float64, now time.Time) {
	e, ok := t.engines[id]
	if !ok {
		e = &engine{threshold: minThreshold + (maxThreshold-minThreshold)*affinity.Of(t.router, id)}
		t.engines[id] = e
	}
	e.suspicion, e.at = min(e.decayed(now)+by, maxSuspicion), now
}

func (e *engine) decayed(now time.Time) float64 {
	return e.suspicion * math.Exp2(-now.Sub(e.at).Seconds()/halfLife.Seconds())
}

// sweepInterval is the time between two sweeps.
const sweepInterval = 10 * time.Second

// sweep drops engines that no threshold suspects any more, and routers without a recent report.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for id, e := range t.engines {
		if e.decayed(now) < minThreshold {
			delete(t.engines, id)
		}
	}
	for router, r := range t.reporters {
		if !r.recent(now) {
			delete(t.reporters, router)
		}
	}
}

func (r *reporter) recent(now time.Time) bool {
	for _, at := range r.reported {
		if now.Sub(at) < reportInterval {
			return true
		}
	}
	return false
}
