// Package invariant records the events of a run of the whole system and finds every violation of the system's
// invariants. The recorder is safe for concurrent use; the checker is a pure function of the events.
package invariant

import (
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Kind is the type of an event.
type Kind uint8

const (
	// RequestSent: a caller sent Request through the entry Node. Key, Unrepeatable and Want give the
	// semantics and the answer that the caller may expect.
	RequestSent Kind = iota + 1
	// Token: the caller received Text as the output token at Position.
	Token
	// ResponseReceived: the caller received the end of the response to Request, with Outcome; Text is the
	// whole answer when the outcome is completed.
	ResponseReceived
	// ConnectionLost: the caller's connection ended without an answer.
	ConnectionLost
	// CallerGone: the caller closed its connection and needs no answer.
	CallerGone
	// WorkAccepted: the backend server Node accepted Request as new work.
	WorkAccepted
	// RunStarted: an engine or service Node started a run of Request.
	RunStarted
	// RunContinued: an engine Node continues a run of Request from a copy of it. It is the same run.
	RunContinued
	// MemoryHeld: the engine Node lists memory held for Request: a run, a reserved decode slot or an exported
	// KV cache.
	MemoryHeld
	// Leaving: the backend server Node was first asked to leave.
	Leaving
	// Draining: the process Node was asked to shut down gracefully.
	Draining
	// Fault: a fault that may break requests in progress was injected into Node.
	Fault
	// RevisionCommitted: a change of the record Key was committed as Revision.
	RevisionCommitted
	// RevisionUsed: the process Node made a decision that depends on Key under Revision.
	RevisionUsed
	// EventsReceived: the caller received events of the stream Request, in whichever of its tries, through the router Node
	// from an engine of the software version Version.
	EventsReceived
)

// Event is one event of a run. Fields that do not apply to its Kind are zero.
type Event struct {
	// At is the time since the start of the run.
	At   time.Duration
	Kind Kind
	// Request identifies one request of one caller; a repetition is another request with the same Key.
	Request string
	// Node is a process, engine or backend server; a restarted process counts as a new node.
	Node string
	// Key is the idempotency key of a request, or the record that Revision belongs to.
	Key string
	// Unrepeatable marks a request that may run at most once for its Key, or at most once itself if it has no
	// Key.
	Unrepeatable bool
	// Want is the expected answer; empty when it is unknown.
	Want     string
	Position int
	Text     string
	Outcome  outcome.Kind
	Revision uint64
	Version  string
}

// Recorder collects events. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecorder returns a recorder whose clock starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Add sets e.At to the time since the recorder's start and appends e.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	r.events = append(r.events, e)
}

// Events returns a copy of the recorded events, in the order of Add.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
