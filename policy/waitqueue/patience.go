package waitqueue

import "time"

// Policy are how long requests wait and when those that are turned away come back.
type Policy struct {
	// ReadPerToken and Overhead estimate the time from a reserved place to the first
	// event: the prompt is read, its KV cache moved, and the first step made.
	ReadPerToken, Overhead time.Duration
	// LateWait is how long a request that came back waits.
	LateWait time.Duration
	// AgainWait is how long a request waits for room once its run has broken: clients leave
	// after a pause of 3.6 s, of which a silent engine has taken 1.5 s already.
	AgainWait time.Duration
	// RejectFactor is by how much the expected wait has to exceed what a request can wait before
	// it is turned away at once: the rate at which memory is freed for one router is
	// known roughly.
	RejectFactor float64
	// BackMin and BackMax bound when a request that is turned away comes back. Bursts
	// last some four seconds; returners are spread so that they are no second burst.
	BackMin, BackMax time.Duration
	// Spread is the time over which those come back who were told the same moment.
	Spread time.Duration
}

// DefaultPolicy returns the values that were measured; see docs/MEASUREMENTS.md. An engine
// reads 55 tokens a millisecond; twice that time allows for one prompt before it.
func DefaultPolicy() Policy {
	return Policy{
		ReadPerToken: 36 * time.Microsecond,
		Overhead:     120 * time.Millisecond,
		LateWait:     3 * time.Second,
		AgainWait:    time.Second,
		RejectFactor: 1.5,
		BackMin:      3500 * time.Millisecond,
		BackMax:      4600 * time.Millisecond,
		Spread:       300 * time.Millisecond,
	}
}

// GiveUpAt is when a request gives up waiting: while it can still begin within the
// objective, or, when it has come back after a refusal, while enough time is left.
func (t Policy) GiveUpAt(arrived time.Time, objective, left time.Duration, prompt int, late bool) time.Time {
	if late {
		return arrived.Add(min(t.LateWait, left/2))
	}
	return arrived.Add(max(objective-t.Overhead-time.Duration(prompt)*t.ReadPerToken, 0))
}

// GiveUpAfterFailure is when a request whose run has broken gives up waiting for another engine; until is
// when it would have given up before.
func (t Policy) GiveUpAfterFailure(until, now, deadline time.Time) time.Time {
	if again := now.Add(t.AgainWait); again.After(until) {
		until = again
	}
	if until.After(deadline) {
		return deadline
	}
	return until
}

// ShouldReject reports whether a request need not wait at all: by the rate at which memory is
// freed, in tokens per second, those before it alone take far longer than it can wait. A
// rate of zero means that it is not known.
func (t Policy) ShouldReject(ahead int, rate float64, wait time.Duration) bool {
	return rate > 0 && float64(ahead)/rate > t.RejectFactor*wait.Seconds()
}

// RetryAfterWait is when a request should come back for which there is a server after wait, with u in [0, 1): those that were
// told the same come back one after the other.
func (t Policy) RetryAfterWait(wait, left time.Duration, u float64) time.Duration {
	return min(wait+time.Duration(u*float64(t.Spread)), left/3)
}

// RetryAfter is when a request that is turned away should come back, with u in [0, 1).
// A caller honours up to a third of the time that it has left.
func (t Policy) RetryAfter(left time.Duration, u float64) time.Duration {
	after := t.BackMin + time.Duration(u*float64(t.BackMax-t.BackMin))
	return min(after, left/3)
}
