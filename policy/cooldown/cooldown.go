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

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
)

// Cooldowns holds the cooldowns that servers asked one router for.
type Cooldowns struct{ servers map[string]period }

// period is from when until when a server is to be sent nothing.
type period struct{ since, until time.Time }

// left is the rest of the period; zero if it is over.
func (p period) left(now time.Time) time.Duration { return max(p.until.Sub(now), 0) }

// New returns empty Cooldowns.
func New() *Cooldowns { return &Cooldowns{servers: map[string]period{}} }

// Record records that a server has asked for a cooldown now.
func (c *Cooldowns) Record(id string, duration time.Duration, now time.Time) {
	p := c.servers[id]
	if !now.Before(p.until) {
		p.since = now
	}
	if until := now.Add(duration); until.After(p.until) {
		p.until = until
	}
	c.servers[id] = p
}

// Remaining returns how long a server is still to be sent nothing; zero if it has no cooldown.
func (c *Cooldowns) Remaining(id string, now time.Time) time.Duration {
	return c.servers[id].left(now)
}

// Condition returns the cooldown of a server, and whether there is one.
func (c *Cooldowns) Condition(id string, now time.Time) (eligibility.Condition, bool) {
	p := c.servers[id]
	return eligibility.Condition{Reason: eligibility.Cooldown, Author: eligibility.Server, Since: p.since, Until: p.until}, p.left(now) > 0
}

// Forget drops cooldowns that are over, and servers for which known returns false.
func (c *Cooldowns) Forget(known func(id string) bool, now time.Time) {
	maps.DeleteFunc(c.servers, func(id string, p period) bool { return !known(id) || p.left(now) == 0 })
}

// Len returns the number of cooldowns held.
func (c *Cooldowns) Len() int { return len(c.servers) }
