// Package clock reads the clock that keeps running while a VM is suspended. Go's monotonic clock stops during
// a suspension, so time limits that must hold across one are checked against this clock.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Uptime is the time since the VM was booted, including time spent suspended.
func Uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("clock: no boot-time clock: %v", err))
	}
	return time.Duration(ts.Nano())
}
