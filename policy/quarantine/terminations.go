package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

const (
	// confirmWindow is how soon after an attempt broke its server's termination has to be observed for the attempt to
	// count as in progress at that termination. An entry lapses after about four seconds; a list from another router,
	// or after an outage of the store, takes as long again.
	confirmWindow = 10 * time.Second
	// terminatedTTL is how long a terminated server is remembered: attempts that break later have another cause.
	terminatedTTL = 30 * time.Second
)

// BrokenAttempt is an attempt that its server broke off.
type BrokenAttempt struct {
	Content fingerprint.Digest
	// Generated is the number of tokens received before.
	Generated int
	// Parts are the IDs of the parts of its prompt that other requests may have too, if nothing was received.
	Parts []string
	at    time.Time
}

// Terminations correlates two events that a router observes separately: that an attempt broke, and that its server
// terminated. Connections break for many reasons; only the attempts at a terminated server may have crashed it.
// It is a pure state machine and not safe for concurrent use. Servers are identified by their incarnation.
type Terminations struct {
	broken     map[string][]BrokenAttempt
	terminated map[string]time.Time
}

// NewTerminations returns empty Terminations.
func NewTerminations() *Terminations {
	return &Terminations{broken: map[string][]BrokenAttempt{}, terminated: map[string]time.Time{}}
}

// AttemptBroken records that a server broke an attempt off, and reports whether that server is known to have terminated.
// Otherwise the attempt is kept for ServerTerminated to return.
func (t *Terminations) AttemptBroken(server string, b BrokenAttempt, now time.Time) bool {
	if at, ok := t.terminated[server]; ok && now.Sub(at) < terminatedTTL {
		return true
	}
	b.at = now
	t.broken[server] = append(t.broken[server], b)
	return false
}

// ServerTerminated records that a server terminated, and returns the attempts that it broke off within confirmWindow
// before. Repeated calls have no effect.
func (t *Terminations) ServerTerminated(server string, now time.Time) []BrokenAttempt {
	if _, ok := t.terminated[server]; !ok {
		t.terminated[server] = now
	}
	var out []BrokenAttempt
	for _, b := range t.broken[server] {
		if now.Sub(b.at) < confirmWindow {
			out = append(out, b)
		}
	}
	delete(t.broken, server)
	return out
}

// Unconfirmed returns the servers that broke attempts off and are not known to have terminated.
func (t *Terminations) Unconfirmed() []string {
	out := make([]string, 0, len(t.broken))
	for server := range t.broken {
		out = append(out, server)
	}
	return out
}

// Expire drops broken attempts older than confirmWindow and terminations older than terminatedTTL.
func (t *Terminations) Expire(now time.Time) {
	maps.DeleteFunc(t.terminated, func(_ string, at time.Time) bool { return now.Sub(at) >= terminatedTTL })
	for server, list := range t.broken {
		list = slices.DeleteFunc(list, func(b BrokenAttempt) bool { return now.Sub(b.at) >= confirmWindow })
		if t.broken[server] = list; len(list) == 0 {
			delete(t.broken, server)
		}
	}
}
