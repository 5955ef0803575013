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

// howEnded is how a server was found to have ended.
type howEnded string

const (
	endedRefused   howEnded = "refused"
	endedRestarted howEnded = "restarted"
	endedReplaced  howEnded = "replaced"
	endedGone      howEnded = "gone"
)

// loggedContents bounds the digests in one log line.
const loggedContents = 50

// A server must have sent nothing for a while when a request that waits for it ends, for the request to count as in
// progress should the server turn out to have ended without a word: for quietFor, several times the longest usual pause
// of a stream, or for quietObjectives times the objective of a route that is to be answered sooner.
const (
	quietFor        = time.Second
	quietObjectives = 4
)

// quiet is how long nothing must have come for a request of the route.
func quiet(r *route.Route) time.Duration {
	if r.Objective <= 0 {
		return quietFor
	}
	return min(quietFor, quietObjectives*r.Objective)
}

// attemptLost notes an attempt that was sent to s and did not come to its end there.
func (f *Forwarder) attemptLost(j *job, s registry.Server, reason outcome.Reason, err error) {
	cut, dark := f.cutBy(s, err), f.darkAt(j, s, err)
	if cut || dark {
		j.digest()
	}
	f.attemptFailed(j, s, reason, err)
	if cut || dark {
		f.broke(j, s, cut)
	}
}

// cutBy reports whether it was the server that broke an attempt off, and not because it stops: servers that leave
// end with what is left on them.
func (f *Forwarder) cutBy(s registry.Server, err error) bool {
	if errors.Is(err, errSilent) || errors.Is(err, upstream.ErrNotSent) {
		return false
	}
	if f.attempts.hasEnded(s.ID) {
		return true
	}
	for _, cut := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cut) {
			return f.View.Listed(s.ID)
		}
	}
	return false
}

// darkAt reports whether the server may have ended without a word: nothing came from it for a while when the attempt
// ended. Whether it has is seen when its entry lapses.
func (f *Forwarder) darkAt(j *job, s registry.Server, err error) bool {
	return err != nil && !errors.Is(err, upstream.ErrNotSent) && time.Since(j.heard) >= quiet(j.route) && !f.View.Leaving(s.ID)
}

// broke notes that a request was in progress at a server that may have ended. Where it cut the connection it is asked
// at once whether it is there: its entry lapses seconds later, and no request may be sent there until then.
func (f *Forwarder) broke(j *job, s registry.Server, cut bool) {
	b := quarantine.BrokenAttempt{Content: j.digest(), Generated: j.generated - j.carried}
	ended, ask := f.interrupted.broke(s.ID, b, cut)
	switch {
	case ended:
		f.tellEnded(s.ID, "", []quarantine.BrokenAttempt{b})
	case f.attempts.hasEnded(s.ID):
		f.serverEnded(s.ID, endedRestarted)
	case ask:
		go func() {
			defer f.interrupted.answered(s.ID)
			f.noteReach(s, f.Pool.Reach(context.Background(), s.Addr))
		}()
	}
}

// serverEnded notes that a server has ended.
func (f *Forwarder) serverEnded(id string, how howEnded) {
	if broken := f.interrupted.ended(id); len(broken) > 0 {
		f.Metrics.Counter(metrics.ServersEnded).Inc(1)
		f.tellEnded(id, how, broken)
	}
}

// tellEnded notes requests that were in progress at a server that has ended; how is empty if that was
// noted before.
func (f *Forwarder) tellEnded(id string, how howEnded, broken []quarantine.BrokenAttempt) {
	f.Metrics.Counter(metrics.RequestsBroken).Inc(int64(len(broken)))
	f.Guard.Ended(id, broken)
	event.ServerEnded.Log(f.Log).Str("server", id).Str("how", string(how)).Int("requests", len(broken)).
		Strs("contents", contentsOf(broken)).Msg("")
}

func contentsOf(broken []quarantine.BrokenAttempt) []string {
	var out []string
	for _, b := range broken[:min(len(broken), loggedContents)] {
		out = append(out, b.Content.String())
	}
	return out
}

// held reports for how long a request is held back still.
func (f *Forwarder) held(j *job) (time.Duration, bool) {
	if !f.Guard.Watches() {
		return 0, false
	}
	return f.Guard.Held(j.digest())
}

// answered notes that a server answered a request with success, and so did not end under it. A failure may have come
// before the server began to run it, and tells nothing.
func (f *Forwarder) answered(j *job) {
	if f.Guard.Watches() {
		f.Guard.Answered(j.digest())
	}
}
