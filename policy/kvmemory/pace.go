package kvmemory

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/policy/enginepace"
)

// PaceConfig weighs the engines' speed in a choice, in shares of an engine's memory. It has an
// effect only where engines of a service differ in speed, or one is several times slower than usual.
type PaceConfig struct {
	// Enabled is false if all engines count as equally fast.
	Enabled bool
	// MaxMiss is the probability of reaching the deadline above which an engine is asked only if no
	// other could end the run in time; zero if deadlines don't count. LastMiss replaces it shortly
	// before a request is given up.
	MaxMiss, LastMiss float64
	// Margin is the share by which a run is assumed to take longer at an engine than others did: the
	// load of the engine may grow while it runs.
	Margin float64
	// Miss is the penalty for a run that is sure to reach its deadline, Fast the preference for an
	// engine of half the time per token.
	Miss, Fast float64
}

// DefaultPace returns the default weights; see docs/design/engine-speed.md for the comparison.
func DefaultPace() PaceConfig {
	return PaceConfig{Enabled: true, MaxMiss: 0.2, LastMiss: 0.35, Margin: 0.15, Miss: 1, Fast: 0.3}
}

const (
	// lastResortPenalty lies above the sum of all other terms of a score.
	lastResortPenalty = 10
	// fleetTTL is how long a summary of the engines' pace is reused.
	fleetTTL = 500 * time.Millisecond
	// bucketsPerOctave is the number of classes of pace in which the time per token doubles. The
	// memory forecast of a run is computed once per class and choice, as it takes ten times as long
	// as to compare it with an engine's memory.
	bucketsPerOctave = 6
	// fastestPace is the time per token of the fastest class, in seconds, and paceOctaves the range
	// of the classes.
	fastestPace = 0.0005
	paceOctaves = 10
	// numPaces is the number of classes; class 0 is that of engines that count as equally fast.
	numPaces = bucketsPerOctave*paceOctaves + 1
)

// fleetPace is what is known of the speed of all engines of a service.
type fleetPace struct {
	summary   enginepace.Fleet
	unequal   bool
	updatedAt time.Time
	scratch   []float64
	// options are valid if their choice is the current one.
	options [numPaces]option
	choice  uint64
	changes []PaceChange
}

// option is what a run would be at an engine of one class of pace.
type option struct {
	choice   uint64
	class    uint8
	forecast Forecast
	// need is the peak of the forecast, bias the term of the score for the engine's speed, miss the
	// probability of reaching the deadline.
	need, bias, miss float64
}

// PaceChange reports that an engine became several times slower than usual, or recovered.
type PaceChange struct {
	ID   string
	Slow bool
	// Usual and Current are times per token.
	Usual, Current time.Duration
}

// TakePaceChanges returns the changes since the last call.
func (p *Pool) TakePaceChanges() []PaceChange {
	out := p.pace.changes
	p.pace.changes = nil
	return out
}

// Pace returns the time per token that is expected at an engine; zero if unknown. Slow reports
// whether the engine is several times slower than usual.
func (p *Pool) Pace(id string) (perToken time.Duration, slow bool) {
	s, ok := p.servers[id]
	if !ok {
		return 0, false
	}
	return bounded.Seconds(s.pace.PerToken()), s.slow
}

// FleetPace returns the summary of the usual pace of the engines that get work, and the number of
// those that are several times slower.
func (p *Pool) FleetPace(now time.Time) (fleet enginepace.Fleet, slow int) {
	p.updateFleet(now)
	for _, s := range p.sorted {
		if s.listed && s.slow {
			slow++
		}
	}
	return p.pace.summary, slow
}

// observe records the progress of one of the router's runs on its engine. A slow period counts only
// if the next one is slow too: a run that is preempted pauses once, a slow engine remains slow.
func (s *server) observe(r *Run, now time.Time) {
	if r.engine != s.ID {
		return
	}
	tokens := r.generated.Load()
	if tokens < r.paced {
		r.resetPace()
	}
	if tokens <= r.paced {
		return
	}
	elapsed, generated := now.Sub(r.pacedAt), int(tokens-r.paced)
	if !r.pacedAt.IsZero() && elapsed < minSampleInterval {
		return
	}
	started := !r.pacedAt.IsZero()
	r.paced, r.pacedAt = tokens, now
	if !started {
		return
	}
	slow := s.pace.Slows(generated, elapsed)
	if slow && r.slowTokens == 0 {
		r.slowTokens, r.slowTime = generated, elapsed
		return
	}
	if slow {
		generated, elapsed = generated+r.slowTokens, elapsed+r.slowTime
	}
	r.slowTokens, r.slowTime = 0, 0
	s.observed.Observe(generated, elapsed, now)
}

