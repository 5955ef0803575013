package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

const (
	// MaxTerminations is the number of servers that may terminate under a request before it is quarantined. The users
	// set it: a crashing request has to be recognized after this many lost servers.
	MaxTerminations = 3
	// SettleDelay is the delay between the last of these terminations and the decision: routers whose requests ran at the
	// same server report them within some round trips, and which request is quarantined depends on all of them.
	SettleDelay = 300 * time.Millisecond
	// ObservationTTL is how long a termination counts against the requests that ran at the server.
	ObservationTTL = 10 * time.Minute
	// FirstHold is the duration of a request's first hold. It bounds the cost of a wrong decision to the caller. After a
	// right one, a server with its requests, a dozen streams, is lost once in that time.
	FirstHold = 10 * time.Minute
	// MaxHold bounds the duration of a hold: each one that proves right lasts twice as long as the one before.
	MaxHold = 24 * time.Hour
	// PartHold is the duration of a hold of a part: a trial costs a server, and only a run that begins to generate, or an
	// operator, shows that the part has become harmless.
	PartHold = MaxHold
	// maxSuspects and maxHolds bound the memory of a Ledger, to 1.5 MB (TestLedgerIsSmall): two hundred servers that
	// terminate within ObservationTTL with forty requests each.
	maxSuspects = 8000
	maxHolds    = 1000
)

// Observation is the observed termination of a server at which a request was in progress.
type Observation struct {
	Content fingerprint.Digest
	Server  string
	// Generated is the number of tokens that the server had generated for the request.
	Generated int
	// Parts are the IDs of the parts of its prompt that other requests may have too.
	Parts []string
}

// Hold is the decision to quarantine a request, or all requests with certain parts in their prompts: to send them to no
// server for some time.
type Hold struct {
	// Content is the digest of the request, or of Parts.
	Content fingerprint.Digest
	// Parts are the IDs of the parts that a request must all have, in ascending order; none if the hold is of one request.
	// There is more than one if they have always come together, so that any of them may crash servers.
	Parts []string
	// Until is when the hold ends. A single termination within Duration after it starts the next hold.
	Until time.Time
	// Duration is the whole length of the hold.
	Duration time.Duration
}

// Matches reports whether a request with these parts in its prompt is under the hold.
func (h Hold) Matches(content fingerprint.Digest, parts []string) bool {
	if len(h.Parts) == 0 {
		return h.Content == content
	}
	return containsAll(parts, h.Parts)
}

// StartedAt returns when the hold was decided.
func (h Hold) StartedAt() time.Time { return h.Until.Add(-h.Duration) }

// forgottenAt returns when the hold is forgotten: until then one termination starts the next hold.
func (h Hold) forgottenAt() time.Time { return h.Until.Add(h.Duration) }

// Ledger holds the observed terminations of servers, the suspected requests and the holds.
type Ledger struct {
	suspects map[fingerprint.Digest]*suspect
	holds    map[fingerprint.Digest]Hold
	// cleared is when requests were last answered by a server or released by an operator.
	cleared map[fingerprint.Digest]time.Time
	// explained holds the servers that terminated under requests that are or were quarantined. They don't count against
	// other requests, even after the hold: otherwise the requests that ran beside it would be quarantined in its place.
	explained map[string]explanation
	// evidence is what is known of parts of prompts, minEvidence what a hold of a part requires. partsUndecided is set if
	// a part only lacks evidence.
	evidence       partEvidence
	minEvidence    float64
	partsUndecided bool
	// partsDecided is when parts were last decided on.
	partsDecided time.Time
}

// explanation is the hold that explains the termination of a server, and when the server terminated.
type explanation struct {
	by fingerprint.Digest
	at time.Time
}

// suspect holds the terminations of servers under one request, each server once; one or two for most requests.
type suspect struct {
	terminations    []termination
	lastTermination time.Time
}

type termination struct {
	server    string
	at        time.Time
	generated int
}

func (x *suspect) has(server string) bool {
	return slices.ContainsFunc(x.terminations, func(e termination) bool { return e.server == server })
}

// forget drops the terminations for which drop returns true.
func (x *suspect) forget(drop func(termination) bool) {
	x.terminations = slices.DeleteFunc(x.terminations, drop)
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{
		suspects: map[fingerprint.Digest]*suspect{}, holds: map[fingerprint.Digest]Hold{}, cleared: map[fingerprint.Digest]time.Time{},
		explained: map[string]explanation{}, evidence: newPartEvidence(), minEvidence: minEvidence,
	}
}

// Active reports whether any request is suspected or quarantined. If none is, callers can skip the checks of each
// request.
func (l *Ledger) Active() bool { return len(l.suspects)+len(l.evidence.lost)+len(l.holds) > 0 }

// Quarantined returns how long a request with these parts in its prompt remains quarantined; ok is false if it is not.
func (l *Ledger) Quarantined(d fingerprint.Digest, parts []string, now time.Time) (left time.Duration, ok bool) {
	left = l.holds[d].Until.Sub(now)
	if len(parts) > 0 {
		for _, h := range l.holds {
			if h.Matches(d, parts) {
				left = max(left, h.Until.Sub(now))
			}
		}
	}
	return left, left > 0
}

// Observe records an observation made at some time, and reports whether it is new.
func (l *Ledger) Observe(o Observation, at time.Time) bool {
	lost := len(o.Parts) > 0 && o.Generated == 0 && l.evidence.add(lostRun{server: o.Server, at: at, content: o.Content, parts: o.Parts})
	return l.observeContent(o, at) || lost
}

