package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHeartbeatSchedule(t *testing.T) {
	const interval, idle = 250 * time.Millisecond, 10 * time.Second
	for _, c := range []struct {
		name   string
		active func(tick int) bool
		sent   func(tick int) bool
		ticks  int
		want   int // heartbeats
	}{
		{"active without other frames", always, never, 40, 40},
		{"active with other frames", always, always, 40, 0},
		{"idle", never, never, 4 * 60, 7 + 1 + 5},
		{"idle from tick 20", func(i int) bool { return i < 20 }, never, 40, 20 + 7 + 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			schedule := heartbeatSchedule{active: true, lastSent: now}
			got := 0
			for i := range c.ticks {
				now = now.Add(interval)
				schedule.sent = c.sent(i)
				if schedule.due(now, c.active(i), interval, interval, idle) {
					got++
				}
			}
			assert.Equal(t, got, c.want)
		})
	}
}

func always(int) bool { return true }
func never(int) bool  { return false }
