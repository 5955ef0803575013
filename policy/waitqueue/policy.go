package waitqueue

import "time"

// Policy sets how long requests wait and when rejected ones are retried.
type Policy struct {
	// PrefillPerToken and Overhead estimate the time from a reserved decode slot to the first
	// event: the prefill, the transfer of the KV cache, and the first decode step.
	PrefillPerToken, Overhead time.Duration
	// LateWait is how long a retried request waits.
	LateWait time.Duration
	// FailureWait is how long a request waits for free memory after its run has failed: clients
	// disconnect after a token gap of 3.6 s, of which an unresponsive engine has taken 1.5 s.
	FailureWait time.Duration
	// RejectFactor is how many times the expected wait has to exceed the time that a request
	// can wait before the request is rejected at once: the rate at which memory is freed for
	// one router is a rough estimate.
	RejectFactor float64
	// MinRetryAfter and MaxRetryAfter bound the delay until a rejected request is retried.
	// Bursts last some four seconds; retries are spread so that they form no second burst.
	MinRetryAfter, MaxRetryAfter time.Duration
	// RetryJitter is the time over which the retries after the same wait are spread.
	RetryJitter time.Duration
}

// DefaultPolicy returns the default values; see docs/MEASUREMENTS.md. An engine prefills 55
// tokens per millisecond; twice that time allows for one prompt queued before it.
func DefaultPolicy() Policy {
	return Policy{
		PrefillPerToken: 36 * time.Microsecond,
		Overhead:        120 * time.Millisecond,
		LateWait:        3 * time.Second,
		FailureWait:     time.Second,
		RejectFactor:    1.5,
		MinRetryAfter:   3500 * time.Millisecond,
		MaxRetryAfter:   4600 * time.Millisecond,
		RetryJitter:     300 * time.Millisecond,
	}
}

// GiveUpAt returns when a request stops waiting: once it can no longer begin within its latency
// objective or, if it is a retry, after LateWait but at most half of the time left.
func (p Policy) GiveUpAt(arrived time.Time, objective, left time.Duration, prompt int, late bool) time.Time {
	if late {
		return arrived.Add(min(p.LateWait, left/2))
	}
	return arrived.Add(max(objective-p.Overhead-time.Duration(prompt)*p.PrefillPerToken, 0))
}

// GiveUpAfterFailure returns when a request whose run has failed stops waiting for another
// engine; giveUpAt is when it would have stopped before.
func (p Policy) GiveUpAfterFailure(giveUpAt, now, deadline time.Time) time.Time {
	if extended := now.Add(p.FailureWait); extended.After(giveUpAt) {
		giveUpAt = extended
	}
	if giveUpAt.After(deadline) {
		return deadline
	}
	return giveUpAt
}

// ShouldReject reports whether a request is rejected without waiting: at the rate at which
// memory is freed, in tokens per second, the requests ahead of it alone take far longer than
// it can wait. A rate of zero means that it is unknown.
func (p Policy) ShouldReject(ahead int, rate float64, wait time.Duration) bool {
	return rate > 0 && float64(ahead)/rate > p.RejectFactor*wait.Seconds()
}

// RetryAfterWait returns the delay until the retry of a request for which a server is available
// after wait, with a random u in [0, 1) that spreads the retries after the same wait.
func (p Policy) RetryAfterWait(wait, left time.Duration, u float64) time.Duration {
	return min(wait+time.Duration(u*float64(p.RetryJitter)), left/3)
}

// RetryAfterShortage returns the delay until the retry of a request of a customer that was rejected for lack of memory:
// not before the requests ahead of it are expected to be served. Retries of customers within their shares come in the
// first half of the time over which retries are spread, those of customers over their shares in the second.
func (p Policy) RetryAfterShortage(expected time.Duration, overShare bool, left time.Duration, u float64) time.Duration {
	half := float64(p.MaxRetryAfter-p.MinRetryAfter) / 2
	after := p.MinRetryAfter + time.Duration(u*half)
	if overShare {
		after += time.Duration(half)
	}
	return max(min(after, left/3), p.RetryAfterWait(expected, left, u))
}

// RetryAfter returns the delay until the retry of a rejected request, with a random u in [0, 1).
// A client honors up to a third of the time that it has left.
func (p Policy) RetryAfter(left time.Duration, u float64) time.Duration {
	after := p.MinRetryAfter + time.Duration(u*float64(p.MaxRetryAfter-p.MinRetryAfter))
	return min(after, left/3)
}
