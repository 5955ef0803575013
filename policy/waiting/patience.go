package waiting

import "time"

// Terms are how long requests wait and when those that are turned away come back.
type Terms struct {
	// ReadPerToken and Overhead estimate the time from a reserved place to the first
	// event: the prompt is read, its KV cache moved, and the first step made.
	ReadPerToken, Overhead time.Duration
	// LateWait is how long a request that came back waits.
	LateWait time.Duration
	// BackMin and BackMax bound when a request that is turned away comes back. Bursts
	// last some four seconds; returners are spread so that they are no second burst.
	BackMin, BackMax time.Duration
}

// DefaultTerms returns the values that were measured; see docs/MEASUREMENTS.md. An engine
// reads 55 tokens a millisecond; twice that time allows for one prompt before it.
func DefaultTerms() Terms {
	return Terms{
		ReadPerToken: 36 * time.Microsecond,
		Overhead:     120 * time.Millisecond,
		LateWait:     3 * time.Second,
		BackMin:      3500 * time.Millisecond,
		BackMax:      4600 * time.Millisecond,
	}
}

// Until is when a request gives up waiting: while it can still begin within the
// objective, or, when it has come back after a refusal, while enough time is left.
func (t Terms) Until(arrived time.Time, objective, left time.Duration, prompt int, late bool) time.Time {
	if late {
		return arrived.Add(min(t.LateWait, left/2))
	}
	return arrived.Add(max(objective-t.Overhead-time.Duration(prompt)*t.ReadPerToken, 0))
}

// ComeBack is when a request that is turned away should come back, with u in [0, 1).
// A caller honours up to a third of the time that it has left.
func (t Terms) ComeBack(left time.Duration, u float64) time.Duration {
	after := t.BackMin + time.Duration(u*float64(t.BackMax-t.BackMin))
	return min(after, left/3)
}
