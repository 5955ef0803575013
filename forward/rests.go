package forward

import (
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/rest"
)

// rests are servers that have asked this router for rest. It joins policy/rest to clocks and is safe for concurrent use.
type rests struct {
	mu    sync.Mutex
	rests *rest.Rests
}

func newRests() *rests { return &rests{rests: rest.New()} }

func (r *rests) asked(id string, rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rests.Asked(id, rest, time.Now())
}

func (r *rests) left(id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rests.Left(id, time.Now())
}

func (r *rests) forget(known func(id string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rests.Forget(known, time.Now())
}
