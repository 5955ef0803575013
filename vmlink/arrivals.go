package vmlink

import (
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/decay"
)

// arrivalsTime is the time over which the rate of what arrives is averaged.
const arrivalsTime = 50 * time.Millisecond

// arrivals is the average rate at which bytes arrive. It is safe for concurrent use.
type arrivals struct {
	mu    sync.Mutex
	bytes decay.Rate
}

func (a *arrivals) add(n int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes.Add(float64(n), now, arrivalsTime)
}

// rate returns the average in bytes per second.
func (a *arrivals) rate(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes.PerSecond(now, arrivalsTime)
}
