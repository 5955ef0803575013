package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

const (
	// confirmWithin is the time within which a server has to be found to have ended for an attempt that
	// broke there to count as in progress when it ended. An entry lapses after some four seconds; a list
	// that comes from another router, or after an outage of the store, takes as long again.
	confirmWithin = 10 * time.Second
	// endedLife is how long a server is known to have ended: attempts that break later are of another cause.
	endedLife = 30 * time.Second
)

// BrokenAttempt is an attempt whose server broke it off.
type BrokenAttempt struct {
	Content fingerprint.Digest
	// Generated is the number of tokens that had come.
	Generated int
	at        time.Time
}

// Terminations joins what one router learns apart: that attempts broke, and that their server has ended. A
// connection breaks for many reasons; only the attempts at a server that ended tell of what may have ended it.
// It is a pure state machine and not safe for concurrent use. Servers are known by their start.
type Terminations struct {
	broken map[string][]BrokenAttempt
	ended  map[string]time.Time
}

// NewTerminations returns an empty state.
func NewTerminations() *Terminations {
	return &Terminations{broken: map[string][]BrokenAttempt{}, ended: map[string]time.Time{}}
}

// AttemptBroken notes that a server broke an attempt off, and reports whether that server is known to have ended.
// Otherwise the attempt is kept until ServerTerminated tells of it.
func (e *Terminations) AttemptBroken(server string, b BrokenAttempt, now time.Time) bool {
	if at, ok := e.ended[server]; ok && now.Sub(at) < endedLife {
		return true
	}
	b.at = now
	e.broken[server] = append(e.broken[server], b)
	return false
}

// ServerTerminated notes that a server has ended, and returns the attempts that it broke off a moment before. Told
// again it changes nothing.
func (e *Terminations) ServerTerminated(server string, now time.Time) []BrokenAttempt {
	if _, ok := e.ended[server]; !ok {
		e.ended[server] = now
	}
	var out []BrokenAttempt
	for _, b := range e.broken[server] {
		if now.Sub(b.at) < confirmWithin {
			out = append(out, b)
		}
	}
	delete(e.broken, server)
	return out
}

// Unconfirmed are the servers at which attempts broke that are not known to have ended.
func (e *Terminations) Unconfirmed() []string {
	out := make([]string, 0, len(e.broken))
	for server := range e.broken {
		out = append(out, server)
	}
	return out
}

// Expire forgets what is too old.
func (e *Terminations) Expire(now time.Time) {
	maps.DeleteFunc(e.ended, func(_ string, at time.Time) bool { return now.Sub(at) >= endedLife })
	for server, list := range e.broken {
		list = slices.DeleteFunc(list, func(b BrokenAttempt) bool { return now.Sub(b.at) >= confirmWithin })
		if e.broken[server] = list; len(list) == 0 {
			delete(e.broken, server)
		}
	}
}
