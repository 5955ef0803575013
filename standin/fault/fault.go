// Package fault is the fault injection that the stand-ins share.
package fault

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
)

// Kind is the effect of a fault.
type Kind string

// Kinds of faults.
const (
	// Refuse answers 503 at once; the call has no effect.
	Refuse Kind = "refuse"
	// Delay waits before the call is handled.
	Delay Kind = "delay"
	// Hang never answers and the call has no effect; the connection stays open.
	Hang Kind = "hang"
	// LoseAnswer executes the call and closes the connection without an answer.
	LoseAnswer Kind = "lose_answer"
	// Silent executes the call and never answers, while the connection stays
	// open; a stream sends nothing more after AfterTokens tokens.
	Silent Kind = "silent"
	// Cut closes the connection of a stream after AfterTokens tokens.
	Cut Kind = "cut"
	// Die ends the process after AfterTokens tokens of a stream. On a unary call
	// it ends the process before the call is handled if AfterTokens is zero,
	// otherwise after the call is handled and before it is answered.
	Die Kind = "die"
	// Slow multiplies processing times by Factor.
	Slow Kind = "slow"
	// Link multiplies the rate of the inbound link by Factor; zero stalls it.
	Link Kind = "link"
)

var kinds = []Kind{Refuse, Delay, Hang, LoseAnswer, Silent, Cut, Die, Slow, Link}

// AnyOp matches every operation.
const AnyOp = "*"

// Rule describes one fault to inject.
type Rule struct {
	Kind Kind `json:"kind"`
	// Op is the operation that the fault applies to; empty or "*" matches all.
	Op string `json:"op,omitempty"`
	// Count is how many calls the fault hits before it is removed; zero means no limit.
	Count int `json:"count,omitempty"`
	// AfterTokens is the number of tokens that a stream sends before the fault.
	AfterTokens int `json:"after_tokens,omitempty"`
	// DelayMillis is the duration of a Delay.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// Factor is the multiplier of Slow and Link.
	Factor float64 `json:"factor,omitempty"`
}

func (r Rule) matches(op string) bool {
	return r.Op == "" || r.Op == AnyOp || r.Op == op
}

// Plan is the combined effect of the faults on one call. A negative token count
// means that the fault does not apply.
type Plan struct {
	Refuse      bool
	Delay       time.Duration
	Hang        bool
	LoseAnswer  bool
	Silent      bool
	CutAfter    int
	SilentAfter int
	DieAfter    int
}

// Set is the active faults of one process. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	rules   []Rule
	cleared chan struct{}
	log     *log.Logger
}

// NewSet returns an empty set that logs each change to l.
func NewSet(l *log.Logger) *Set {
	return &Set{cleared: make(chan struct{}), log: l}
}

// Add activates a fault.
func (s *Set) Add(r Rule) error {
	if !slices.Contains(kinds, r.Kind) {
		return fmt.Errorf("unknown fault kind %q", r.Kind)
	}
	if r.Factor < 0 || r.Count < 0 || r.AfterTokens < 0 || r.DelayMillis < 0 {
		return fmt.Errorf("fault %q with a negative number", r.Kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = append(s.rules, r)
	event.FaultSet.Log(s.log).Str("kind", string(r.Kind)).Str("op", r.Op).Int("count", r.Count).Msg("")
	return nil
}

// Clear removes all faults and releases the calls that they block.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = nil
	close(s.cleared)
	s.cleared = make(chan struct{})
	event.FaultSet.Log(s.log).Str("kind", "none").Msg("")
}

// Rules lists the active faults.
func (s *Set) Rules() []Rule {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Rule{}, s.rules...)
}

// Factor returns the product of the factors of a kind, or 1 if there are none.
func (s *Set) Factor(k Kind) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := 1.0
	for _, r := range s.rules {
		if r.Kind == k {
			f *= r.Factor
		}
	}
	return f
}

// Plan returns the effect of the faults on a call of op, and counts the call
// against their limits.
func (s *Set) Plan(op string) Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Plan{CutAfter: -1, SilentAfter: -1, DieAfter: -1}
	remaining := s.rules[:0:0]
	for _, r := range s.rules {
		if !r.matches(op) || r.Kind == Slow || r.Kind == Link {
			remaining = append(remaining, r)
			continue
		}
		p.apply(r)
		if r.Count != 1 {
			r.Count = max(r.Count-1, 0)
			remaining = append(remaining, r)
		}
	}
	s.rules = remaining
	return p
}

func (p *Plan) apply(r Rule) {
	switch r.Kind {
	case Refuse:
		p.Refuse = true
	case Delay:
		p.Delay += time.Duration(r.DelayMillis) * time.Millisecond
	case Hang:
		p.Hang = true
	case LoseAnswer:
		p.LoseAnswer = true
	case Silent:
		p.Silent = true
		p.SilentAfter = r.AfterTokens
	case Cut:
		p.CutAfter = r.AfterTokens
	case Die:
		p.DieAfter = r.AfterTokens
	}
}

func (s *Set) clearSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cleared
}