func (l *Ledger) observeContent(o Observation, at time.Time) bool {
	if cleared, ok := l.cleared[o.Content]; ok && !at.After(cleared) {
		return false
	}
	x := l.suspects[o.Content]
	if x == nil {
		l.evictOldest()
		x = &suspect{}
		l.suspects[o.Content] = x
	}
	if x.has(o.Server) {
		return false
	}
	x.terminations = append(x.terminations, termination{server: o.Server, at: at, generated: o.Generated})
	x.lastTermination = later(x.lastTermination, at)
	if by, ok := l.heldBy(o, at); ok {
		l.explained[o.Server] = explanation{by: by, at: at}
	}
	return true
}

// heldBy returns the hold that an observed request was under.
func (l *Ledger) heldBy(o Observation, at time.Time) (by fingerprint.Digest, ok bool) {
	if l.holds[o.Content].Until.After(at) {
		return o.Content, true
	}
	if o.Generated > 0 {
		return by, false
	}
	for key, h := range l.holds {
		if len(h.Parts) > 0 && h.Until.After(at) && h.Matches(o.Content, o.Parts) {
			return key, true
		}
	}
	return by, false
}

// evictOldest drops the suspects with the oldest last terminations when there are too many: a tenth of them, so that it
// rarely has to.
func (l *Ledger) evictOldest() {
	if len(l.suspects) < maxSuspects {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(l.suspects), func(a, b fingerprint.Digest) int {
		return l.suspects[a].lastTermination.Compare(l.suspects[b].lastTermination)
	})
	for _, d := range oldest[:maxSuspects/10] {
		delete(l.suspects, d)
	}
}

// Clear records that a server answered a request at some time, or that an operator released it. Earlier terminations and
// an earlier hold of the request no longer count; Clear reports whether there were any.
func (l *Ledger) Clear(d fingerprint.Digest, at time.Time) bool {
	x, h := l.suspects[d], l.holds[d]
	if x == nil && h.Duration == 0 {
		return false
	}
	for _, p := range h.Parts {
		l.evidence.clear(p, at)
	}
	l.cleared[d] = later(l.cleared[d], at)
	changed := false
	if h.Duration > 0 && !h.StartedAt().After(at) {
		delete(l.holds, d)
		changed = true
	}
	if x != nil {
		before := len(x.terminations)
		x.forget(func(e termination) bool { return !e.at.After(at) })
		changed = changed || len(x.terminations) < before
		if len(x.terminations) == 0 {
			delete(l.suspects, d)
		}
	}
	return changed
}

// Released reports whether a hold began before its request, or all its parts, were last cleared.
func (l *Ledger) Released(h Hold) bool {
	cleared, ok := l.cleared[h.Content]
	return ok && !h.StartedAt().After(cleared) || len(h.Parts) > 0 && len(l.uncleared(h)) == 0
}

// AddHold adds a hold, also one that another router decided or that was persisted, and reports whether it is new.
func (l *Ledger) AddHold(h Hold) bool {
	if l.Released(h) {
		return false
	}
	if rest := l.uncleared(h); len(rest) < len(h.Parts) {
		h.Content, h.Parts = fingerprint.OfParts(rest), rest
	}
	known, ok := l.holds[h.Content]
	if ok && len(known.Parts) > len(h.Parts) {
		// Forwarded by a router that does not know of parts.
		return false
	}
	if ok && len(known.Parts) == len(h.Parts) && h.Duration <= known.Duration && h.StartedAt().Before(known.Until) {
		// The same hold, forwarded by another router: its end has moved by the transmission delay.
		return false
	}
	if !ok && len(l.holds) >= maxHolds {
		return false
	}
	l.holds[h.Content] = h
	if x := l.suspects[h.Content]; x != nil {
		for _, e := range x.terminations {
			l.explained[e.server] = explanation{by: h.Content, at: e.at}
		}
	}
	if len(h.Parts) > 0 {
		l.explain(h)
	}
	return true
}

// Holds returns the holds in force, the one that ends last first.
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

// TerminatedServers returns the servers that terminated under the requests of a hold.
func (l *Ledger) TerminatedServers(h Hold) []string {
	var out []string
	if x := l.suspects[h.Content]; x != nil {
		for _, e := range x.terminations {
			out = append(out, e.server)
		}
	}
	if len(h.Parts) > 0 {
		for i := range l.evidence.lost {
			if r := &l.evidence.lost[i]; r.hasAll(h.Parts) {
				out = append(out, r.server)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Expire drops observations older than ObservationTTL and holds past their forgottenAt.
func (l *Ledger) Expire(now time.Time) {
	for d, x := range l.suspects {
		x.forget(func(e termination) bool { return now.Sub(e.at) >= ObservationTTL })
		if len(x.terminations) == 0 {
			delete(l.suspects, d)
		}
	}
	maps.DeleteFunc(l.holds, func(_ fingerprint.Digest, h Hold) bool { return !h.forgottenAt().After(now) })
	maps.DeleteFunc(l.explained, func(_ string, x explanation) bool { return now.Sub(x.at) >= ObservationTTL })
	l.evidence.expire(now)
	maps.DeleteFunc(l.cleared, func(_ fingerprint.Digest, at time.Time) bool { return now.Sub(at) >= ObservationTTL })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
