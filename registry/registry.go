// Package registry holds a process's local view of the backend servers of all services.
//
// It is a pure state machine: its inputs are snapshots of the platform's server list,
// observations made by requests, and the time. A server is identified by its
// incarnation, never by its address, since addresses are reused. That a server is
// leaving is remembered for the lifetime of the process, so that an older list
// can't make the server usable again. A later incarnation of an instance supersedes
// the earlier ones at once and permanently.
//
// Snapshots are ordered by the position of the store at which they were read, so that the
// first one of a store that was restored from a copy is newer than all before. Such a
// snapshot may lack servers, which then have time to register again, and may list servers
// that had been removed, which are used only once their entries have outlived that copy.
package registry

import (
	"cmp"
	"iter"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Stage is the part of a request that an engine serves.
type Stage uint8

const (
	// Whole servers process a request completely: those of plain services.
	Whole Stage = iota
	// Prefill engines prefill prompts and export the KV cache.
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

// Server is one entry of the platform's server list.
type Server struct {
	// ID is Incarnation.ID.
	ID string
	// Born is Incarnation.Born.
	Born    int64
	Service string
	// Addr is "ip:port".
	Addr, Zone string
	Slots      int
	Stage      Stage
	// Version is the version of the server's software; empty if it is not known.
	Version string
	// Leaving is set once the server has announced that it shuts down.
	Leaving bool
	// Unusable is set while the server's entry is invalid. The server gets no new requests; running
	// ones continue.
	Unusable bool
}

// Instance is the name under which the server registers itself.
func (s Server) Instance() string {
	instance, _, _ := strings.Cut(s.ID, startSeparator)
	return instance
}

// Valid reports whether s is a well-formed server entry, whatever its source.
func (s Server) Valid() bool {
	_, err := netip.ParseAddrPort(s.Addr)
	return ValidInstance(s.Instance()) && err == nil && s.Service != "" && s.Stage <= Decode && s.Slots >= 0 && s.Born >= 0
}

// Registry is the local view of all servers. It is not safe for concurrent use.
type Registry struct {
	// position is that of the newest snapshot applied.
	position store.Position
	servers  map[string]*entry
	// leaving is when each incarnation that has announced a shutdown became known to leave; no later snapshot makes
	// it usable again.
	leaving map[string]time.Time
	// latest is the latest known start time of each instance that reports one.
	latest map[string]int64
	// terminated holds the incarnations superseded since the last TakeTerminated.
	terminated []Server
	// lastRead is when the list was last read successfully, and recoveredAt when that
	// first succeeded after the last outage.
	lastRead, recoveredAt time.Time
	// removed are the incarnations that were removed because the list lacked them, and restoredAt is when
	// a list of a restored store was first applied: its copy may list removed servers.
	removed    map[string]removal
	restoredAt time.Time
}

type entry struct {
	Server
	// missingSince is when snapshots began to lack the server; zero while it is listed.
	missingSince time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{servers: map[string]*entry{}, leaving: map[string]time.Time{}, latest: map[string]int64{}, removed: map[string]removal{}}
}

// Position returns the position of the newest snapshot applied.
func (r *Registry) Position() store.Position { return r.position }

// Apply applies a snapshot of the complete list, read from the store at a position. It ignores
// a snapshot older than the newest one applied and returns false.
func (r *Registry) Apply(position store.Position, list []Server, now time.Time) bool {
	if position < r.position {
		return false
	}
	r.recordReading(position, now)
	list = slices.DeleteFunc(slices.Clone(list), func(s Server) bool { return r.isStale(s.ID, position, now) })
	seen := make(map[string]struct{}, len(list))
	for _, s := range list {
		r.recordStart(s)
	}
	for _, s := range list {
		if latest := r.latest[s.Instance()]; s.Born == 0 && latest > 0 && !s.Unusable {
			// From a process that does not report start times: the latest incarnation is meant.
			s.ID, s.Born = Incarnation{Instance: s.Instance(), Born: latest}.ID(), latest
		}
		if s.Born < r.latest[s.Instance()] {
			r.handleOutdated(s, seen)
			continue
		}
		seen[s.ID] = struct{}{}
		r.update(s, now)
	}
	for id, e := range r.servers {
		if _, ok := seen[id]; !ok {
			r.handleMissing(id, e, now)
		}
	}
	return true
}

// recordStart records the start time of s if it is the latest of its instance, and removes the earlier
// incarnations as terminated.
func (r *Registry) recordStart(s Server) {
	instance := s.Instance()
	if s.Born <= r.latest[instance] {
		return
	}
	r.latest[instance] = s.Born
	for id, e := range r.servers {
		if e.Born < s.Born && e.Instance() == instance {
			delete(r.servers, id)
			r.terminated = append(r.terminated, e.Server)
		}
	}
}

// handleOutdated handles an entry that is not of the latest known incarnation of its instance. The latest one
// stays listed: without new requests if the entry is invalid, unchanged if it is of an earlier incarnation.
func (r *Registry) handleOutdated(s Server, seen map[string]struct{}) {
	id := Incarnation{Instance: s.Instance(), Born: r.latest[s.Instance()]}.ID()
	e, ok := r.servers[id]
	if !ok {
		return
	}
	seen[id] = struct{}{}
	if s.Unusable {
		e.Unusable, e.missingSince = true, time.Time{}
	}
}

// TakeTerminated returns the incarnations superseded by a later one since the last call: the requests that
// ran there were lost without a response.
func (r *Registry) TakeTerminated() []Server {
	terminated := r.terminated
	r.terminated = nil
	return terminated
}

// LatestStart returns the latest known start time of an instance; zero if none is known.
func (r *Registry) LatestStart(instance string) int64 { return r.latest[instance] }

// Touch records that another process has read the store at now and found the list
// unchanged.
func (r *Registry) Touch(now time.Time) { r.lastRead = now }

func (r *Registry) update(s Server, now time.Time) {
	if _, marked := r.leaving[s.ID]; marked {
		s.Leaving = true
	}
	e, ok := r.servers[s.ID]
	if !ok {
		if s.Unusable && s.Addr == "" {
			return
		}
		e = &entry{}
		r.servers[s.ID] = e
		delete(r.removed, s.ID)
	}
	if s.Unusable && ok {
		// The last valid entry still describes the server for the requests that run there.
		leaving := s.Leaving
		s = e.Server
		s.Unusable, s.Leaving = true, s.Leaving || leaving
	}
	if s.Version == "" {
		// From a process that does not report versions.
		s.Version = e.Version
	}
	s.Leaving = s.Leaving || e.Leaving
	if s.Leaving {
		r.recordLeaving(s.ID, now)
	}
	e.Server, e.missingSince = s, time.Time{}
}

// MarkLeaving records that a server shuts down, for instance because a response said so. It returns false if that was
// known, or if the server is not listed; the record then applies once the server is listed.
func (r *Registry) MarkLeaving(id string, now time.Time) bool {
	r.recordLeaving(id, now)
	e, ok := r.servers[id]
	if !ok || e.Leaving {
		return false
	}
	e.Leaving = true
	return true
}

// recordLeaving records that a server is known to shut down, and since when if it was not.
func (r *Registry) recordLeaving(id string, now time.Time) {
	if _, known := r.leaving[id]; !known {
		r.leaving[id] = now
	}
}

// Leaving reports whether a server is known to shut down, whether it is listed or not.
func (r *Registry) Leaving(id string) bool {
	_, leaving := r.leaving[id]
	return leaving
}

// LeavingSince returns when a server became known to shut down, or was removed without that; zero if neither.
func (r *Registry) LeavingSince(id string) time.Time {
	if since, leaving := r.leaving[id]; leaving {
		return since
	}
	return r.removed[id].at
}

// Usable returns the servers of a service that may get new requests, ordered by ID. Of several at one
// address, it returns the one with the latest start time, since that one now has the address.
func (r *Registry) Usable(service string) []Server {
	latest := r.latestStartByAddr()
	var out []Server
	for _, e := range r.servers {
		if e.Service == service && !e.verdict(latest).Excluded {
			out = append(out, e.Server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// latestStartByAddr returns the latest start time at each address, of servers that may get new requests.
func (r *Registry) latestStartByAddr() map[string]int64 {
	latest := make(map[string]int64, len(r.servers))
	for _, e := range r.servers {
		if e.usable() {
			latest[e.Addr] = max(latest[e.Addr], e.Born)
		}
	}
	return latest
}

func (e *entry) usable() bool { return !e.Leaving && !e.Unusable }

// verdict is the verdict on a server by its entry.
func (e *entry) verdict(latest map[string]int64) eligibility.Verdict {
	v := eligibility.NewVerdict()
	e.conditions(latest, func(c eligibility.Condition) { v.Add(c, time.Time{}) })
	return v
}

// conditions calls add with the conditions of a server by its entry, given the latest start time at each address.
func (e *entry) conditions(latest map[string]int64, add func(eligibility.Condition)) {
	if e.Leaving {
		add(eligibility.Condition{Reason: eligibility.Leaving, Author: eligibility.Server})
	}
	if e.Unusable {
		add(eligibility.Condition{Reason: eligibility.InvalidEntry, Author: eligibility.Store})
	}
	if e.Born < latest[e.Addr] {
		add(eligibility.Condition{Reason: eligibility.AddressReused, Author: eligibility.Store})
	}
}

// Conditions returns the conditions of each listed server by its entry, by ID.
func (r *Registry) Conditions() map[string][]eligibility.Condition {
	latest := r.latestStartByAddr()
	out := make(map[string][]eligibility.Condition, len(r.servers))
	for id, e := range r.servers {
		e.conditions(latest, func(c eligibility.Condition) { out[id] = append(out[id], c) })
	}
	return out
}

// Get returns the server with an ID.
func (r *Registry) Get(id string) (Server, bool) {
	e, ok := r.servers[id]
	if !ok {
		return Server{}, false
	}
	return e.Server, true
}

// All iterates over all servers, in no order.
func (r *Registry) All() iter.Seq[Server] {
	return func(yield func(Server) bool) {
		for _, e := range r.servers {
			if !yield(e.Server) {
				return
			}
		}
	}
}

// List returns all servers, ordered by ID.
func (r *Registry) List() []Server {
	return r.list(func(*entry) bool { return true })
}

// Listed returns the servers of the newest snapshot, ordered by ID: all but those that it lacks and that stay usable after an
// outage. Only these may be told to other processes under the snapshot's position.
func (r *Registry) Listed() []Server {
	return r.list(func(e *entry) bool { return e.missingSince.IsZero() })
}

func (r *Registry) list(included func(*entry) bool) []Server {
	out := make([]Server, 0, len(r.servers))
	for _, e := range r.servers {
		if included(e) {
			out = append(out, e.Server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
