// Package cooldown keeps one router away from servers that have asked it for rest.
//
// Load pattern: two of nine engines turn most of what reaches them away for a quarter of a minute, and say with each
// refusal for how long they want nothing from the router that asked. Their memory is free meanwhile, so that whoever goes by
// memory alone, or takes the refusal for something else, sends there again within milliseconds. Each such send takes a part of
// the repeats of all, and the request's time.
//
// Each refusal holds for its own time, whatever later ones say, and for its router alone.
//
// Cooldowns takes the time from its caller and is not safe for concurrent use.
package cooldown

import (
	"maps"
	"time"
)

// Cooldowns are the rests that servers asked one router for.
type Cooldowns struct{ until map[string]time.Time }

// New returns no rests.
func New() *Cooldowns { return &Cooldowns{until: map[string]time.Time{}} }

// Record notes that a server has asked for rest now.
func (r *Cooldowns) Record(id string, rest time.Duration, now time.Time) {
	if until := now.Add(rest); until.After(r.until[id]) {
		r.until[id] = until
	}
}

// Remaining is how long a server is to be sent nothing still; zero if it may be.
func (r *Cooldowns) Remaining(id string, now time.Time) time.Duration {
	return max(r.until[id].Sub(now), 0)
}

// Forget drops rests that are over, and servers that known does not name.
func (r *Cooldowns) Forget(known func(id string) bool, now time.Time) {
	maps.DeleteFunc(r.until, func(id string, until time.Time) bool { return !known(id) || !now.Before(until) })
}

// Len is the number of rests that are kept.
func (r *Cooldowns) Len() int { return len(r.until) }
