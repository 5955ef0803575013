package prefillpool

import "time"

// Weights of a prefill in the learned time per token. Prompts of other routers that are not known here only add time, so
// a shorter time counts more.
const (
	fasterWeight = 0.5
	slowerWeight = 0.1
)

// observeSpeed records how long an engine without other known prompts took for one.
func (e *engine) observeSpeed(tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	perToken := took.Seconds() / float64(tokens)
	weight := slowerWeight
	if perToken < e.perToken {
		weight = fasterWeight
	}
	if e.perToken == 0 {
		weight = 1
	}
	e.perToken += weight * (perToken - e.perToken)
}

// TimesPerToken returns the learned time per prompt token of the engines for which it is known, in seconds, by ID.
func (p *Pool) TimesPerToken() map[string]float64 {
	out := map[string]float64{}
	for id, e := range p.engines {
		if e.perToken > 0 {
			out[id] = e.perToken
		}
	}
	return out
}
