// Package decay averages rates over time, the latest events most.
package decay

import (
	"math"
	"time"
)

// Rate is an exponentially decaying average of a rate. The zero Rate is ready to use. It is not safe for concurrent use; all its calls
// take the same time constant.
type Rate struct {
	value float64
	at    time.Time
}

// Add counts an event of some weight.
func (r *Rate) Add(weight float64, now time.Time, timeConstant time.Duration) {
	r.value = r.PerSecond(now, timeConstant) + weight/timeConstant.Seconds()
	r.at = now
}

// PerSecond returns the average, in weight per second.
func (r *Rate) PerSecond(now time.Time, timeConstant time.Duration) float64 {
	return r.value * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(timeConstant))
}
