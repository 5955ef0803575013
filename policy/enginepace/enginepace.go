// Package enginepace learns how long each decode engine takes per generated token.
//
// Load pattern: engines of one service differ in speed by a factor of two or three, steadily, so
// that a long run ends in time on one engine and reaches its deadline on another. A faulty engine
// becomes several times slower for some seconds. Each of many routers carries less than one run per
// engine in the mean, so a router's own observations are too few, and routers add up theirs.
//
// A router observes the runs that it carries in a Window and reports its Evidence to the others.
// The sum of all routers' current Evidence updates an Estimate, which has two parts: the usual pace
// over many runs, and the current pace, which replaces the usual one while the engine is several
// times slower. The pace is not normalised for the number of concurrent runs: load changes it by
// less than a third, classes of engines differ by more, and Unequal ignores differences of that
// size.
//
// All types are deterministic, take the time from their caller, and are not safe for concurrent
// use.
package enginepace

import (
	"math"
	"time"
)

// Evidence is what runs on one engine generated lately: the number of tokens, and the time that the
// runs took for them, summed over runs. Evidence of different routers can be added and subtracted
// without a remainder.
type Evidence struct{ Tokens, Micros int }

// Add adds sign times o.
func (e *Evidence) Add(o Evidence, sign int) {
	e.Tokens += sign * o.Tokens
	e.Micros += sign * o.Micros
}

// PerToken is the time per token in seconds; zero if unknown.
func (e Evidence) PerToken() float64 {
	if e.Tokens <= 0 || e.Micros <= 0 {
		return 0
	}
	return float64(e.Micros) / 1e6 / float64(e.Tokens)
}

// runSeconds is the time summed over runs, in seconds.
func (e Evidence) runSeconds() float64 { return float64(e.Micros) / 1e6 }

// windowTime is the time constant with which observations lose their weight in a Window. An engine
// with five runs gives three run-seconds of evidence in it, and a slowdown dominates after half of
// it.
const windowTime = 600 * time.Millisecond

// Window holds the observations of one router at one engine. The zero value is empty.
type Window struct {
	tokens, micros float64
	at             time.Time
}

// decay lowers the weight of earlier observations to that at now.
func (w *Window) decay(now time.Time) {
	if w.tokens == 0 || !now.After(w.at) {
		return
	}
	factor := math.Exp(-float64(now.Sub(w.at)) / float64(windowTime))
	w.tokens *= factor
	w.micros *= factor
	w.at = now
	if w.tokens < 1 {
		*w = Window{}
	}
}

// Observe records that one run generated that many tokens in a period that ended at now.
func (w *Window) Observe(tokens int, elapsed time.Duration, now time.Time) {
	w.decay(now)
	w.tokens += float64(tokens)
	w.micros += float64(elapsed.Microseconds())
	w.at = now
}

// Evidence returns the current evidence.
func (w *Window) Evidence(now time.Time) Evidence {
	w.decay(now)
	return Evidence{Tokens: int(math.Round(w.tokens)), Micros: int(math.Round(w.micros))}
}

const (
	// maxWeight bounds the weight of the usual pace, in run-seconds, and maxRuns the number of runs
	// that count at a time: an engine with four runs or more replaces it in five seconds, one with a
	// single run in twenty. Without maxRuns, the usual pace of an engine with forty runs would follow
	// a slowdown within half a second.
	maxWeight = 20
	maxRuns   = 4
	// minWeight is the weight from which the usual pace is known: that of two events of the slowest
	// engines seen, or of some twenty of the fastest.
	minWeight = 0.5
	// minSlowWeight is the current evidence that it takes to call an engine slow, in run-seconds.
	minSlowWeight = 0.5
	// slowRatio is the ratio of the current to the usual pace from which an engine counts as slow;
	// recoveredRatio the ratio below which it has recovered. Load alone changes the pace by a third.
	slowRatio, recoveredRatio = 2.2, 1.5
	// slowLearning is the share of the weight, for the usual pace, of observations above
	// recoveredRatio, so that a fault of ten seconds does not change it much, and a lasting change
	// does in a minute.
	slowLearning = 0.1
	// slowTTL is how long an engine without any evidence still counts as slow. It is avoided then,
	// and only a new run can show that it has recovered.
	slowTTL = 4 * time.Second
)

// Estimate is what is known of one engine. The zero value knows nothing.
type Estimate struct {
	// usual and current are in seconds per token; weight is that of usual, in run-seconds.
	usual, weight, current float64
	slow                   bool
	// updated is the time of the latest update, evidenceAt that of the latest with evidence.
	updated, evidenceAt time.Time
}

// Update takes the sum of all routers' current evidence. It reports whether the engine has turned
// slow, or has recovered, with this update; see Slow.
func (e *Estimate) Update(sum Evidence, now time.Time) (changed bool) {
	since := min(now.Sub(e.updated), windowTime)
	if e.updated.IsZero() {
		since = windowTime
	}
	e.updated = now
	wasSlow := e.slow
	if sum.PerToken() > 0 {
		e.evidenceAt = now
		e.learn(sum, since)
	} else if now.Sub(e.evidenceAt) >= slowTTL {
		e.slow = false
	}
	return e.slow != wasSlow
}

// learn updates the estimate with evidence of which the newest part covers the period since.
func (e *Estimate) learn(sum Evidence, since time.Duration) {
	e.current = sum.PerToken()
	weight := min(sum.runSeconds()/windowTime.Seconds(), maxRuns) * since.Seconds()
	if e.Known() {
		ratio := e.current / e.usual
		switch {
		case !e.slow && ratio >= slowRatio && sum.runSeconds() >= minSlowWeight:
			e.slow = true
		case e.slow && ratio < recoveredRatio:
			e.slow = false
		}
		if ratio >= recoveredRatio {
			weight *= slowLearning
		}
	}
	if weight <= 0 {
		return
	}
	e.usual += (e.current - e.usual) * weight / (e.weight + weight)
	e.weight = min(e.weight+weight, maxWeight)
}

// Known reports whether enough runs were observed.
func (e *Estimate) Known() bool { return e.weight >= minWeight }

// PerToken is the expected time per token in seconds; zero if unknown.
func (e *Estimate) PerToken() float64 {
	switch {
	case !e.Known():
		return 0
	case e.slow:
		return e.current
	default:
		return e.usual
	}
}

// Usual is the time per token in seconds apart from a temporary slowdown; zero if unknown.
func (e *Estimate) Usual() float64 {
	if !e.Known() {
		return 0
	}
	return e.usual
}

// UpdatedAt is the time of the latest update.
func (e *Estimate) UpdatedAt() time.Time { return e.updated }

// Slows reports whether an observation of one run would, if it is typical, call an engine slow that is
// not yet.
func (e *Estimate) Slows(tokens int, elapsed time.Duration) bool {
	return e.Known() && !e.slow && elapsed.Seconds() >= slowRatio*e.usual*float64(tokens)
}

// Slow reports whether the engine is several times slower than usual.
func (e *Estimate) Slow() bool { return e.slow }
