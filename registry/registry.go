// Package registry keeps what a process believes about the servers of all services.
//
// It is a pure state machine: snapshots of the platform's list and observations of
// requests go in with the time, and a view comes out. A server is known by its
// incarnation, never by its address, since addresses are used again. What is known of
// a leaving server is never forgotten while the process lives: a list that is
// older than that knowledge can't bring the server back. A later start of an instance
// ends the earlier ones at once, and nothing brings those back either.
package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Stage is the part of a request that an engine serves.
type Stage uint8

const (
	// Whole servers run requests from beginning to end: plain services.
	Whole Stage = iota
	// Prefill engines read prompts and export the KV cache.
	Prefill
	// Decode engines generate tokens.
	Decode
)

// String returns the name of s for logs.
func (s Stage) String() string {
	switch s {
	case Prefill:
		return "prefill"
	case Decode:
		return "decode"
	default:
		return "whole"
	}
}

// Server is one entry of the platform's list.
type Server struct {
	// ID is that of the incarnation: one start of one server.
	ID string
	// Born is that of the incarnation.
	Born    int64
	Service string
	// Addr is "ip:port".
	Addr, Zone string
	Slots      int
	Stage      Stage
	// Leaving is set once the server has said that it stops.
	Leaving bool
	// Unusable is set while the server's entry can't be trusted. It gets no new work; what runs
	// there goes on.
	Unusable bool
}

// Instance is the name under which the server registers itself.
func (s Server) Instance() string {
	instance, _, _ := strings.Cut(s.ID, bornMark)
	return instance
}

// Valid reports whether s can be a server, whoever told of it.
func (s Server) Valid() bool {
	_, err := netip.ParseAddrPort(s.Addr)
	return ValidInstance(s.Instance()) && err == nil && s.Service != "" && s.Stage <= Decode && s.Slots >= 0 && s.Born >= 0
}

// Grace is how long a server that is missing from the list counts as known after the
// list became readable again. Entries that lapsed during an outage are back within
// about two seconds; one that is missing after that is gone.
const Grace = 2 * time.Second

// Registry is the state. It is not safe for concurrent use.
type Registry struct {
	// version of the newest snapshot.
	version int64
	servers map[string]*entry
	// gone holds incarnations that have said that they leave, so that no later
	// snapshot brings them back as ready.
	gone map[string]struct{}
	// latest is the latest known start of each instance that says when it started.
	latest map[string]int64
	// ended are incarnations that were followed by a later one since TakeTerminated.
	ended []Server
	// lastRead is when a snapshot was last taken, and recovered when reading worked
	// again after an outage.
	lastRead, recovered time.Time
}

type entry struct {
	Server
	// missing is since when snapshots lack the server; zero while it is listed.
	missing time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{servers: map[string]*entry{}, gone: map[string]struct{}{}, latest: map[string]int64{}}
}

// outageGap is the time without a snapshot from which entries may have lapsed
// because their servers could not renew them: heartbeats come every 1.2 s and lapse
// after three of them.
const outageGap = 3 * time.Second

// Version is that of the newest snapshot applied.
func (r *Registry) Version() int64 { return r.version }

// Apply takes a snapshot of the whole list, read from the store at version. One that is
// older than the newest applied is ignored, and Apply returns false.
func (r *Registry) Apply(version int64, list []Server, now time.Time) bool {
	if version < r.version {
		return false
	}
	if !r.lastRead.IsZero() && now.Sub(r.lastRead) > outageGap {
		r.recovered = now
	}
	r.version, r.lastRead = version, now
	seen := make(map[string]struct{}, len(list))
	for _, s := range list {
		r.noteStart(s)
	}
	for _, s := range list {
		if latest := r.latest[s.Instance()]; s.Born == 0 && latest > 0 && !s.Unusable {
			// Told by a process that does not tell starts: it means the one that is listed.
			s.ID, s.Born = Incarnation{Instance: s.Instance(), Born: latest}.ID(), latest
		}
		if s.Born < r.latest[s.Instance()] {
			r.distrust(s, seen)
			continue
		}
		seen[s.ID] = struct{}{}
		r.update(s)
	}
	for id, e := range r.servers {
		if _, ok := seen[id]; !ok {
			r.lapse(id, e, now)
		}
	}
	return true
}

