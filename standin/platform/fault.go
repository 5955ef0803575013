package platform

import (
	"slices"
	"sync"
	"time"

	port "github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// Kind is the effect of a fault.
type Kind string

// Kinds of faults.
const (
	// Refuse answers 503 before any effect.
	Refuse Kind = "refuse"
	// Delay waits for Fault.Delay and then serves the call.
	Delay Kind = "delay"
	// Hang blocks the call without effect until the fault is cleared, then closes its connection.
	Hang Kind = "hang"
	// LoseAnswer lets the call take effect and closes the connection without an answer.
	LoseAnswer Kind = "lose_answer"
	// HangAfter lets the call take effect and then blocks it as Hang does.
	HangAfter Kind = "hang_after"
	// Silence never answers again on the call's connection, even after the fault is
	// cleared; other connections are not affected.
	Silence Kind = "silence"
)

// Side selects read or write calls.
type Side string

// Sides. The empty side selects all calls.
const (
	Reads  Side = "read"
	Writes Side = "write"
)

// Fault is a fault of one port or of all ports. The latest fault that selects a call applies to it.
type Fault struct {
	ID int `json:"id"`
	// Port is empty for all ports.
	Port memory.Port `json:"port,omitempty"`
	Side Side        `json:"side,omitempty"`
	Kind Kind        `json:"kind"`
	// Delay is in nanoseconds.
	Delay time.Duration `json:"delay,omitempty"`
	// Count is the number of calls to hit; zero means until cleared.
	Count int `json:"count,omitempty"`
}

func (f Fault) validate() error {
	switch {
	case !slices.Contains([]Kind{Refuse, Delay, Hang, LoseAnswer, HangAfter, Silence}, f.Kind):
		return port.Invalid("unknown kind of fault")
	case f.Port != "" && !slices.Contains(ports, f.Port):
		return port.Invalid("unknown port")
	case f.Side != "" && f.Side != Reads && f.Side != Writes:
		return port.Invalid("unknown side")
	case f.Count < 0 || f.Delay < 0:
		return port.Invalid("negative count or delay")
	}
	return nil
}

func (f Fault) selects(p memory.Port, write bool) bool {
	if f.Port != "" && f.Port != p {
		return false
	}
	return f.Side == "" || (f.Side == Writes) == write
}

// activeFault is a fault that is switched on.
type activeFault struct {
	Fault
	remaining int
	cleared   chan struct{}
}

// faultSet is the set of active faults. It is safe for concurrent use.
type faultSet struct {
	mu     sync.Mutex
	lastID int
	faults []*activeFault
	// exhausted are faults whose count is used up but which may still block calls.
	exhausted []*activeFault
}

func newFaultSet() *faultSet { return &faultSet{} }

func (b *faultSet) set(f Fault) Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	f.ID = b.lastID
	b.faults = append(b.faults, &activeFault{Fault: f, remaining: f.Count, cleared: make(chan struct{})})
	return f
}

// next returns the fault that applies to a call, nil if none does, and counts the hit.
func (b *faultSet) next(p memory.Port, write bool) *activeFault {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.faults) - 1; i >= 0; i-- {
		a := b.faults[i]
		if !a.selects(p, write) {
			continue
		}
		if a.Count > 0 {
			b.countHit(i)
		}
		return a
	}
	return nil
}

func (b *faultSet) countHit(i int) {
	a := b.faults[i]
	a.remaining--
	if a.remaining == 0 {
		b.faults = slices.Delete(b.faults, i, i+1)
		b.exhausted = append(b.exhausted, a)
	}
}

// clear removes the fault with an ID, or all faults if id is zero.
func (b *faultSet) clear(id int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = clearFrom(b.faults, id)
	b.exhausted = clearFrom(b.exhausted, id)
}

func clearFrom(faults []*activeFault, id int) []*activeFault {
	return slices.DeleteFunc(faults, func(a *activeFault) bool {
		if id != 0 && a.ID != id {
			return false
		}
		close(a.cleared)
		return true
	})
}

func (b *faultSet) list() []Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Fault, 0, len(b.faults))
	for _, a := range b.faults {
		f := a.Fault
		f.Count = a.remaining
		list = append(list, f)
	}
	return list
}

// SetFault activates a fault and returns it with its ID.
func (s *Server) SetFault(f Fault) (Fault, error) {
	if err := f.validate(); err != nil {
		return Fault{}, err
	}
	return s.faults.set(f), nil
}

// ClearFault removes the fault with an ID, or all faults if id is zero, and ends the
// calls that it blocks.
func (s *Server) ClearFault(id int) { s.faults.clear(id) }
