package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

const (
	// MaxTerminations is the number of servers that may end under a request before it is held: the users' bound on
	// servers that are lost before a request has to be known for what it is.
	MaxTerminations = 3
	// SettleDelay is the pause from the last of these ends to the decision: routers whose requests ran at the same server
	// tell of them within some round trips, and who is held depends on all of them.
	SettleDelay = 300 * time.Millisecond
	// ObservationTTL is how long an end counts against the requests that ran at the server.
	ObservationTTL = 10 * time.Minute
	// FirstHold is how long a request is held at first. It bounds what a wrong decision costs its caller; a right
	// one costs a server with its requests, a dozen streams, once in that time.
	FirstHold = 10 * time.Minute
	// MaxHold bounds it: each hold that proves right lasts twice as long as the one before.
	MaxHold = 24 * time.Hour
	// maxSuspects and maxHolds bound the memory of a Ledger, to 1.5 MB (TestLedgerIsSmall): two hundred servers that end within
	// ObservationTTL with forty requests each.
	maxSuspects = 8000
	maxHolds    = 1000
)

// Observation tells that a request was in progress at a server that ended.
type Observation struct {
	Content fingerprint.Digest
	Server  string
	// Generated is the number of tokens that had come from it.
	Generated int
}

// Hold is the decision to send a request to no server.
type Hold struct {
	Content fingerprint.Digest
	// Until is when the hold ends. Another end within as long a time begins the next one at once.
	Until time.Time
	// Duration is the whole time of the hold.
	Duration time.Duration
}

// StartedAt is when the hold was decided.
func (h Hold) StartedAt() time.Time { return h.Until.Add(-h.Duration) }

// forgotten is when the hold counts no more.
func (h Hold) forgotten() time.Time { return h.Until.Add(h.Duration) }

// Ledger is what is known of ends of servers and of the requests under them.
type Ledger struct {
	suspects map[fingerprint.Digest]*suspect
	holds    map[fingerprint.Digest]Hold
	// cleared is when requests were last answered by a server, or let through by an operator.
	cleared map[fingerprint.Digest]time.Time
	// explained are the servers that ended under requests that are or were held, and when. They explain nothing about
	// other requests, also after the hold: else what ran beside it would be held in its place.
	explained map[string]time.Time
}

// suspect is the ends of servers under one request, one or two for most, each server once.
type suspect struct {
	ends []end
	last time.Time
}

type end struct {
	server    string
	at        time.Time
	generated int
}

func (x *suspect) has(server string) bool {
	return slices.ContainsFunc(x.ends, func(e end) bool { return e.server == server })
}

// forget drops the ends for which old returns true.
func (x *suspect) forget(old func(end) bool) { x.ends = slices.DeleteFunc(x.ends, old) }

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{
		suspects: map[fingerprint.Digest]*suspect{}, holds: map[fingerprint.Digest]Hold{}, cleared: map[fingerprint.Digest]time.Time{},
		explained: map[string]time.Time{},
	}
}

// Active reports whether any request is suspect or held, so that others need not be looked at.
func (l *Ledger) Active() bool { return len(l.suspects)+len(l.holds) > 0 }

// Quarantined reports for how long a request is held still; not at all if ok is false.
func (l *Ledger) Quarantined(d fingerprint.Digest, now time.Time) (left time.Duration, ok bool) {
	left = l.holds[d].Until.Sub(now)
	return left, left > 0
}

// Observe takes a sighting of some time, and reports whether it is news.
func (l *Ledger) Observe(s Observation, at time.Time) bool {
	if cleared, ok := l.cleared[s.Content]; ok && !at.After(cleared) {
		return false
	}
	x := l.suspects[s.Content]
	if x == nil {
		l.makeRoom()
		x = &suspect{}
		l.suspects[s.Content] = x
	}
	if x.has(s.Server) {
		return false
	}
	x.ends = append(x.ends, end{server: s.Server, at: at, generated: s.Generated})
	x.last = later(x.last, at)
	if _, held := l.Quarantined(s.Content, at); held {
		l.explained[s.Server] = at
	}
	return true
}

// makeRoom forgets the suspects whose last sightings are the oldest when there are too many: a tenth, so that it is done
// seldom.
func (l *Ledger) makeRoom() {
	if len(l.suspects) < maxSuspects {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(l.suspects), func(a, b fingerprint.Digest) int {
		return l.suspects[a].last.Compare(l.suspects[b].last)
	})
	for _, d := range oldest[:maxSuspects/10] {
		delete(l.suspects, d)
	}
}

// Clear notes that a server answered a request at some time, or that an operator wants it let through. It
// reports whether that changed anything: ends and a hold from before count no more.
func (l *Ledger) Clear(d fingerprint.Digest, at time.Time) bool {
	x, h := l.suspects[d], l.holds[d]
	if x == nil && h.Duration == 0 {
		return false
	}
	l.cleared[d] = later(l.cleared[d], at)
	changed := false
	if h.Duration > 0 && !h.StartedAt().After(at) {
		delete(l.holds, d)
		changed = true
	}
	if x != nil {
		before := len(x.ends)
		x.forget(func(e end) bool { return !e.at.After(at) })
		changed = changed || len(x.ends) < before
		if len(x.ends) == 0 {
			delete(l.suspects, d)
		}
	}
	return changed
}

// AddHold takes a hold that another router decided, or that was kept, and reports whether it is news.
func (l *Ledger) AddHold(h Hold) bool {
	if cleared, ok := l.cleared[h.Content]; ok && !h.StartedAt().After(cleared) {
		return false
	}
	known, ok := l.holds[h.Content]
	if ok && h.Duration <= known.Duration && h.StartedAt().Before(known.Until) {
		// The same hold, told on with what its way has taken added.
		return false
	}
	if !ok && len(l.holds) >= maxHolds {
		return false
	}
	l.holds[h.Content] = h
	if x := l.suspects[h.Content]; x != nil {
		for _, e := range x.ends {
			l.explained[e.server] = e.at
		}
	}
	return true
}

// Holds are the holds in force, the longest first.
func (l *Ledger) Holds(now time.Time) []Hold {
	var out []Hold
	for _, h := range l.holds {
		if h.Until.After(now) {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Hold) int { return b.Until.Compare(a.Until) })
	return out
}

// TerminatedServers are the servers that ended under a request.
func (l *Ledger) TerminatedServers(d fingerprint.Digest) []string {
	x := l.suspects[d]
	if x == nil {
		return nil
	}
	var out []string
	for _, e := range x.ends {
		out = append(out, e.server)
	}
	slices.Sort(out)
	return out
}

// Expire forgets what is too old.
func (l *Ledger) Expire(now time.Time) {
	for d, x := range l.suspects {
		x.forget(func(e end) bool { return now.Sub(e.at) >= ObservationTTL })
		if len(x.ends) == 0 {
			delete(l.suspects, d)
		}
	}
	maps.DeleteFunc(l.holds, func(_ fingerprint.Digest, h Hold) bool { return !h.forgotten().After(now) })
	maps.DeleteFunc(l.explained, func(_ string, at time.Time) bool { return now.Sub(at) >= ObservationTTL })
	maps.DeleteFunc(l.cleared, func(_ fingerprint.Digest, at time.Time) bool { return now.Sub(at) >= ObservationTTL })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
