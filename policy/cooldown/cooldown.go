// Package cooldown makes one router back off from servers that asked it for a cooldown (Retry-After).
//
// Load pattern: two of nine engines reject most requests for a quarter of a minute, and each rejection says for how long
// its router should send nothing. Their memory is free meanwhile, so a router that goes by free memory alone, or takes the
// rejection for something else, sends there again within milliseconds. Each such attempt takes a retry from the shared
// budget and delays its request.
//
// Each cooldown lasts for its own time, even if a later rejection asks for a shorter one, and applies only to the router
// that received it.
//
// Cooldowns takes the time from its caller and is not safe for concurrent use.
package cooldown

import (
	"maps"
	"time"
)

// Cooldowns holds the cooldowns that servers asked one router for.
type Cooldowns struct{ until map[string]time.Time }

// New returns empty Cooldowns.
func New() *Cooldowns { return &Cooldowns{until: map[string]time.Time{}} }

// Record records that a server has asked for a cooldown now.
func (c *Cooldowns) Record(id string, duration time.Duration, now time.Time) {
	if until := now.Add(duration); until.After(c.until[id]) {
		c.until[id] = until
	}
}

// Remaining returns how long a server is still to be sent nothing; zero if it has no cooldown.
func (c *Cooldowns) Remaining(id string, now time.Time) time.Duration {
	return max(c.until[id].Sub(now), 0)
}

// Forget drops cooldowns that are over, and servers for which known returns false.
func (c *Cooldowns) Forget(known func(id string) bool, now time.Time) {
	maps.DeleteFunc(c.until, func(id string, until time.Time) bool { return !known(id) || !now.Before(until) })
}

// Len returns the number of cooldowns held.
func (c *Cooldowns) Len() int { return len(c.until) }
