// Package invariant records what happened in a run of the whole system and finds
// every breach of what must always hold. The recorder is safe for concurrent
// use; the checker is a pure function of the events.
package invariant

import (
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Kind is what happened.
type Kind uint8

const (
	// RequestSent: a caller sent Request through the entry Node. Key, Unrepeatable and
	// Want say what it may expect.
	RequestSent Kind = iota + 1
	// Token: the caller received Text as the output token at Position.
	Token
	// ResponseReceived: the caller received the end of Request with Outcome; Text is the
	// whole answer when the outcome is completed.
	ResponseReceived
	// ConnectionLost: the caller's connection ended without an answer.
	ConnectionLost
	// CallerGone: the caller closed its connection and wants nothing more.
	CallerGone
	// WorkAccepted: the backend server Node took Request as new work.
	WorkAccepted
	// RunStarted: an engine or service Node began a run of Request.
	RunStarted
	// MemoryHeld: the engine Node holds memory for Request: a run, a reserved place or
	// an exported KV cache.
	MemoryHeld
	// Leaving: the backend server Node was first told to leave.
	Leaving
	// Draining: the process Node was told to shut down gracefully.
	Draining
	// Fault: something was done to Node that may break requests in progress.
	Fault
	// RevisionCommitted: a change of Key was committed as Revision.
	RevisionCommitted
	// RevisionUsed: the process Node decided about Key under Revision.
	RevisionUsed
)

// Event is one thing that happened. Fields that do not apply are left zero.
type Event struct {
	// At is the time since the start of the run.
	At   time.Duration
	Kind Kind
	// Request identifies what one caller sent once; a re-send is another request
	// with the same Key.
	Request string
	// Node is a process, engine or backend server; a restarted process is another node.
	Node string
	// Key is the idempotency key of a request, or the record that a revision is of.
	Key string
	// Unrepeatable marks a request that may run at most once for its Key, or by
	// itself when it has no Key.
	Unrepeatable bool
	// Want is the true answer; empty when it is not known.
	Want     string
	Position int
	Text     string
	Outcome  outcome.Kind
	Revision uint64
}

// Recorder collects events. It is safe for concurrent use.
type Recorder struct {
	begun time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecorder returns a recorder whose clock starts now.
func NewRecorder() *Recorder { return &Recorder{begun: time.Now()} }

// Add stamps e with the time since the recorder's start and keeps it.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.begun)
	r.events = append(r.events, e)
}

// Events returns a copy of what was recorded, in order.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
