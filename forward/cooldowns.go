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
	tracker *cooldown.Rests
}

func newCooldowns() *cooldowns { return &cooldowns{tracker: cooldown.New()} }

// requested records that a server has just asked for a cooldown.
func (r *cooldowns) requested(id string, period time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Asked(id, period, time.Now())
	r.count.Store(int64(r.tracker.Len()))
}

// remaining is how much longer a server is to be sent nothing; zero if it is in no cooldown.
func (r *cooldowns) remaining(id string) time.Duration {
	if r.count.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Left(id, time.Now())
}

// forget drops expired cooldowns, and servers that known does not report.
func (r *cooldowns) forget(known func(id string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Forget(known, time.Now())
	r.count.Store(int64(r.tracker.Len()))
}
