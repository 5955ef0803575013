// Package stages decides how many engines of a service read prompts and how many
// generate tokens.
//
// Load pattern: traffic shifts between long prompts and long answers, and bursts of
// about twice the mean fill the memory of the decode engines while prefill engines are
// half idle. An engine that changes its stage serves nothing for some seconds, so that
// no change can follow a burst; the split has to be right before. Both kinds of engine
// are compared by their share of use, and moved a few at a time, with a band in which
// nothing is moved and a pause after each look that moved some.
//
// A Planner takes the time from its caller and is not safe for concurrent use.
package stages

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// Config tunes a Planner.
type Config struct {
	// Slack is the share of use of the prefill engines, relative to that of the decode
	// engines, that a move must leave: a prompt that waits delays the first event,
	// while decode engines are well used up to the last token of their memory.
	Slack float64
	// Most is the share of use of the prefill engines that a move must leave at most.
	Most float64
	// Back is the ratio above which an engine is moved back, if the prefill engines are
	// used to the share Full at least.
	Back, Full float64
	// MinUse is the use of the busier kind below which nothing is moved.
	MinUse float64
	// Dwell is the pause between two moves in one direction, Turn that before a move in
	// the other direction. Pressed takes the place of Turn when prefill engines are used
	// to the share Over, or requests wait for memory: a move takes about as long.
	Dwell, Turn, Pressed time.Duration
	Over                 float64
	// PerMove is the number of engines for each of which one may be switching at once.
	PerMove int
	// PerLook is the number of engines for each of which one may be moved in one look, one at least. A fleet of
	// a hundred engines moves the same share of them in a second as one of two dozen: one by one, the sixteen
	// that a burst needed had moved when it was over.
	PerLook int
}

// DefaultConfig returns the values that were measured; see docs/MEASUREMENTS.md.
func DefaultConfig() Config {
	return Config{
		Slack: 0.75, Most: 0.75, Back: 1.3, Full: 0.5, MinUse: 0.25,
		Dwell: 500 * time.Millisecond, Turn: 20 * time.Second, Pressed: 5 * time.Second, Over: 0.9, PerMove: 6, PerLook: 24,
	}
}

// Load is the use of the engines of one service, averaged over some seconds.
type Load struct {
	// PromptRate is the prompt tokens that arrive in a second, EnginePrefillRate those that one
	// engine reads in a second.
	PromptRate, EnginePrefillRate float64
	// MemoryDemand is the memory, in tokens, that runs hold or would hold if none had to wait;
	// EngineMemory is the memory of one engine.
	MemoryDemand, EngineMemory float64
	// MemoryShort is set when requests waited for memory a moment ago, or were turned away.
	MemoryShort bool
}

// Move is one change of stage.
type Move struct {
	Server registry.Server
	To     registry.Stage
}

// Planner remembers its last moves.
type Planner struct {
	cfg  Config
	last time.Time
	to   registry.Stage
	// moved is the number of moves of the last look.
	moved int
}

// New returns a planner.
func New(cfg Config) *Planner { return &Planner{cfg: cfg} }

// Next returns the next move, if there is to be one. Switching holds the engines that
// change their stage at the moment, with the stage that they will have. Calls with one time are
// one look.
func (p *Planner) Next(servers []registry.Server, switching map[string]registry.Stage, l Load, now time.Time) (Move, bool) {
	prefill, decode, moving := count(servers, switching)
	if prefill == 0 || decode == 0 || l.EnginePrefillRate <= 0 || l.EngineMemory <= 0 {
		return Move{}, false
	}
	if moving >= max(1, (prefill+decode)/p.cfg.PerMove) {
		return Move{}, false
	}
	to, ok := p.wanted(l, prefill, decode)
	pressed := to == registry.Prefill && l.PromptRate/l.EnginePrefillRate >= p.cfg.Over*float64(prefill) ||
		to == registry.Decode && l.MemoryShort
	if !ok || !p.rested(to, pressed, max(1, (prefill+decode)/p.cfg.PerLook), now) {
		return Move{}, false
	}
	s, ok := candidate(servers, switching, to)
	if !ok {
		return Move{}, false
	}
	return Move{Server: s, To: to}, true
}

// RecordMove notes that a move was made.
func (p *Planner) RecordMove(m Move, now time.Time) {
	if !now.Equal(p.last) {
		p.moved = 0
	}
	p.last, p.to = now, m.To
	p.moved++
}

// wanted returns the stage that one more engine should have.
func (p *Planner) wanted(l Load, prefill, decode int) (registry.Stage, bool) {
	read := l.PromptRate / l.EnginePrefillRate
	held := l.MemoryDemand / l.EngineMemory
	if max(read/float64(prefill), held/float64(decode)) < p.cfg.MinUse {
		return 0, false
	}
	left := read / float64(prefill-1)
	if prefill > 1 && left <= p.cfg.Most && left <= p.cfg.Slack*held/float64(decode+1) {
		return registry.Decode, true
	}
	use := read / float64(prefill)
	if decode > 1 && !l.MemoryShort && use >= p.cfg.Full && use >= p.cfg.Back*held/float64(decode) {
		return registry.Prefill, true
	}
	return 0, false
}

// rested reports whether the pause after the last move is over, or that was in the same look, in which that
// many may be moved.
func (p *Planner) rested(to registry.Stage, pressed bool, perLook int, now time.Time) bool {
	if p.last.IsZero() || now.Equal(p.last) && to == p.to && p.moved < perLook {
		return true
	}
	pause := p.cfg.Dwell
	switch {
	case to == p.to:
	case pressed:
		pause = p.cfg.Pressed
	default:
		pause = p.cfg.Turn
	}
	return now.Sub(p.last) >= pause
}

// count returns the engines by the stage that they will have, and how many of them are
// switching.
func count(servers []registry.Server, switching map[string]registry.Stage) (prefill, decode, moving int) {
	for _, s := range servers {
		stage := s.Stage
		if to, ok := switching[s.ID]; ok {
			stage = to
			moving++
		}
		switch stage {
		case registry.Prefill:
			prefill++
		case registry.Decode:
			decode++
		}
	}
	return prefill, decode, moving
}

// candidate returns an engine to move: one of the zone that has most of those that have
// the other stage, so that zones stay alike.
func candidate(servers []registry.Server, switching map[string]registry.Stage, to registry.Stage) (registry.Server, bool) {
	zones := map[string]int{}
	movable := func(s registry.Server) bool {
		_, busy := switching[s.ID]
		return !busy && s.Stage != to && s.Stage != registry.Whole
	}
	for _, s := range servers {
		if movable(s) {
			zones[s.Zone]++
		}
	}
	var best registry.Server
	for _, s := range servers {
		if movable(s) && (best.ID == "" || zones[s.Zone] > zones[best.Zone]) {
			best = s
		}
	}
	return best, best.ID != ""
}
