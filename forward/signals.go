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

// Signals is what a server reports about itself in the headers of an answer.
type Signals struct {
	// Limited is set if the server takes no more than Limit requests per second from all routers together.
	Limited bool
	Limit   float64
	// Leaving is set if the server shuts down soon and takes no new requests.
	Leaving bool
	// Cooldown is how long the server, having rejected a request, asks this router to send it nothing.
	Cooldown time.Duration
	// InvalidField names a field of the answer that can't be parsed; earlier signals remain in force.
	InvalidField string
}

// Errors of requests withheld because of their server's signals.
var (
	// errLimited: the server's rate limit is used up for now.
	errLimited = errors.New("the server's rate limit is used up for now")
	// errCooldown: the server is in a cooldown.
	errCooldown = errors.New("the server has asked for a cooldown")
	// errLeaving: the server is shutting down.
	errLeaving = errors.New("the server is shutting down")
)

// invalidFields are the servers whose last answer had a field that can't be parsed. It is safe for concurrent use.
type invalidFields struct {
	mu       sync.Mutex
	byServer map[string]string
}

// changed records the invalid field of a server's answer, empty if it has none, and reports whether there is a new
// one.
func (f *invalidFields) changed(id, field string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byServer[id] == field {
		return false
	}
	if field == "" {
		delete(f.byServer, id)
		return false
	}
	f.byServer[id] = field
	return true
}

// forget drops servers that known does not report.
func (f *invalidFields) forget(known func(id string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.byServer, func(id, _ string) bool { return !known(id) })
}

// receiveAnswer takes the signals in the answer to a request that was sent at the given time. A limit ends when a
// successful answer no longer declares it; refusals and failures may come from components that don't know the limit.
func (f *Forwarder) receiveAnswer(s registry.Server, head AnswerHead, sent time.Time) {
	f.receiveSignals(s, head.Signals)
	namesLimit := head.Signals.Limited || head.Signals.InvalidField != ""
	if !namesLimit && head.Status < http.StatusMultipleChoices && f.limits.clear(s.ID, sent) {
		f.logLimit(s, head.Signals)
	}
}

// receiveSignals takes a server's signals from any answer.
func (f *Forwarder) receiveSignals(s registry.Server, sig Signals) {
	if f.invalidFields.changed(s.ID, sig.InvalidField) {
		event.SignalInvalid.Log(f.Log).Str("server", s.ID).Str("field", sig.InvalidField).Msg("")
	}
	if sig.Limited && f.limits.set(s.ID, sig.Limit) {
		f.logLimit(s, sig)
	}
	if sig.Cooldown > 0 {
		f.cooldowns.requested(s.ID, sig.Cooldown)
		f.Metrics.Counter(metrics.CooldownsRequested).Inc(1)
		event.ServerCooldown.Log(f.Log).Str("server", s.ID).Str("service", s.Service).Dur("rest", sig.Cooldown).Msg("")
	}
	if sig.Leaving && f.View.MarkLeaving(s) {
		f.notifyPlacementChanged()
		event.ServerLeaveAnnounced.Log(f.Log).Str("server", s.ID).Str("service", s.Service).Msg("")
	}
}

// logLimit logs a limit that has changed.
func (f *Forwarder) logLimit(s registry.Server, sig Signals) {
	event.ServerLimited.Log(f.Log).Str("server", s.ID).Str("service", s.Service).Bool("limited", sig.Limited).Float64("per_second", sig.Limit).Msg("")
}

// ServerLimits returns the request rates that servers declare for all routers together.
func (f *Forwarder) ServerLimits() *ServerLimits { return f.limits }

// unavailableFor is how long a server is to be sent nothing because of its signals, and why; zero if it may be sent a
// request now.
func (f *Forwarder) unavailableFor(id string) (time.Duration, outcome.Reason) {
	limited, cooldown := f.limits.wait(id), f.cooldowns.remaining(id)
	if cooldown >= limited {
		return cooldown, outcome.ServerCooldown
	}
	return limited, outcome.ServerLimited
}

// unavailable reports whether a server has signalled that it takes nothing now.
func (f *Forwarder) unavailable(id string) bool {
	wait, _ := f.unavailableFor(id)
	return wait > 0
}

// CoolingDown reports whether a server is in a cooldown towards this process.
func (f *Forwarder) CoolingDown(id string) bool { return f.cooldowns.remaining(id) > 0 }

// reserveSend counts one request against a server's declared limit, to be sent there later, and reports whether it may
// be sent.
func (f *Forwarder) reserveSend(j *job, id string) bool {
	limited := f.limits.limitOf(id).Limited
	if !f.limits.take(id) {
		return false
	}
	if limited {
		j.reserved = append(j.reserved, id)
	}
	return true
}

// admitSend returns why the request may not be sent to a server now, or nil. It uses an earlier reserveSend, or counts
// the request against the server's limit now.
func (f *Forwarder) admitSend(j *job, id string) error {
	if f.View.Leaving(id) {
		return f.withheld(errLeaving)
	}
	if f.cooldowns.remaining(id) > 0 {
		return f.withheld(errCooldown)
	}
	if i := slices.Index(j.reserved, id); i >= 0 {
		j.reserved = slices.Delete(j.reserved, i, i+1)
		return nil
	}
	if !f.limits.take(id) {
		return f.withheld(errLimited)
	}
	return nil
}

// withheld is the error of a request that is not sent because of its server's signals.
func (f *Forwarder) withheld(why error) error {
	f.Metrics.Counter(metrics.SendsWithheld).Inc(1)
	return errors.Join(upstream.ErrNotSent, why)
}

// isWithheld reports whether an attempt was not sent because of its server's signals, which is no failure of the
// server.
func isWithheld(err error) bool {
	return errors.Is(err, errLimited) || errors.Is(err, errCooldown) || errors.Is(err, errLeaving)
}

// returnSends returns sends that were reserved and not used.
func (f *Forwarder) returnSends(j *job) {
	for _, id := range j.reserved {
		f.limits.putBack(id)
	}
	j.reserved = nil
}
