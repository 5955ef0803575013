package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
)

// poller polls the platform's table for changes. When an entry has not polled for long, since its process was
// suspended, its decisions wait for a poll.
type poller struct {
	reader *dissemination.Reader
	// overdueAfter is the time since the last attempt from which a decision waits for the next.
	overdueAfter time.Duration
	// callTimeout bounds the wait.
	callTimeout time.Duration

	start    time.Time
	polling  chan struct{} // holds one item during an attempt
	lastPoll atomic.Int64  // end of the last attempt, since start on the monotonic clock
}

func newPoller(r *dissemination.Reader, t Timing) *poller {
	return &poller{reader: r, overdueAfter: 2*t.Poll + t.PlatformCall, callTimeout: t.PlatformCall, polling: make(chan struct{}, 1), start: time.Now()}
}

// poll polls the table once, after any poll in progress.
func (p *poller) poll(ctx context.Context) error {
	p.polling <- struct{}{}
	defer func() { <-p.polling }()
	return p.pollLocked(ctx)
}

func (p *poller) pollLocked(ctx context.Context) error {
	defer func() { p.lastPoll.Store(int64(time.Since(p.start))) }()
	return p.reader.Poll(ctx)
}

func (p *poller) isOverdue() bool {
	return time.Since(p.start)-time.Duration(p.lastPoll.Load()) > p.overdueAfter
}

// refreshIfOverdue returns at once unless the last attempt is overdue. Otherwise it polls once: when the
// platform does not answer, the entry continues with its local state, which the sidecars bring up to date.
func (p *poller) refreshIfOverdue(ctx context.Context) error {
	if !p.isOverdue() {
		return nil
	}
	p.polling <- struct{}{}
	defer func() { <-p.polling }()
	if !p.isOverdue() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.pollLocked(ctx)
}
