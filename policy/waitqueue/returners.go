package waitqueue

import "time"

// RetryDetector tells which clients have come back after a refusal, and so can't be answered
// within their objective any more. Clients say how long they will wait; those of one route
// start with about the same time, and one that was turned away for a third of it has that much
// less. A RetryDetector is not safe for concurrent use; the zero one has seen nobody.
type RetryDetector struct {
	longest time.Duration
}

const (
	// returnerShare is the share of the longest time below which a client has come back. Those
	// turned away have at most 0.71 of it left; first times differ by a sixth.
	returnerShare = 0.75
	// longestFades lets the longest time fade, by a tenth in a hundred requests.
	longestFades = 0.999
)

// Observe notes a client that waits for that long, and reports whether it has come back.
// Zero means that it did not say, and that nothing is known.
func (r *RetryDetector) Observe(patience time.Duration) bool {
	if patience <= 0 {
		return false
	}
	r.longest = max(time.Duration(longestFades*float64(r.longest)), patience)
	return float64(patience) < returnerShare*float64(r.longest)
}
