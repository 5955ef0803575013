// Package stages decides how many engines of a service prefill and how many decode.
//
// Load pattern: traffic shifts between long prompts and long answers, and bursts of about twice
// the mean fill the memory of the decode engines while prefill engines are half idle. An engine
// that changes its stage serves nothing for some seconds, so no change can follow a burst; the
// split has to be right beforehand. The planner compares the utilization of prefill and decode
// engines and moves a few engines at a time, with hysteresis: a dead band in which nothing is
// moved, and a minimum interval after each tick with a move.
//
// The caller of a Planner passes in the time. A Planner is not safe for concurrent use.
package stages

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// Config tunes a Planner.
type Config struct {
	// ToDecodeMaxRatio is the maximum ratio of prefill utilization to decode utilization after a
	// move to decode. Prefill engines need the lower utilization: a queued prompt delays the first
	// event, while decode engines can be used up to the last token of their memory.
	ToDecodeMaxRatio float64
	// ToDecodeMaxUtilization is the maximum utilization of the prefill engines after a move to
	// decode.
	ToDecodeMaxUtilization float64
	// ToPrefillMinRatio is the ratio of prefill utilization to decode utilization from which an
	// engine is moved back to prefill, if the prefill utilization is at least
	// ToPrefillMinUtilization.
	ToPrefillMinRatio, ToPrefillMinUtilization float64
	// MinUtilization is the utilization of the busier kind of engine below which nothing is moved.
	MinUtilization float64
	// MoveInterval is the minimum interval between two moves in the same direction, and
	// ReverseInterval that before a move in the other direction. SaturatedReverseInterval replaces
	// ReverseInterval when prefill engines reach SaturatedUtilization or requests wait for memory;
	// it is about as long as a move takes.
	MoveInterval, ReverseInterval, SaturatedReverseInterval time.Duration
	SaturatedUtilization                                    float64
	// EnginesPerConcurrentMove allows one engine to be changing its stage for each that many
	// engines, and at least one.
	EnginesPerConcurrentMove int
	// EnginesPerTickMove allows one move per tick for each that many engines, and at least one. A
	// cluster of a hundred engines thus moves the same share of them per second as one of two dozen.
	// When they were moved one by one, the sixteen engines that a burst needed had moved only when
	// the burst was over.
	EnginesPerTickMove int
}

// DefaultConfig returns the default settings; docs/MEASUREMENTS.md has the measurements behind
// them.
func DefaultConfig() Config {
	return Config{
		ToDecodeMaxRatio:         0.75,
		ToDecodeMaxUtilization:   0.75,
		ToPrefillMinRatio:        1.3,
		ToPrefillMinUtilization:  0.5,
		MinUtilization:           0.25,
		MoveInterval:             500 * time.Millisecond,
		ReverseInterval:          20 * time.Second,
		SaturatedReverseInterval: 5 * time.Second,
		SaturatedUtilization:     0.9,
		EnginesPerConcurrentMove: 6,
		EnginesPerTickMove:       24,
	}
}

// Load is the load on the engines of one service, averaged over some seconds.
type Load struct {
	// PromptRate is the number of prompt tokens that arrive per second, EnginePrefillRate the
	// number that one engine prefills per second.
	PromptRate, EnginePrefillRate float64
	// MemoryDemand is the memory, in tokens, that runs hold or would hold if none had to wait;
	// EngineMemory is the memory of one engine.
	MemoryDemand, EngineMemory float64
	// MemoryShort is set when requests recently waited for memory or were rejected.
	MemoryShort bool
}

// Move is a change of one engine's stage.
type Move struct {
	Server registry.Server
	To     registry.Stage
}

// Planner decides on the stage changes of one service and remembers the latest ones.
type Planner struct {
	cfg      Config
	lastMove time.Time
	lastTo   registry.Stage
	// movedInTick is the number of moves in the last tick with a move.
	movedInTick int
}

// New returns a planner.
func New(cfg Config) *Planner { return &Planner{cfg: cfg} }

// Next returns the next move, if one is needed. Switching holds the engines that are changing
// their stage, with their new stage. Calls with the same time belong to one tick.
func (p *Planner) Next(servers []registry.Server, switching map[string]registry.Stage, l Load, now time.Time) (Move, bool) {
	prefill, decode, changing := count(servers, switching)
	if prefill == 0 || decode == 0 || l.EnginePrefillRate <= 0 || l.EngineMemory <= 0 {
		return Move{}, false
	}
	if changing >= max(1, (prefill+decode)/p.cfg.EnginesPerConcurrentMove) {
		return Move{}, false
	}
	to, ok := p.stageNeeded(l, prefill, decode)
	saturated := to == registry.Prefill && l.PromptRate/l.EnginePrefillRate >= p.cfg.SaturatedUtilization*float64(prefill) ||
		to == registry.Decode && l.MemoryShort
	if !ok || !p.intervalOver(to, saturated, max(1, (prefill+decode)/p.cfg.EnginesPerTickMove), now) {
		return Move{}, false
	}
	s, ok := candidate(servers, switching, to)
	if !ok {
		return Move{}, false
	}
	return Move{Server: s, To: to}, true
}

// RecordMove records that a move was made.
func (p *Planner) RecordMove(m Move, now time.Time) {
	if !now.Equal(p.lastMove) {
		p.movedInTick = 0
	}
	p.lastMove, p.lastTo = now, m.To
	p.movedInTick++
}

// stageNeeded returns the stage that needs one more engine, if any.
func (p *Planner) stageNeeded(l Load, prefill, decode int) (registry.Stage, bool) {
	prefillDemand := l.PromptRate / l.EnginePrefillRate
	decodeDemand := l.MemoryDemand / l.EngineMemory
	if max(prefillDemand/float64(prefill), decodeDemand/float64(decode)) < p.cfg.MinUtilization {
		return 0, false
	}
	remaining := prefillDemand / float64(prefill-1)
	if prefill > 1 && remaining <= p.cfg.ToDecodeMaxUtilization && remaining <= p.cfg.ToDecodeMaxRatio*decodeDemand/float64(decode+1) {
		return registry.Decode, true
	}
	prefillUse := prefillDemand / float64(prefill)
	if decode > 1 && !l.MemoryShort && prefillUse >= p.cfg.ToPrefillMinUtilization && prefillUse >= p.cfg.ToPrefillMinRatio*decodeDemand/float64(decode) {
		return registry.Prefill, true
	}
	return 0, false
}

// intervalOver reports whether the interval since the last move has passed, or the last move was
// in the same direction in the current tick, which allows perTick moves.
func (p *Planner) intervalOver(to registry.Stage, saturated bool, perTick int, now time.Time) bool {
	if p.lastMove.IsZero() || now.Equal(p.lastMove) && to == p.lastTo && p.movedInTick < perTick {
		return true
	}
	interval := p.cfg.MoveInterval
	switch {
	case to == p.lastTo:
	case saturated:
		interval = p.cfg.SaturatedReverseInterval
	default:
		interval = p.cfg.ReverseInterval
	}
	return now.Sub(p.lastMove) >= interval
}

// count returns the number of engines by stage, counting those that are changing it by their new
// stage, and the number of engines changing it.
func count(servers []registry.Server, switching map[string]registry.Stage) (prefill, decode, changing int) {
	for _, s := range servers {
		stage := s.Stage
		if to, ok := switching[s.ID]; ok {
			stage = to
			changing++
		}
		switch stage {
		case registry.Prefill:
			prefill++
		case registry.Decode:
			decode++
		}
	}
	return prefill, decode, changing
}

// candidate returns an engine to move, from the zone with the most movable engines, so that the
// split stays even across zones.
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
