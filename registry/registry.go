// Package registry keeps what a process believes about the servers of all services.
//
// It is a pure state machine: snapshots of the platform's list and observations of
// requests go in with the time, and a view comes out. A server is known by its
// instance, never by its address, since addresses are used again. What is known of
// a leaving server is never forgotten while the process lives: a list that is
// older than that knowledge can't bring the server back.
package registry

import (
	"cmp"
	"slices"
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
	// ID is the instance: one start of one server.
	ID      string
	Service string
	// Addr is "ip:port".
	Addr, Zone string
	Slots      int
	Stage      Stage
	// Leaving is set once the server has said that it stops.
	Leaving bool
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
	// gone holds instances that have said that they leave, so that no later
	// snapshot brings them back as ready.
	gone map[string]struct{}
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
	return &Registry{servers: map[string]*entry{}, gone: map[string]struct{}{}}
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

// Touch notes that another process has read the store at now and found the list
// unchanged.
func (r *Registry) Touch(now time.Time) { r.lastRead = now }

func (r *Registry) update(s Server) {
	if _, gone := r.gone[s.ID]; gone {
		s.Leaving = true
	}
	e, ok := r.servers[s.ID]
	if !ok {
		e = &entry{}
		r.servers[s.ID] = e
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

// MarkLeaving notes that a server stops, for instance because it answered so. It
// returns false if that was known.
func (r *Registry) MarkLeaving(id string) bool {
	e, ok := r.servers[id]
	if !ok || e.Leaving {
		return false
	}
	e.Leaving = true
	r.gone[id] = struct{}{}
	return true
}

// Usable returns the servers of a service that may get new work, ordered by instance.
func (r *Registry) Usable(service string) []Server {
	var out []Server
	for _, e := range r.servers {
		if e.Service == service && !e.Leaving {
			out = append(out, e.Server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Get returns the server of an instance.
func (r *Registry) Get(id string) (Server, bool) {
	e, ok := r.servers[id]
	if !ok {
		return Server{}, false
	}
	return e.Server, true
}

// List returns all servers, ordered by instance.
func (r *Registry) List() []Server {
	out := make([]Server, 0, len(r.servers))
	for _, e := range r.servers {
		out = append(out, e.Server)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
