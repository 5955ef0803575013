package proofs

import (
	"time"

	"golang.org/x/sys/unix"
)

// quotaPeriod is the period of a processor quota, quotaTick the interval at which the time used is looked at.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaTick   = 500 * time.Microsecond
)

// limitProcessor gives a process a quota of the processor until the returned function is called: in each period it runs
// at full speed until it has used share of the period, and is then stopped for the rest. What it used beyond that is
// taken off the next period.
func (p *process) limitProcessor(share float64) (end func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		p.enforceQuota(time.Duration(share*float64(quotaPeriod)), stop)
	}()
	return func() {
		close(stop)
		<-done
	}
}

func (p *process) enforceQuota(quota time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(quotaTick)
	defer tick.Stop()
	pid, stopped := 0, false
	var periodEnd time.Time
	var allowed time.Duration
	for {
		select {
		case <-stop:
			if stopped {
				p.thaw()
			}
			return
		case <-tick.C:
		}
		if p.pid() != pid {
			pid, stopped, periodEnd = p.pid(), false, time.Time{}
		}
		used, ok := processorTime(pid)
		if !ok {
			continue
		}
		if now := time.Now(); !now.Before(periodEnd) {
			if periodEnd.IsZero() {
				allowed = used
			}
			// Time that was not used in a period is lost.
			allowed, periodEnd = min(used, allowed)+quota, now.Add(quotaPeriod)
		}
		if exhausted := used >= allowed; exhausted != stopped {
			if stopped = exhausted; stopped {
				p.freeze()
			} else {
				p.thaw()
			}
		}
	}
}

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, bool) {
	// The clock of the processor time of another process, see clock_getcpuclockid(3).
	const schedClock = 2
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|schedClock), &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
