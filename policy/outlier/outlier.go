// Package outlier implements outlier detection: it finds servers that fail more often than
// the others of their service.
//
// Load pattern: a seventh of the servers fail two of five requests, or hang, while their
// health checks pass, so only the outcomes of requests show it. Some services fail a
// fixed share of requests at every server, so a server is compared with the others of its
// service instead of with a fixed threshold.
//
// A Tracker takes the time from its caller and is not safe for concurrent use.
package outlier

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
)

// halfLife is the age at which an observation counts half. A recovered server gets its
// full share of requests back after a few half-lives.
const halfLife = 3 * time.Second

// prior is the weight of the baseline rate, in observations: with fewer observations of a
// server, the baseline outweighs them.
const prior = 3.0

// Tracker holds the observed outcomes at the servers of one service.
type Tracker struct {
	servers map[string]*record
	// at is the time to which all counts are decayed, total their sum over the servers:
	// each choice of a server compares every candidate with the others.
	at    time.Time
	total counts
}

// counts are exponentially decayed numbers of requests.
type counts struct{ ok, failed float64 }

func (c *counts) scale(f float64) {
	c.ok *= f
	c.failed *= f
}

func (c *counts) add(o counts) {
	c.ok += o.ok
	c.failed += o.failed
}

func (c counts) requests() float64 { return c.ok + c.failed }

// roundingError is the share of a total below which a difference from it may be only
// rounding error.
const roundingError = 1e-6

type record struct {
	counts
	// lastFailure is when a request last failed.
	lastFailure time.Time
	// streak is the number of failures since the last success.
	streak int
}

// New returns an empty Tracker.
func New() *Tracker { return &Tracker{servers: map[string]*record{}} }

// Observe records the outcome of a request at a server.
func (t *Tracker) Observe(id string, ok bool, now time.Time) {
	t.decay(now)
	r, known := t.servers[id]
	if !known {
		r = &record{}
		t.servers[id] = r
	}
	var sample counts
	if ok {
		sample.ok = 1
		r.streak = 0
	} else {
		sample.failed = 1
		r.streak++
		r.lastFailure = now
	}
	r.add(sample)
	t.total.add(sample)
}

// Forget drops all servers for which keep returns false.
func (t *Tracker) Forget(keep func(id string) bool) {
	t.total = counts{}
	for id, r := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
			continue
		}
		t.total.add(r.counts)
	}
}

// decay decays all counts to now.
func (t *Tracker) decay(now time.Time) {
	if now.Equal(t.at) {
		return
	}
	f := math.Exp2(-float64(now.Sub(t.at)) / float64(halfLife))
	t.at, t.total = now, counts{}
	for _, r := range t.servers {
		r.scale(f)
		t.total.add(r.counts)
	}
}

// others returns the sum of the counts of all servers except id, which has the counts own.
// When nearly all of the total is own, it sums the others anew, as the difference may be
// only rounding error.
func (t *Tracker) others(id string, own counts) counts {
	sum := counts{t.total.ok - own.ok, t.total.failed - own.failed}
	if sum.requests() > roundingError*t.total.requests() {
		return sum
	}
	sum = counts{}
	for other, r := range t.servers {
		if other != id {
			sum.add(r.counts)
		}
	}
	return sum
}

// ExcessFailureRate returns by how much the estimated probability that a request fails at
// a server exceeds that of the other servers of its service, in [0, 1].
func (t *Tracker) ExcessFailureRate(id string, now time.Time) float64 {
	r, ok := t.servers[id]
	if !ok {
		return 0
	}
	t.decay(now)
	others := t.others(id, r.counts)
	baseline := others.failed / (others.requests() + prior)
	rate := (r.failed + prior*baseline) / (r.requests() + prior)
	return max(rate-baseline, 0)
}

// Ejected reports whether a server is to be asked only if no other one can be: it
// failed ejectionStreak requests in a row, the last one within ejectionDuration.
func (t *Tracker) Ejected(id string, now time.Time) bool {
	r, ok := t.servers[id]
	return ok && r.streak >= ejectionStreak && now.Sub(r.lastFailure) < ejectionDuration
}

// Conditions calls add with the conditions of a server: that it is ejected, and that it fails
// more requests than the others. failingCost is the cost of a server that fails all, in
// outstanding requests.
func (t *Tracker) Conditions(id string, failingCost float64, now time.Time, add func(eligibility.Condition)) {
	if t.Ejected(id, now) {
		at := t.servers[id].lastFailure
		add(eligibility.Condition{Reason: eligibility.Ejected, Author: eligibility.Router, Since: at, Until: at.Add(ejectionDuration)})
	}
	if rate := t.ExcessFailureRate(id, now); rate > negligibleRate {
		add(eligibility.Condition{Reason: eligibility.Failing, Author: eligibility.Router, Cost: failingCost * rate})
	}
}

const (
	// negligibleRate is an excess failure rate that states nothing about a server: failures of
	// a minute ago decay to less.
	negligibleRate = 1e-4
	// ejectionStreak failures in a row have a probability of about one in a thousand at a
	// failure rate of a seventh.
	ejectionStreak = 3
	// ejectionDuration is how long after its last failure an ejected server is tried
	// again, with one request.
	ejectionDuration = 2 * time.Second
)
