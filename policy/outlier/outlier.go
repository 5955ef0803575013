// Package outlier tells servers that fail more often than the others of their service.
//
// Load pattern: a seventh of the servers fail two of five requests, or hang, while their
// health check is good. Only the answers to requests show
// it. Some services fail a fixed share of requests everywhere, so a server is compared
// with the others of its service and not with a fixed bound.
//
// A Tracker takes the time from its caller and is not safe for concurrent use.
package outlier

import (
	"math"
	"time"
)

// halfLife is the age at which an observation counts half. A server that is well again
// gets its full share back after a few of them.
const halfLife = 3 * time.Second

// prior is the number of observations without which nothing is concluded.
const prior = 3.0

// Tracker holds what was observed of the servers of one service.
type Tracker struct {
	servers map[string]*record
	// at is the time to which all counts have decayed, all their sum over the servers: a
	// choice asks for each server how it compares with the others.
	at  time.Time
	all counts
}

// counts are decayed numbers of requests.
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

// rounding is the share of a sum below which a difference from it may be nothing but
// rounding.
const rounding = 1e-6

type record struct {
	counts
	// lastFailure is when a request last failed.
	lastFailure time.Time
	// streak is the number of failures since the last success.
	streak int
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{servers: map[string]*record{}} }

// Observe notes the end of a request at a server.
func (t *Tracker) Observe(id string, ok bool, now time.Time) {
	t.decay(now)
	r, known := t.servers[id]
	if !known {
		r = &record{}
		t.servers[id] = r
	}
	var seen counts
	if ok {
		seen.ok = 1
		r.streak = 0
	} else {
		seen.failed = 1
		r.streak++
		r.lastFailure = now
	}
	r.add(seen)
	t.all.add(seen)
}

// Forget drops all servers that keep does not want.
func (t *Tracker) Forget(keep func(id string) bool) {
	t.all = counts{}
	for id, r := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
			continue
		}
		t.all.add(r.counts)
	}
}

// decay brings all counts to now.
func (t *Tracker) decay(now time.Time) {
	if now.Equal(t.at) {
		return
	}
	f := math.Exp2(-float64(now.Sub(t.at)) / float64(halfLife))
	t.at, t.all = now, counts{}
	for _, r := range t.servers {
		r.scale(f)
		t.all.add(r.counts)
	}
}

// others is the sum over the other servers of the one with the counts own. It is summed up
// anew where nearly all of the sum is that server's own.
func (t *Tracker) others(id string, own counts) counts {
	left := counts{t.all.ok - own.ok, t.all.failed - own.failed}
	if left.requests() > rounding*t.all.requests() {
		return left
	}
	left = counts{}
	for other, r := range t.servers {
		if other != id {
			left.add(r.counts)
		}
	}
	return left
}

// ExcessFailureRate is the estimated probability that a request fails at a server beyond what is
// usual in its service, in [0, 1].
func (t *Tracker) ExcessFailureRate(id string, now time.Time) float64 {
	r, ok := t.servers[id]
	if !ok {
		return 0
	}
	t.decay(now)
	others := t.others(id, r.counts)
	usual := others.failed / (others.requests() + prior)
	rate := (r.failed + prior*usual) / (r.requests() + prior)
	return max(rate-usual, 0)
}

// Suspected reports whether a server should get no request that is lost when it fails: it
// failed several in a row, the last of them a moment ago.
func (t *Tracker) Suspected(id string, now time.Time) bool {
	r, ok := t.servers[id]
	return ok && r.streak >= suspectStreak && now.Sub(r.lastFailure) < suspectFor
}

const (
	// suspectStreak failures in a row happen once in a thousand times by chance at a
	// failure rate of a seventh.
	suspectStreak = 3
	// suspectFor is the pause after which a suspect is tried with one request again.
	suspectFor = 2 * time.Second
)
