package exclusion

import (
	"strconv"
	"time"
)

const (
	// firstTrialAfter is the time from an exclusion to its first trial. It doubles after each failed trial, up to
	// maxTrialInterval, which bounds how long an engine that works again stays unused.
	firstTrialAfter, maxTrialInterval = 800 * time.Millisecond, 1500 * time.Millisecond
	// trialSpread is the time over which the routers become ready to send a trial request, so that one of them does, and
	// the others hear of it first.
	trialSpread = 400 * time.Millisecond
	// unrepeatableDelay is how much later a request that can't be repeated is sent as a trial: its failure would be
	// final.
	unrepeatableDelay = time.Second
	// trialTimeout is how long the outcome of a trial is awaited: a reservation, a prefill and the first token.
	trialTimeout = 1500 * time.Millisecond
)

// trials are the trial requests to an excluded engine.
type trials struct {
	// next is when the first router is ready for the next trial.
	next time.Time
	// count is the number of failed trials; pending is set while the outcome of one is awaited.
	count   int
	pending bool
}

// begin schedules the first trial.
func (t *trials) begin(now time.Time) { *t = trials{next: now.Add(firstTrialAfter)} }

// pend records that a trial request is being sent.
func (t *trials) pend(now time.Time) { t.pending, t.next = true, now.Add(trialTimeout) }

// failed records a failure at the engine. Without a trial it is that of a request sent before the exclusion.
func (t *trials) failed(now time.Time) {
	next := now.Add(t.interval())
	if t.pending {
		t.count++
		t.pending = false
		t.next = now.Add(t.interval())
	} else if next.After(t.next) {
		t.next = next
	}
}

func (t *trials) interval() time.Duration {
	d := firstTrialAfter
	for range t.count {
		if d *= 2; d >= maxTrialInterval {
			return maxTrialInterval
		}
	}
	return d
}

// key names the next trial of an engine, so that each trial has another order of routers.
func (t *trials) key(id string) string { return id + "/" + strconv.Itoa(t.count) }

// due is when a router with the given affinity may send a trial request.
func (t *trials) due(affinity float64, repeatable bool) time.Time {
	at := t.next.Add(time.Duration((1 - affinity) * float64(trialSpread)))
	if !repeatable {
		at = at.Add(unrepeatableDelay)
	}
	return at
}
