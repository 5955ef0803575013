package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/cooldown"
)

// rests are servers that have asked this router for rest. It joins policy/cooldown to clocks and is safe for concurrent use.
type rests struct {
	// count is the number of rests that are kept, so that the others need not be looked at.
	count atomic.Int64

	mu    sync.Mutex
	rests *cooldown.Cooldowns
}

func newRests() *rests { return &rests{rests: cooldown.New()} }

// asked notes that a server has asked for rest now.
func (r *rests) asked(id string, rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rests.Record(id, rest, time.Now())
	r.count.Store(int64(r.rests.Len()))
}

// left is how long a server is to be sent nothing still; zero if it may be.
func (r *rests) left(id string) time.Duration {
	if r.count.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rests.Remaining(id, time.Now())
}

// forget drops rests that are over, and servers that known does not name.
func (r *rests) forget(known func(id string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rests.Forget(known, time.Now())
	r.count.Store(int64(r.rests.Len()))
}
