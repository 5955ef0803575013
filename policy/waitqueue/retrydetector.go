package waitqueue

import "time"

// RetryDetector recognizes the retries of rejected requests, which can't be answered within their
// latency objective any more, by the timeouts that clients state. The clients of one route start
// with about the same timeout, and one that was asked to retry after a third of it has that much
// less left. A RetryDetector is not safe for concurrent use; the zero value has observed no client.
type RetryDetector struct {
	longest time.Duration
}

const (
	// maxRetryFraction is the fraction of the longest timeout below which a request is a retry.
	// Retries have at most 0.71 of it left; the timeouts of first requests differ by a sixth.
	maxRetryFraction = 0.75
	// longestDecay lets the longest timeout decay, by a tenth in a hundred requests.
	longestDecay = 0.999
)

// Observe records the timeout that a client states, and reports whether its request is a retry.
// Zero means that it stated none; its request does not count as a retry.
func (d *RetryDetector) Observe(timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	d.longest = max(time.Duration(longestDecay*float64(d.longest)), timeout)
	return float64(timeout) < maxRetryFraction*float64(d.longest)
}
