package stages

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
)

// HoldTime estimates how long runs hold KV cache memory: the prefill time plus a time per
// generated token. Runs with short answers terminate first, so the plain mean is far too low in
// the first seconds of load, just when the split must be chosen; the time per token is correct
// from the first runs on. The zero HoldTime is ready to use and has no estimate. It is not safe
// for concurrent use.
type HoldTime struct {
	// runs, prefill, decode and tokens are exponentially decayed sums over runs; times are in
	// seconds.
	runs, prefill, decode, tokens float64
}

// holdTimeDecay is the factor applied to the sums at each new run; about thirty runs count.
const holdTimeDecay = 0.97

// Observe records a run that held memory for the given prefill and decode times and generated
// about the given number of tokens.
func (h *HoldTime) Observe(prefill, decode time.Duration, tokens int) {
	h.runs = holdTimeDecay*h.runs + 1
	h.prefill = holdTimeDecay*h.prefill + prefill.Seconds()
	h.decode = holdTimeDecay*h.decode + decode.Seconds()
	h.tokens = holdTimeDecay*h.tokens + float64(max(tokens, 1))
}

// Mean is the mean hold time of a run, or zero before the first observation.
func (h *HoldTime) Mean() time.Duration {
	if h.runs == 0 {
		return 0
	}
	return bounded.Seconds((h.prefill + h.decode) / h.runs)
}

// Demand is the memory, in tokens, that requests would hold if none had to wait. memoryRate is the
// rate of memory requested, in tokens per second; weightedRate is the same rate with each
// request's memory multiplied by the number of tokens it generates.
func (h *HoldTime) Demand(memoryRate, weightedRate float64) float64 {
	if h.runs == 0 {
		return 0
	}
	return memoryRate*h.prefill/h.runs + weightedRate*h.decode/h.tokens
}
