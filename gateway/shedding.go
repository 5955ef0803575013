package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/internal/scheddelay"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/shedding"
	"github.com/hibiscusspur/hibiscusspur/vmlink"
)

// connectionLimit limits new connections while most callers come to this gateway and its processor is overloaded. It
// connects policy/shedding to clocks and is safe for concurrent use.
type connectionLimit struct {
	log *log.Logger
	met *metrics.Set
	// link is the network link of this VM; nil has no limit.
	link *vmlink.Link

	// came holds a token once a connection has come.
	came chan struct{}

	mu      sync.Mutex
	limiter *shedding.Limiter
	reads   shedding.Reads
	// lateBodies returns the number of long bodies that are not read as fast as they come; nil means none.
	lateBodies func() int
	// rejecting is set while connections are logged as rejected; closed counts those.
	rejecting bool
	closed    int
}

func newConnectionLimit(l *log.Logger, m *metrics.Set, link *vmlink.Link) *connectionLimit {
	return &connectionLimit{log: l, met: m, link: link, came: make(chan struct{}, 1), limiter: shedding.New()}
}

// setLateBodies sets what returns the number of long bodies that are not read as fast as they come.
func (c *connectionLimit) setLateBodies(lateBodies func() int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateBodies = lateBodies
}

// accept reports whether to accept a new connection. It returns a function to call once its first request was received.
func (c *connectionLimit) accept() (received func(), ok bool) {
	notify.Send(c.came)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.limiter.Accept(now, c.work(now)) {
		c.closed++
		c.met.Counter(metrics.ConnectionsShed).Inc(1)
		return nil, false
	}
	c.met.Counter(metrics.ConnectionsAccepted).Inc(1)
	read := c.reads.Begin(now)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		read.End()
	}, true
}

// work returns what this gateway has in hand. The caller holds mu.
func (c *connectionLimit) work(now time.Time) shedding.Work {
	lateBodies := 0
	if c.lateBodies != nil {
		lateBodies = c.lateBodies()
	}
	return shedding.Work{
		Reading: c.reads.Count(now), LateBodies: lateBodies,
		SendTime:     c.link.SendTime(),
		ReceivesFull: c.link.ReceivesFull(), ReceiveTime: c.link.ReceiveTime(),
	}
}

// isRejecting reports whether new connections are rejected. Each connection then carries one request, so that the limit
// bounds the requests.
func (c *connectionLimit) isRejecting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.Rejecting(time.Now())
}

// isUnresponsive reports whether requests wait so long for the processor or the link that they are not answered in time.
func (c *connectionLimit) isUnresponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.limiter.Unresponsive(now, c.work(now))
}

// probe measures how long this process waits for the processor until ctx ends, as long as connections come. If it can't,
// nothing is limited.
func (c *connectionLimit) probe(ctx context.Context) {
	p, err := scheddelay.New()
	if err != nil {
		event.ProbeFailed.Log(c.log).Err(err).Msg("")
		return
	}
	defer p.Close()
	for c.awaitWork(ctx) {
		c.begin()
		delay, err := p.Measure()
		c.observe(delay)
		if err != nil {
			c.stop()
			event.ProbeFailed.Log(c.log).Err(err).Msg("")
			return
		}
		sleep.For(ctx, c.interval())
	}
}

// awaitWork blocks until a probe is needed and returns true, or until ctx ends.
func (c *connectionLimit) awaitWork(ctx context.Context) bool {
	c.mu.Lock()
	idle := c.limiter.Idle() && !c.rejecting
	c.mu.Unlock()
	if idle {
		select {
		case <-c.came:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

func (c *connectionLimit) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.Interval()
}

func (c *connectionLimit) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.BeginProbe(time.Now())
}

func (c *connectionLimit) observe(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.ObserveDelay(delay, time.Now())
	c.met.Gauge(metrics.SchedulingDelay).Update(c.limiter.Delay().Microseconds())
	if c.limiter.Rejecting(time.Now()) == c.rejecting {
		return
	}
	if c.rejecting = !c.rejecting; c.rejecting {
		work := c.work(time.Now())
		event.ConnectionsLimited.Log(c.log).Float64("rate", c.limiter.Rate()).Float64("usual", c.limiter.Usual()).Dur("delay", c.limiter.Delay()).
			Int("late_bodies", work.LateBodies).Int("reading", work.Reading).Dur("receive", work.ReceiveTime).Dur("send", work.SendTime).Msg("")
		return
	}
	event.ConnectionsUnlimited.Log(c.log).Int("closed", c.closed).Msg("")
	c.closed = 0
}

// stop ends the limit, which can't be adapted without probes.
func (c *connectionLimit) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter, c.rejecting = shedding.New(), false
}
