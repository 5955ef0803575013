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
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
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

// withheldError is the error of a request that was not sent because of what its server had signalled, which is no
// failure of the server.
type withheldError struct{ reason eligibility.Reason }

// Error implements error.
func (e *withheldError) Error() string { return "not sent to the server: " + e.reason.String() }

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

// unavailable reports whether a server has signalled that it takes nothing now.
func (f *Forwarder) unavailable(id string) bool { return f.declaredVerdict(id, time.Now()).Excluded }

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
// the request against the server's limit now. A run that returns to the server that stopped it may be sent there though
// the server is leaving.
func (f *Forwarder) admitSend(j *job, id string, returns bool) error {
	now, v := time.Now(), eligibility.NewVerdict()
	if err := f.admitDeparted(id, returns); err != nil {
		return err
	}
	if c, ok := f.cooldowns.condition(id, now); ok {
		v.Add(c, now)
	}
	// The engine may have been excluded since the request was placed there.
	if c, ok, _ := f.exclusions.condition(id, j.retryLeft(), now); ok && !slices.Contains(j.trials, id) {
		v.Add(c, now)
	}
	if v.Excluded {
		return f.withheld(v.Reason)
	}
	if i := slices.Index(j.reserved, id); i >= 0 {
		j.reserved = slices.Delete(j.reserved, i, i+1)
		return nil
	}
	if !f.limits.take(id) {
		return f.withheld(eligibility.RateLimit)
	}
	return nil
}

// admitDeparted returns why nothing may be sent to a server that has announced that it shuts down, or that is no longer
// listed, since some leave without a notice; nil for others and for runs that return there.
func (f *Forwarder) admitDeparted(id string, returns bool) error {
	if returns || f.View.Listed(id) && !f.View.Leaving(id) {
		return nil
	}
	return f.withheld(eligibility.Leaving)
}

// withheld is the error of a request that is not sent because of its server's signals.
func (f *Forwarder) withheld(why eligibility.Reason) error {
	f.Metrics.Counter(metrics.SendsWithheld).Inc(1)
	f.Metrics.Withheld(why)
	return errors.Join(upstream.ErrNotSent, &withheldError{why})
}

// withheldReason returns why a request was not sent because of its server's signals; None if that is not its error.
func withheldReason(err error) eligibility.Reason {
	var w *withheldError
	if errors.As(err, &w) {
		return w.reason
	}
	return eligibility.None
}

// returnSends returns sends that were reserved and not used.
func (f *Forwarder) returnSends(j *job) {
	for _, id := range j.reserved {
		f.limits.putBack(id)
	}
	j.reserved = nil
}
