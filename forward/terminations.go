package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// terminationSign is how the termination of a server was detected.
type terminationSign string

const (
	signConnectionRefused terminationSign = "refused"
	signRestarted         terminationSign = "restarted"
	signReplaced          terminationSign = "replaced"
	signUnlisted          terminationSign = "gone"
)

// maxLoggedDigests bounds the digests in one log line.
const maxLoggedDigests = 50

// A server may terminate without closing its connections. When an attempt ends, its request counts as in progress at
// such a termination only if nothing had come from the server for a while: for maxQuietPeriod, several times the
// longest usual interval between events of a stream, or for quietObjectives times the objective of the route if that
// is less.
const (
	maxQuietPeriod  = time.Second
	quietObjectives = 4
)

// quietPeriod is how long nothing must have come from the server for a request of the route.
func quietPeriod(r *route.Route) time.Duration {
	if r.Objective <= 0 {
		return maxQuietPeriod
	}
	return min(maxQuietPeriod, quietObjectives*r.Objective)
}

// attemptLost records an attempt that was sent to s and did not complete there.
func (f *Forwarder) attemptLost(j *job, s registry.Server, reason outcome.Reason, err error) {
	cut, unresponsive := f.cutByServer(s, err), f.unresponsiveAt(j, s, err)
	if cut || unresponsive {
		j.digest()
	}
	f.attemptFailed(j, s, reason, err)
	if cut || unresponsive {
		f.recordInterrupted(j, s, cut)
	}
}

// cutByServer reports whether the server broke an attempt off, other than by shutting down: a server that leaves cuts
// the requests still running on it.
func (f *Forwarder) cutByServer(s registry.Server, err error) bool {
	if errors.Is(err, errStalled) || errors.Is(err, upstream.ErrNotSent) {
		return false
	}
	if f.attempts.hasTerminated(s.ID) {
		return true
	}
	for _, cut := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cut) {
			return f.View.Listed(s.ID)
		}
	}
	return false
}

// unresponsiveAt reports whether the server may have terminated without closing its connections: nothing had come from
// it for a while when the attempt ended. Whether it has terminated shows when its registry entry expires.
func (f *Forwarder) unresponsiveAt(j *job, s registry.Server, err error) bool {
	return err != nil && !errors.Is(err, upstream.ErrNotSent) && time.Since(j.lastActivity) >= quietPeriod(j.route) && !f.View.Leaving(s.ID)
}

// recordInterrupted records that a request was in progress at a server that may have terminated. A server that cut the
// connection is probed at once: its registry entry expires seconds later, and until then no request may be sent there.
func (f *Forwarder) recordInterrupted(j *job, s registry.Server, cut bool) {
	b := quarantine.BrokenAttempt{Content: j.digest(), Generated: j.generated - j.generatedBefore}
	if b.Generated == 0 && s.Stage != registry.Prefill {
		b.Parts = j.meta.SharedParts
	}
	terminated, probe := f.interrupted.add(s.ID, b, cut)
	switch {
	case terminated:
		f.reportTermination(s.ID, "", []quarantine.BrokenAttempt{b})
	case f.attempts.hasTerminated(s.ID):
		f.serverTerminated(s.ID, signRestarted)
	case probe:
		go func() {
			defer f.interrupted.endProbe(s.ID)
			f.recordConnectError(s, f.Pool.Probe(context.Background(), s.Addr))
		}()
	}
}

// serverTerminated records that a server has terminated.
func (f *Forwarder) serverTerminated(id string, how terminationSign) {
	if broken := f.interrupted.serverTerminated(id); len(broken) > 0 {
		f.Metrics.Counter(metrics.ServersTerminated).Inc(1)
		f.reportTermination(id, how, broken)
	}
}

// reportTermination reports the requests that were in progress at a terminated server; how is empty if the termination
// was recorded before.
func (f *Forwarder) reportTermination(id string, how terminationSign, broken []quarantine.BrokenAttempt) {
	f.Metrics.Counter(metrics.RequestsInterrupted).Inc(int64(len(broken)))
	f.Guard.ServerTerminated(id, broken)
	event.ServerTerminated.Log(f.Log).Str("server", id).Str("how", string(how)).Int("requests", len(broken)).
		Strs("contents", digestsOf(broken)).Ints("generated", generatedIn(broken)).Msg("")
}

func digestsOf(broken []quarantine.BrokenAttempt) []string {
	var out []string
	for _, b := range broken[:min(len(broken), maxLoggedDigests)] {
		out = append(out, b.Content.String())
	}
	return out
}

// generatedIn returns the number of tokens that each attempt had generated.
func generatedIn(broken []quarantine.BrokenAttempt) []int {
	var out []int
	for _, b := range broken[:min(len(broken), maxLoggedDigests)] {
		out = append(out, b.Generated)
	}
	return out
}

// quarantined reports whether a request is quarantined, and for how much longer.
func (f *Forwarder) quarantined(j *job) (time.Duration, bool) {
	if !f.Guard.Active() {
		return 0, false
	}
	return f.Guard.Quarantined(j.digest(), j.meta.SharedParts)
}

// recordSuccess records that a server answered a request successfully, so the request did not crash it. A failure
// is no evidence, since the server may not have started to run the request.
func (f *Forwarder) recordSuccess(j *job) {
	if f.Guard.Active() {
		f.Guard.RequestSucceeded(j.digest())
	}
}
