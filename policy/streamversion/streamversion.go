// Package streamversion decides at which software version a stream may go on that a client takes up again.
//
// Load pattern: for tens of seconds, during a rollout, engines of two or three versions serve side by side, and what two
// versions write does not fit together. Routers are killed, restarted and cut off meanwhile, and the clients of their
// streams take these up at other routers within a second. So the version of each stream that may be resumed is known
// to more than the router that began it, and a stream goes on at that version or, if nobody knows it, only if one
// version alone can have begun it. What a router has seen doesn't prove that: it may be cut off, or have been frozen, while
// the others use engines of a new version. A reading of the store does, that was made after the client came back or by a
// router that reads all the time; or, while nobody reaches the store, the word of all routers that may have begun streams.
//
// The package is deterministic and takes times from its caller. Its types are not safe for concurrent use.
package streamversion

import (
	"cmp"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"time"
)

// Key identifies a stream among those that clients may take up. Two streams have the same key with a probability of
// 2^-64.
type Key uint64

// KeyOf returns the key of the stream of a service that a customer's request began; id is the ID of that request.
func KeyOf(service, customer, id string) Key {
	h := fnv.New64a()
	for _, part := range []string{service, customer, id} {
		// A hash returns no error.
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	return Key(h.Sum64())
}

// Record is the version at which a stream was begun, kept until its client can't take it up any more.
type Record struct {
	Version string
	Until   time.Time
}

// maxRecords bounds the records of one router, which take 5 MB. One of the size to design for has 1,300.
const maxRecords = 1 << 16

// Records are the streams of which a router knows the version. The zero value is not usable; see NewRecords.
type Records struct {
	byKey map[Key]Record
}

// NewRecords returns no records.
func NewRecords() *Records { return &Records{byKey: map[Key]Record{}} }

// Put records the version of a stream. A known version stays; the record is kept until the later of the two times. It
// returns false if there is no room.
func (r *Records) Put(k Key, rec Record, now time.Time) bool {
	old, ok := r.byKey[k]
	if ok && now.Before(old.Until) {
		rec = Record{Version: old.Version, Until: later(old.Until, rec.Until)}
	} else if !ok && len(r.byKey) >= maxRecords {
		return false
	}
	r.byKey[k] = rec
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Get returns the record of a stream.
func (r *Records) Get(k Key, now time.Time) (Record, bool) {
	rec, ok := r.byKey[k]
	return rec, ok && now.Before(rec.Until)
}

// Expire drops the records that are no longer needed.
func (r *Records) Expire(now time.Time) {
	maps.DeleteFunc(r.byKey, func(_ Key, rec Record) bool { return !now.Before(rec.Until) })
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.byKey) }

// Window is how long a version that is no longer listed may still be that of a stream which a client takes up: engines
// serve for some seconds after they have left the list, and clients come back within the time that they have left.
const Window = 30 * time.Second

const (
	// maxReadingGap is the longest time between two readings of the list after which no version can have come and gone
	// unseen: an engine's entry lapses after three missed heartbeats, and it serves for longer than a second.
	maxReadingGap = 3 * time.Second
	// maxReadingAge is up to which age a reading is one of the list as it is. It covers two readings that are missed.
	maxReadingAge = 1500 * time.Millisecond
)

// Seen are the versions of the engines of each service that a router has lately seen listed.
type Seen struct {
	// since is when the router began to see lists, its own readings or what others told it.
	since    time.Time
	services map[string]map[string]time.Time
	// unversioned are the services of which an engine was listed without a version.
	unversioned map[string]bool
	// readings are those that the router made itself, on a clock that continues while the VM is suspended.
	readings readings
}

// readings are consecutive readings of the list without a gap: the first one and the last one.
type readings struct{ first, last time.Duration }

// NewSeen returns the versions of a router that has seen no list.
func NewSeen() *Seen {
	return &Seen{services: map[string]map[string]time.Time{}, unversioned: map[string]bool{}}
}

// Observe records that an engine of a service is listed with a version now, empty if it reports none.
func (s *Seen) Observe(service, version string, now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
	if version == "" {
		s.unversioned[service] = true
		return
	}
	versions, ok := s.services[service]
	if !ok {
		versions = map[string]time.Time{}
		s.services[service] = versions
	}
	versions[version] = now
}

// Expire drops the versions that were not listed within the window.
func (s *Seen) Expire(now time.Time) {
	for service, versions := range s.services {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > Window })
		if len(versions) == 0 {
			delete(s.services, service)
		}
	}
}