// resetPace starts the observation of the pace anew, at another engine or after a preemption.
func (r *Run) resetPace() {
	r.paced, r.pacedAt, r.slowTokens, r.slowTime = r.generated.Load(), time.Time{}, 0, 0
}

// updatePace updates the estimate of an engine's pace from the observations of all routers.
func (p *Pool) updatePace(s *server, now time.Time) {
	own := s.observed.Evidence(now)
	if len(s.runs) > 0 {
		s.ownLoad.Pace = own
	}
	own.Add(s.peerLoad.Pace, 1)
	if s.pace.Update(own, now) && p.cfg.Pace.Enabled {
		p.pace.changes = append(p.pace.changes, PaceChange{
			ID: s.ID, Slow: s.pace.Slow(), Usual: bounded.Seconds(s.pace.Usual()), Current: bounded.Seconds(own.PerToken()),
		})
	}
	s.slow = p.cfg.Pace.Enabled && s.pace.Slow()
	s.paceClass = classOf(p.perToken(s))
}

// peerPaceInterval is the interval at which the pace of an engine is updated by reports of peers
// alone. Where this router places runs, it is updated with each forecast.
const peerPaceInterval = time.Second

// updatePeerPace updates the pace of an engine for which this router makes no forecasts.
func (p *Pool) updatePeerPace(s *server, now time.Time) {
	if s.peerLoad.Pace.Tokens > 0 && now.Sub(s.pace.UpdatedAt()) >= peerPaceInterval {
		p.updatePace(s, now)
	}
}

// updateFleet recomputes the summary of all engines once it has expired.
func (p *Pool) updateFleet(now time.Time) {
	f := &p.pace
	if !p.cfg.Pace.Enabled || !f.updatedAt.IsZero() && now.Sub(f.updatedAt) < fleetTTL {
		return
	}
	f.updatedAt = now
	f.scratch = f.scratch[:0]
	for _, s := range p.sorted {
		if s.listed {
			f.scratch = append(f.scratch, s.pace.Usual())
		}
	}
	f.summary = enginepace.Summarize(f.scratch)
	f.unequal = f.summary.Unequal()
}

// perToken is the time per token at an engine in seconds; zero if the engine counts as fast as the
// others. While it is unknown, the median of the others applies.
func (p *Pool) perToken(s *server) float64 {
	switch {
	case !p.cfg.Pace.Enabled:
		return 0
	case s.pace.Slow():
		return s.pace.PerToken()
	case !p.pace.unequal:
		return 0
	case s.pace.Known():
		return s.pace.PerToken()
	default:
		return p.pace.summary.Median
	}
}

// rateAt is the rate at which a run generates at an engine, in tokens per second.
func (p *Pool) rateAt(s *server) float64 {
	if perToken := p.perToken(s); perToken > 0 {
		return 1 / perToken
	}
	return p.rate.tokensPerSecond()
}

// classOf returns the class of a time per token in seconds.
func classOf(perToken float64) uint8 {
	if perToken <= 0 {
		return 0
	}
	class := int(math.Round(bucketsPerOctave*math.Log2(perToken/fastestPace))) + 1
	return uint8(min(max(class, 1), numPaces-1))
}

// paceOf is the time per token of a class in seconds.
func paceOf(class uint8) float64 {
	return fastestPace * math.Exp2(float64(class-1)/bucketsPerOctave)
}

// optionAt returns what the run of the current choice would be at engines of a class.
func (p *Pool) optionAt(class uint8, r *Request, now time.Time) *option {
	o := &p.pace.options[class]
	if o.choice == p.pace.choice {
		return o
	}
	*o = option{choice: p.pace.choice, class: class}
	rate := p.rate.tokensPerSecond()
	if class > 0 {
		rate = 1 / paceOf(class)
		o.miss = p.missAt(class, r, now)
		o.bias = p.bias(class) - p.cfg.Pace.Miss*o.miss
	}
	r.Run.addTo(&o.forecast, rate)
	o.need = o.forecast.Peak(p.cfg.Margin)
	return o
}

