package forward

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// Signals is what a server says of itself in an answer, beside the answer.
type Signals struct {
	// Limited is set if the server takes no more than Limit requests a second, of all routers together.
	Limited bool
	Limit   float64
	// Leaving is set if the server stops soon and takes nothing new.
	Leaving bool
	// Rest is for how long the server, which has turned a request away, wants nothing from this router.
	Rest time.Duration
	// Fault names the field of the answer that can't be understood; what was said before it holds on.
	Fault string
}

// Errors of requests that were not sent for what their server said.
var (
	// errLimited: it takes no more for now.
	errLimited = errors.New("the server takes no more requests for now")
	// errResting: it has asked for rest.
	errResting = errors.New("the server has asked for rest")
	// errLeaving: it stops.
	errLeaving = errors.New("the server has said that it stops")
)

// faults are servers whose last answer had a field that can't be understood. It is safe for concurrent use.
type faults struct {
	mu     sync.Mutex
	fields map[string]string
}

// begins notes the fault of a server's answer, or that it has none, and reports whether it is another than before.
func (f *faults) begins(id, field string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fields[id] == field {
		return false
	}
	if field == "" {
		delete(f.fields, id)
		return false
	}
	f.fields[id] = field
	return true
}

// forget drops servers that known does not name.
func (f *faults) forget(known func(id string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.fields, func(id, _ string) bool { return !known(id) })
}

// hearAnswer takes what a server says of itself in the answer to a request that was sent to it at a time. A limit that an
// answer of success does not name any more has ended; refusals and failures may come from what knows of none.
func (f *Forwarder) hearAnswer(s registry.Server, head AnswerHead, sent time.Time) {
	f.hear(s, head.Signals)
	names := head.Signals.Limited || head.Signals.Fault != ""
	if !names && head.Status < http.StatusMultipleChoices && f.limits.end(s.ID, sent) {
		f.logLimit(s, head.Signals)
	}
}

// hear takes what a server says of itself in any answer.
func (f *Forwarder) hear(s registry.Server, sig Signals) {
	if f.faults.begins(s.ID, sig.Fault) {
		event.SignalInvalid.Log(f.Log).Str("server", s.ID).Str("field", sig.Fault).Msg("")
	}
	if sig.Limited && f.limits.name(s.ID, sig.Limit) {
		f.logLimit(s, sig)
	}
	if sig.Rest > 0 {
		f.rests.asked(s.ID, sig.Rest)
		f.Metrics.Counter(metrics.RestsAsked).Inc(1)
		event.ServerRests.Log(f.Log).Str("server", s.ID).Str("service", s.Service).Dur("rest", sig.Rest).Msg("")
	}
	if sig.Leaving && f.View.Leaves(s) {
		f.tellPlaced()
		event.ServerLeaves.Log(f.Log).Str("server", s.ID).Str("service", s.Service).Msg("")
	}
}

// logLimit logs a limit that has changed.
func (f *Forwarder) logLimit(s registry.Server, sig Signals) {
	event.ServerLimited.Log(f.Log).Str("server", s.ID).Str("service", s.Service).Bool("limited", sig.Limited).Float64("per_second", sig.Limit).Msg("")
}

// ServerLimits are what servers say that they take of all routers together.
func (f *Forwarder) ServerLimits() *ServerLimits { return f.limits }

// closedFor is how long a server is to be sent nothing, by what it said, and why; zero if it may be sent a request now.
func (f *Forwarder) closedFor(id string) (time.Duration, outcome.Reason) {
	limited, resting := f.limits.wait(id), f.rests.left(id)
	if resting >= limited {
		return resting, outcome.ServerResting
	}
	return limited, outcome.ServerLimited
}

// closed reports whether a server is to be sent nothing now.
func (f *Forwarder) closed(id string) bool {
	wait, _ := f.closedFor(id)
	return wait > 0
}

// Resting reports whether a server wants nothing from this process for now.
func (f *Forwarder) Resting(id string) bool { return f.rests.left(id) > 0 }

// reserveSend takes one request from what a server says that it takes, to be sent there later, and reports whether it may be.
func (f *Forwarder) reserveSend(j *job, id string) bool {
	limited := f.limits.of(id).Limited
	if !f.limits.take(id) {
		return false
	}
	if limited {
		j.reserved = append(j.reserved, id)
	}
	return true
}

// admitSend tells why the request may not be sent to a server now, or nil. What a server takes was reserved before or is taken
// now.
func (f *Forwarder) admitSend(j *job, id string) error {
	if f.View.Leaving(id) {
		return f.heldBack(errLeaving)
	}
	if f.rests.left(id) > 0 {
		return f.heldBack(errResting)
	}
	if i := slices.Index(j.reserved, id); i >= 0 {
		j.reserved = slices.Delete(j.reserved, i, i+1)
		return nil
	}
	if !f.limits.take(id) {
		return f.heldBack(errLimited)
	}
	return nil
}

// heldBack is the error of a request that is not sent to its server.
func (f *Forwarder) heldBack(why error) error {
	f.Metrics.Counter(metrics.SendsHeldBack).Inc(1)
	return errors.Join(upstream.ErrNotSent, why)
}

// isHeldBack reports whether an attempt was not sent for what its server had said, which is no fault of the server.
func isHeldBack(err error) bool {
	return errors.Is(err, errLimited) || errors.Is(err, errResting) || errors.Is(err, errLeaving)
}

// giveBackSends returns what was reserved and not sent.
func (f *Forwarder) giveBackSends(j *job) {
	for _, id := range j.reserved {
		f.limits.giveBack(id)
	}
	j.reserved = nil
}