// Versions returns the versions that may have begun a stream of a service, in order.
func (s *Seen) Versions(service string) []string {
	return slices.Sorted(maps.Keys(s.services[service]))
}

// Unversioned reports whether an engine of a service was listed that reports no version.
func (s *Seen) Unversioned(service string) bool { return s.unversioned[service] }

// Several reports whether engines of more than one version of a service may have begun streams.
func (s *Seen) Several(service string) bool { return len(s.services[service]) > 1 }

// Complete reports whether the router has seen lists for the whole window. They may be out of date.
func (s *Seen) Complete(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) >= Window
}

// RecordReading records that the router has observed the list as the store held it at a time, by a clock that continues
// while the VM is suspended: when the call to the store was made.
func (s *Seen) RecordReading(at time.Duration) {
	if s.readings.last == 0 || at-s.readings.last > maxReadingGap {
		s.readings.first = at
	}
	s.readings.last = max(s.readings.last, at)
}

// Current reports whether the router has read the list itself throughout the window and a moment ago, so that it has missed
// no version. What others tell it doesn't count: a message may have waited while this router was frozen or cut off.
func (s *Seen) Current(now time.Duration) bool {
	return s.readings.last != 0 && now-s.readings.last <= maxReadingAge && s.readings.last-s.readings.first >= Window
}

// Possible are the versions that may have begun a stream of which no router that was asked knows the beginning.
type Possible struct {
	Versions []string
	// Unversioned is set if engines are known that report no version.
	Unversioned bool
	// Complete is set if the router that knows them has seen lists for the whole window, though perhaps not the last ones.
	Complete bool
	// Current is set if no other version can have begun it, by what the store lists.
	Current bool
}

// Union returns the versions of two lists, in order.
func Union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// With returns what is possible by p and by what another router, or the store, knows.
func (p Possible) With(other Possible) Possible {
	return Possible{
		Versions: Union(p.Versions, other.Versions), Unversioned: p.Unversioned || other.Unversioned,
		Complete: p.Complete && other.Complete, Current: p.Current || other.Current,
	}
}

// Only returns the only version that can have begun the stream; empty if the known engines report none. ok is false if there may be
// others, so that the stream may not go on.
func (p Possible) Only() (version string, ok bool) {
	switch {
	case len(p.Versions) == 0:
		return "", p.Unversioned
	case len(p.Versions) == 1 && p.Current:
		return p.Versions[0], true
	default:
		return "", false
	}
}

// Agreed returns the only version that can have begun the stream while nobody reaches the store, so that no router learns
// of another one: p is what is possible by this router and all others that it has lately known. The same holds of ok as
// for Only.
func (p Possible) Agreed() (version string, ok bool) {
	if len(p.Versions) == 1 && p.Complete {
		return p.Versions[0], true
	}
	return p.Only()
}

const (
	// allKnow is the number of other routers up to which each is told of each stream.
	allKnow = 8
	// owners is the number of routers that are told of a stream where there are more, and maxAsked that of routers that are
	// asked: two more, in case the routers that were told are gone.
	owners   = 3
	maxAsked = owners + 2
)

// Told returns which of the other routers are told of a stream.
func Told(k Key, others []string) []string { return choose(k, others, owners) }

// Asked returns which of the other routers are asked for a stream.
func Asked(k Key, others []string) []string { return choose(k, others, maxAsked) }

// choose returns the routers with the highest weights for a key, by rendezvous hashing: if one leaves, the next takes
// its place, and all routers choose the same ones.
func choose(k Key, others []string, n int) []string {
	if len(others) <= allKnow {
		return others
	}
	weights := make(map[string]uint64, len(others))
	for _, addr := range others {
		weights[addr] = weight(k, addr)
	}
	sorted := slices.SortedFunc(slices.Values(others), func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return sorted[:n]
}

func weight(k Key, addr string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, addr)
	x := h.Sum64() ^ uint64(k)
	// The finalizer of SplitMix64: FNV alone orders similar addresses alike for all keys.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
