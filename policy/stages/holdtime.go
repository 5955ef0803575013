package stages

import "time"

// HoldTime learns how long runs hold memory: while the prompt is read, and then for each token
// that is generated. Runs with short answers end first, so that a plain mean is far too
// low in the first seconds of load, just when the split is to be chosen; the time by token
// is right from the first runs on. The zero HoldTime knows nothing. It is not safe for
// concurrent use.
type HoldTime struct {
	// runs, reading, generating and tokens are sums over runs, older ones counting less;
	// times are in seconds.
	runs, reading, generating, tokens float64
}

// holdForget is by how much earlier runs count less with each new one; some thirty count.
const holdForget = 0.97

// Observe notes a run that held memory for reading and generating, and generated about
// that many tokens.
func (h *HoldTime) Observe(reading, generating time.Duration, tokens int) {
	h.runs = holdForget*h.runs + 1
	h.reading = holdForget*h.reading + reading.Seconds()
	h.generating = holdForget*h.generating + generating.Seconds()
	h.tokens = holdForget*h.tokens + float64(max(tokens, 1))
}

// Mean is the mean time of a run; zero while it is not known.
func (h *HoldTime) Mean() time.Duration {
	if h.runs == 0 {
		return 0
	}
	return time.Duration((h.reading + h.generating) / h.runs * float64(time.Second))
}

// Demand is the memory that requests would hold if none had to wait, in tokens: need is the
// rate of memory that they ask for, in tokens per second, and weighted the same with each
// request's memory multiplied by the tokens that it generates.
func (h *HoldTime) Demand(need, weighted float64) float64 {
	if h.runs == 0 {
		return 0
	}
	return need*h.reading/h.runs + weighted*h.generating/h.tokens
}
