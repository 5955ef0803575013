package platform

import (
	"slices"
	"sync"
	"time"

	port "github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// Kind names a fault.
type Kind string

// Kinds of faults.
const (
	// Refuse answers 503 before any effect.
	Refuse Kind = "refuse"
	// Delay holds the call for Fault.Delay and then serves it.
	Delay Kind = "delay"
	// Hang holds the call without effect until the fault is cleared, then closes its connection.
	Hang Kind = "hang"
	// LoseAnswer lets the call take effect and closes the connection without an answer.
	LoseAnswer Kind = "lose_answer"
	// HangAfter lets the call take effect and then holds it as Hang does.
	HangAfter Kind = "hang_after"
	// Silence never answers again on the connection of the call, also after the
	// fault is cleared; other connections work.
	Silence Kind = "silence"
)

// Side selects calls by what they do.
type Side string

// Sides. The empty side selects all calls.
const (
	Reads  Side = "read"
	Writes Side = "write"
)

// Fault is a fault of one port. The latest fault that selects a call applies to it.
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

// active is a fault in force.
type active struct {
	Fault
	left    int
	cleared chan struct{}
}

// switchboard keeps the faults in force. It is safe for concurrent use.
type switchboard struct {
	mu     sync.Mutex
	lastID int
	faults []*active
	// spent are faults whose count is used up but which may still hold calls.
	spent []*active
}

func newSwitchboard() *switchboard { return &switchboard{} }

func (b *switchboard) set(f Fault) Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	f.ID = b.lastID
	b.faults = append(b.faults, &active{Fault: f, left: f.Count, cleared: make(chan struct{})})
	return f
}

// next returns the fault that hits a call, nil if none does, and counts the hit.
func (b *switchboard) next(p memory.Port, write bool) *active {
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

func (b *switchboard) countHit(i int) {
	a := b.faults[i]
	a.left--
	if a.left == 0 {
		b.faults = slices.Delete(b.faults, i, i+1)
		b.spent = append(b.spent, a)
	}
}

// clear ends the fault with an ID, or all when id is zero.
func (b *switchboard) clear(id int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = clearFrom(b.faults, id)
	b.spent = clearFrom(b.spent, id)
}

func clearFrom(faults []*active, id int) []*active {
	return slices.DeleteFunc(faults, func(a *active) bool {
		if id != 0 && a.ID != id {
			return false
		}
		close(a.cleared)
		return true
	})
}

func (b *switchboard) list() []Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Fault, 0, len(b.faults))
	for _, a := range b.faults {
		f := a.Fault
		f.Count = a.left
		list = append(list, f)
	}
	return list
}

// SetFault puts a fault in force and returns it with its ID.
func (s *Server) SetFault(f Fault) (Fault, error) {
	if err := f.validate(); err != nil {
		return Fault{}, err
	}
	return s.faults.set(f), nil
}

// ClearFault ends the fault with an ID, or all faults when id is zero. Calls
// held by it end.
func (s *Server) ClearFault(id int) { s.faults.clear(id) }
