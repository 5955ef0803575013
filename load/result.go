package load

import "time"

// Verdict classifies the result of a request as its caller sees it.
type Verdict string

// Verdicts.
const (
	// Good requests were completed within both objectives.
	Good Verdict = "good"
	// LateFirstToken requests were completed, but missed the TTFT objective.
	LateFirstToken Verdict = "late_first_token"
	// SlowTokens requests were completed, but missed the TBT objective.
	SlowTokens Verdict = "slow_tokens"
	// NotRun, Failed and Unknown are the outcomes reported to the caller.
	NotRun  Verdict = "not_run"
	Failed  Verdict = "failed"
	Unknown Verdict = "unknown"
	// Broken requests ended without an outcome reported to the caller.
	Broken Verdict = "broken"
	// Wrong requests received something other than their answer, or more than it. This is
	// never acceptable.
	Wrong Verdict = "wrong"
)

// Completed reports whether the whole answer arrived.
func (v Verdict) Completed() bool {
	return v == Good || v == LateFirstToken || v == SlowTokens
}

// Result is the result of one request. Durations are zero when they do not apply.
type Result struct {
	ID   string
	Flow int
	// At is when the request was due, relative to the start of the run; Late is how far
	// the generator was behind. All latencies are measured from At.
	At   time.Duration
	Late time.Duration

	Verdict Verdict
	// Reason is the reason code of a rejection or failure, or describes the error.
	Reason     string
	RetryAfter time.Duration

	TTFT  time.Duration
	Total time.Duration
	// Gap95 is the token gap that 95 % of the request's gaps do not exceed.
	Gap95 time.Duration
	// Gaps are the token gaps.
	Gaps   []time.Duration
	Tokens int
}

// checkTargets sets the verdict of a complete answer by the latency objectives of its
// class.
func (r *Result) checkTargets(c *Class) {
	switch {
	case c.Service != nil && r.Total > c.TTFT:
		r.Verdict = LateFirstToken
	case r.TTFT > c.TTFT:
		r.Verdict = LateFirstToken
	case r.Gap95 > c.TBT:
		r.Verdict = SlowTokens
	default:
		r.Verdict = Good
	}
}
