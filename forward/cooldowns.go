package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/cooldown"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
)

// cooldowns are the cooldowns that servers have asked this router for. It adds clocks and locking to policy/cooldown
// and is safe for concurrent use.
type cooldowns struct {
	// count is the number of cooldowns kept; while it is zero, lookups need no lock.
	count atomic.Int64

	mu      sync.Mutex
	tracker *cooldown.Cooldowns
}

func newCooldowns() *cooldowns { return &cooldowns{tracker: cooldown.New()} }

// requested records that a server has just asked for a cooldown.
func (c *cooldowns) requested(id string, period time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Record(id, period, time.Now())
	c.count.Store(int64(c.tracker.Len()))
}

// remaining is how much longer a server is to be sent nothing; zero if it is in no cooldown.
func (c *cooldowns) remaining(id string) time.Duration {
	now := time.Now()
	if cond, ok := c.condition(id, now); ok {
		return cond.Until.Sub(now)
	}
	return 0
}

// condition returns the cooldown of a server, and whether there is one.
func (c *cooldowns) condition(id string, now time.Time) (eligibility.Condition, bool) {
	if c.count.Load() == 0 {
		return eligibility.Condition{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Condition(id, now)
}

// forget drops expired cooldowns, and servers that known does not report.
func (c *cooldowns) forget(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Forget(known, time.Now())
	c.count.Store(int64(c.tracker.Len()))
}
