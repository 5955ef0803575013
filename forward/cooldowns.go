package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/cooldown"
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
	if c.count.Load() == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Remaining(id, time.Now())
}

// forget drops expired cooldowns, and servers that known does not report.
func (c *cooldowns) forget(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Forget(known, time.Now())
	c.count.Store(int64(c.tracker.Len()))
}