// noteStart notes a start that is later than those known of its instance. The earlier ones have
// ended.
func (r *Registry) noteStart(s Server) {
	instance := s.Instance()
	if s.Born <= r.latest[instance] {
		return
	}
	r.latest[instance] = s.Born
	for id, e := range r.servers {
		if e.Born < s.Born && e.Instance() == instance {
			delete(r.servers, id)
			r.ended = append(r.ended, e.Server)
		}
	}
}

// distrust handles an entry of an instance that is not of its latest known start. An entry that can't
// be read keeps the latest start listed, without new work; an earlier start changes nothing.
func (r *Registry) distrust(s Server, seen map[string]struct{}) {
	id := Incarnation{Instance: s.Instance(), Born: r.latest[s.Instance()]}.ID()
	e, ok := r.servers[id]
	if !ok {
		return
	}
	seen[id] = struct{}{}
	if s.Unusable {
		e.Unusable, e.missing = true, time.Time{}
	}
}

// TakeTerminated returns the incarnations that were followed by a later one since the last call: what ran
// there has ended without an answer.
func (r *Registry) TakeTerminated() []Server {
	ended := r.ended
	r.ended = nil
	return ended
}

// LatestStart is the latest known start of an instance; zero if none is known.
func (r *Registry) LatestStart(instance string) int64 { return r.latest[instance] }

// Touch notes that another process has read the store at now and found the list
// unchanged.
func (r *Registry) Touch(now time.Time) { r.lastRead = now }

func (r *Registry) update(s Server) {
	if _, gone := r.gone[s.ID]; gone {
		s.Leaving = true
	}
	e, ok := r.servers[s.ID]
	if !ok {
		if s.Unusable && s.Addr == "" {
			return
		}
		e = &entry{}
		r.servers[s.ID] = e
	}
	if s.Unusable && ok {
		// What the last entry that could be read said still holds of what runs there.
		leaving := s.Leaving
		s = e.Server
		s.Unusable, s.Leaving = true, s.Leaving || leaving
	}
	s.Leaving = s.Leaving || e.Leaving
	if s.Leaving {
		r.gone[s.ID] = struct{}{}
	}
	e.Server, e.missing = s, time.Time{}
}

// lapse handles a server that the list lacks. Outside the grace after an outage it is
// gone at once.
func (r *Registry) lapse(id string, e *entry, now time.Time) {
	if e.missing.IsZero() {
		e.missing = now
	}
	if !r.recovered.IsZero() && now.Sub(r.recovered) < Grace && !e.Leaving {
		return
	}
	delete(r.servers, id)
}

// MarkLeaving notes that a server stops, for instance because it answered so. It returns false if that was known, or if
// the server is not listed: then it is remembered for when it is.
func (r *Registry) MarkLeaving(id string) bool {
	r.gone[id] = struct{}{}
	e, ok := r.servers[id]
	if !ok || e.Leaving {
		return false
	}
	e.Leaving = true
	return true
}

// Leaving reports whether a server has said that it stops, whether it is listed or not.
func (r *Registry) Leaving(id string) bool {
	_, gone := r.gone[id]
	return gone
}

// Usable returns the servers of a service that may get new work, ordered by ID. Of two at one
// address, the one that started later is there.
func (r *Registry) Usable(service string) []Server {
	at := r.startedAt()
	var out []Server
	for _, e := range r.servers {
		if e.Service == service && e.usable() && e.Born >= at[e.Addr] {
			out = append(out, e.Server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// startedAt is the latest start at each address, of servers that may get work.
func (r *Registry) startedAt() map[string]int64 {
	at := make(map[string]int64, len(r.servers))
	for _, e := range r.servers {
		if e.usable() {
			at[e.Addr] = max(at[e.Addr], e.Born)
		}
	}
	return at
}

func (e *entry) usable() bool { return !e.Leaving && !e.Unusable }

// Get returns the server of an ID.
func (r *Registry) Get(id string) (Server, bool) {
	e, ok := r.servers[id]
	if !ok {
		return Server{}, false
	}
	return e.Server, true
}

// List returns all servers, ordered by ID.
func (r *Registry) List() []Server {
	out := make([]Server, 0, len(r.servers))
	for _, e := range r.servers {
		out = append(out, e.Server)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
