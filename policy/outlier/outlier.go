// Package outlier tells servers that fail more often, or answer more slowly, than the
// others of their service.
//
// Load pattern: a seventh of the servers fail two of five requests, hang, or take eight
// times as long, while their health check is good. Only the answers to requests show
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
}

type record struct {
	at time.Time
	// ok and failed are decayed counts; latency is a decayed sum over both.
	ok, failed float64
	latency    float64
	// lastFailure is when a request last failed.
	lastFailure time.Time
	// streak is the number of failures since the last success.
	streak int
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{servers: map[string]*record{}} }

// Observe notes the end of a request at a server.
func (t *Tracker) Observe(id string, ok bool, latency time.Duration, now time.Time) {
	r, known := t.servers[id]
	if !known {
		r = &record{at: now}
		t.servers[id] = r
	}
	r.decay(now)
	r.latency += latency.Seconds()
	if ok {
		r.ok++
		r.streak = 0
		return
	}
	r.failed++
	r.streak++
	r.lastFailure = now
}

// Forget drops all servers that keep does not want.
func (t *Tracker) Forget(keep func(id string) bool) {
	for id := range t.servers {
		if !keep(id) {
			delete(t.servers, id)
		}
	}
}

func (r *record) decay(now time.Time) {
	f := math.Exp2(-float64(now.Sub(r.at)) / float64(halfLife))
	r.ok *= f
	r.failed *= f
	r.latency *= f
	r.at = now
}

// Failing is the estimated probability that a request fails at a server beyond what is
// usual in its service, in [0, 1].
func (t *Tracker) Failing(id string, now time.Time) float64 {
	r, ok := t.servers[id]
	if !ok {
		return 0
	}
	r.decay(now)
	usual := t.usual(id, now)
	rate := (r.failed + prior*usual) / (r.ok + r.failed + prior)
	return max(rate-usual, 0)
}

// usual is the failure rate of the other servers.
func (t *Tracker) usual(except string, now time.Time) float64 {
	var ok, failed float64
	for id, r := range t.servers {
		if id == except {
			continue
		}
		r.decay(now)
		ok += r.ok
		failed += r.failed
	}
	return failed / (ok + failed + prior)
}

// Latency is the mean time of requests at a server, or of its service when too few were
// observed there. A request that was given up counts with the time until then.
func (t *Tracker) Latency(id string, now time.Time) time.Duration {
	var count, total float64
	for other, r := range t.servers {
		if other != id {
			count += r.ok + r.failed
			total += r.latency
		}
	}
	mean := 0.0
	if count > 0 {
		mean = total / count
	}
	r, known := t.servers[id]
	if !known {
		return time.Duration(mean * float64(time.Second))
	}
	own := (r.latency + prior*mean) / (r.ok + r.failed + prior)
	return time.Duration(own * float64(time.Second))
}

// Suspect reports whether a server should get no request that is lost when it fails: it
// failed several in a row, the last of them a moment ago.
func (t *Tracker) Suspect(id string, now time.Time) bool {
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