// missAt is the probability that a run reaches its deadline at engines of a class.
func (p *Pool) missAt(class uint8, r *Request, now time.Time) float64 {
	if r.Deadline.IsZero() || p.cfg.Pace.MaxMiss <= 0 {
		return 0
	}
	perToken := paceOf(class) * (1 + p.cfg.Pace.Margin)
	return 1 - r.Run.endsWithin(r.Deadline.Sub(now)-r.Delay, 1/perToken)
}

// bias is the term of the score for the speed of engines of a class.
func (p *Pool) bias(class uint8) float64 {
	if !p.pace.unequal {
		return 0
	}
	return -p.cfg.Pace.Fast * math.Log2(paceOf(class)/p.pace.summary.Median)
}

// lastChance is the time before a request is given up in which LastMiss applies: some three checks
// of a queue.
const lastChance = 50 * time.Millisecond

// maxMiss is the probability of reaching the deadline above which an engine is a last resort.
func (p *Pool) maxMiss(r *Request, now time.Time) float64 {
	if !r.GiveUpAt.IsZero() && r.GiveUpAt.Sub(now) < lastChance {
		return p.cfg.Pace.LastMiss
	}
	return p.cfg.Pace.MaxMiss
}

// waitsForSpeed reports whether a run waits although the best engine has enough free memory.
func (p *Pool) waitsForSpeed(best *server, r *Request, now time.Time) bool {
	miss := p.optionAt(best.paceClass, r, now).miss
	return miss > p.maxMiss(r, now) && p.saferExists(r, miss, now)
}

// saferExists reports whether a run that may reach its deadline at the best engine with free memory
// would do so half as often, or less, at one that has none at the moment. Engines that fail or are
// excluded don't count, so that a run doesn't wait for them in vain.
func (p *Pool) saferExists(r *Request, miss float64, now time.Time) bool {
	for _, s := range p.sorted {
		failing := s.refusedNeed == 0 && now.Before(s.blockedUntil)
		if !s.listed || s.slow || failing || slices.Contains(r.Exclude, s.ID) {
			continue
		}
		if p.optionAt(s.paceClass, r, now).miss <= miss/2 && !r.Verdicts.Of(s.ID, now).Excluded {
			return true
		}
	}
	return false
}

// expectedTokens is the number of tokens that the run is expected to generate in all.
func (r *Run) expectedTokens() float64 {
	if r.Length == nil {
		return float64(max(r.Need-r.Prompt, 0))
	}
	return float64(r.Length.Median())
}

// endsWithin is the probability that the run ends by itself within a time at a given rate.
func (r *Run) endsWithin(left time.Duration, tokensPerSecond float64) float64 {
	done := float64(r.generated.Load())
	tokens := done + tokensPerSecond*max(left, 0).Seconds()
	if r.Length != nil {
		r.Length.Progress(int(done))
		return 1 - r.Length.Survival(tokens)
	}
	if tokens >= r.expectedTokens() {
		return 1
	}
	return 0
}

// EndsInTime is the probability that a run that generates at an engine from now on ends before its
// deadline; for an engine that is not known, that at a usual one.
func (p *Pool) EndsInTime(id string, r *Run, deadline, now time.Time) float64 {
	rate := p.rate.tokensPerSecond()
	if s, ok := p.servers[id]; ok {
		p.updateFleet(now)
		p.refresh(s, now)
		rate = p.rateAt(s)
	}
	return r.endsWithin(deadline.Sub(now), rate)
}

// Alternative compares the engine of a run with the best other one.
type Alternative struct {
	// ID is the other engine; empty if none has enough free memory.
	ID string
	// Here and There are the probabilities that the run ends before its deadline.
	Here, There float64
}

// PickFor returns the best engine other than id for a run that is at id now and would continue at
// the other after r.Delay. Unlike Pick it does not wait for a faster engine to have free memory. The
// probabilities assume that engines keep their pace; callers allow for a growing load with a margin
// of their own. It changes nothing in the run or the pool that a later choice depends on.
func (p *Pool) PickFor(id string, r Request, now time.Time) Alternative {
	out := Alternative{Here: p.EndsInTime(id, r.Run, r.Deadline, now)}
	r.Exclude = append(r.Exclude[:len(r.Exclude):len(r.Exclude)], id)
	if s, _ := p.pick(&r, now); s != nil {
		out.ID = s.ID
		out.There = r.Run.endsWithin(r.Deadline.Sub(now)-r.Delay, p.rateAt(s))
	}
	return out
}
