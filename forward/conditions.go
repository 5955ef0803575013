package forward

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// declaredConditions calls add with what a server says of itself in answers, except that it leaves: a server that does
// is not among those to choose from.
func (f *Forwarder) declaredConditions(id string, now time.Time, add func(eligibility.Condition)) {
	if c, ok := f.cooldowns.condition(id, now); ok {
		add(c)
	}
	if c, ok := f.limits.condition(id, now); ok {
		add(c)
	}
}

// declaredVerdict is the verdict on a server by what it says of itself.
func (f *Forwarder) declaredVerdict(id string, now time.Time) eligibility.Verdict {
	v := eligibility.NewVerdict()
	f.declaredConditions(id, now, func(c eligibility.Condition) { v.Add(c, now) })
	return v
}

// engineConditions calls add with the conditions of an engine, of either stage, except those that its placement tracks,
// for a request that may or may not be repeated. A trial request is sent to an excluded engine although failures there
// are known.
func (f *Forwarder) engineConditions(id string, repeatable bool, now time.Time, add func(eligibility.Condition)) {
	f.declaredConditions(id, now, add)
	c, ok, trial := f.exclusions.condition(id, repeatable, now)
	if ok {
		add(c)
	}
	if trial {
		return
	}
	if c, ok := f.suspicions.condition(id, now); ok {
		add(c)
	}
}

// engineVerdicts returns the verdicts on engines for a request that may or may not be repeated.
func (f *Forwarder) engineVerdicts(repeatable bool) eligibility.Verdicts {
	return func(id string, now time.Time) eligibility.Verdict {
		v := eligibility.NewVerdict()
		f.engineConditions(id, repeatable, now, func(c eligibility.Condition) { v.Add(c, now) })
		return v
	}
}

// copyVerdict is the verdict on an engine for a copy of a run; it implements eligibility.Verdicts. A copy is no trial
// request: an excluded engine gets none until the exclusion has ended.
func (f *Forwarder) copyVerdict(id string, now time.Time) eligibility.Verdict {
	v := f.engineVerdicts(false)(id, now)
	if c, ok := f.exclusions.trialDue(id, false, now); ok {
		v.Add(c, now)
	}
	return v
}

// retryLeft reports whether a stream may be sent to another engine after a failure.
func (j *job) retryLeft() bool { return j.route.Repeatable() && j.sends+1 < j.route.Attempts }

// callConditions calls add with the conditions of a server of a plain service, for a request that is or is not a
// client's retry. The caller holds mu.
func (f *Forwarder) callConditions(s *service, id string, retried bool, now time.Time, add func(eligibility.Condition)) {
	f.declaredConditions(id, now, add)
	if !f.Off.Has(mechanism.Overload) {
		if c, ok := s.limits.Condition(id, retried, now); ok {
			add(c)
		}
	}
	if !f.Off.Has(mechanism.Outliers) {
		s.outliers.Conditions(id, failingCost, now, add)
	}
}

// callVerdict is the verdict on a server of a plain service. The caller holds mu.
func (f *Forwarder) callVerdict(s *service, id string, retried bool, now time.Time) eligibility.Verdict {
	v := eligibility.NewVerdict()
	f.callConditions(s, id, retried, now, func(c eligibility.Condition) { v.Add(c, now) })
	return v
}

// Conditions returns what this process knows of a server besides its entry in the list.
func (f *Forwarder) Conditions(c registry.Server) []eligibility.Condition {
	var out []eligibility.Condition
	add := func(c eligibility.Condition) { out = append(out, c) }
	s, now := f.service(c.Service), time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Stage == registry.Whole {
		f.callConditions(s, c.ID, false, now, add)
		return out
	}
	f.engineConditions(c.ID, true, now, add)
	if excluded, ok := f.exclusions.trialDue(c.ID, true, now); ok {
		add(excluded)
	}
	if c.Stage == registry.Prefill {
		s.prefillPool.Conditions(c.ID, now, add)
	} else {
		s.engines.conditions(c.ID, now, add)
	}
	return out
}

// unavailableReason is the outcome of a request that a server may not be sent for a reason.
func unavailableReason(r eligibility.Reason) outcome.Reason {
	switch r {
	case eligibility.Cooldown:
		return outcome.ServerCooldown
	case eligibility.RateLimit:
		return outcome.ServerLimited
	case eligibility.Overload:
		return outcome.Overloaded
	case eligibility.Leaving:
		return outcome.Leaving
	default:
		return outcome.NoBackend
	}
}
