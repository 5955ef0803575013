package forward

import (
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/policy/serverlimit"
)

// ServerLimits keep this router and all others together to what servers say that they take. It joins policy/serverlimit to
// clocks and is safe for concurrent use.
type ServerLimits struct {
	// count is the number of servers with a limit, so that the others need not be looked at.
	count atomic.Int64
	// changed is sent to when other routers are to be told at once.
	changed chan struct{}

	mu     sync.Mutex
	limits *serverlimit.Limits
	// news are servers of whose limits the others have to be told.
	news map[string]struct{}
}

// ServerLimitNews is what one router tells of servers with limits.
type ServerLimitNews struct {
	Limits []serverlimit.ReportedLimit
	// Used is what was sent there; Informed is that of limit.SharedQuotas.Report.
	Used     []limit.ReportedUsage
	Informed bool
}

func newServerLimits(router string) *ServerLimits {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(router)) // A hash takes everything.
	return &ServerLimits{changed: make(chan struct{}, 1), limits: serverlimit.New(seed.Sum64(), time.Now()), news: map[string]struct{}{}}
}

// Changed is sent to when Tell has news.
func (l *ServerLimits) Changed() <-chan struct{} { return l.changed }

// name takes a limit that a server names, and reports whether it has changed.
func (l *ServerLimits) name(id string, perSecond float64) bool {
	now := time.Now()
	return l.update(id, serverlimit.Statement{Limit: serverlimit.Limit{Limited: true, PerSecond: perSecond}, At: now}, now)
}

// end takes that a server names no limit in the answer to a request that was sent at a time, and reports whether it had one.
func (l *ServerLimits) end(id string, sent time.Time) bool {
	return l.count.Load() > 0 && l.update(id, serverlimit.Statement{At: sent}, time.Now())
}

func (l *ServerLimits) update(id string, st serverlimit.Statement, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limits.Update(id, st, now) {
		return false
	}
	l.news[id] = struct{}{}
	l.recount()
	l.wake()
	return true
}

// recount is called with mu held.
func (l *ServerLimits) recount() { l.count.Store(int64(l.limits.Count())) }

// wake is called with mu held.
func (l *ServerLimits) wake() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// wait is how long a server is to be sent no request; zero if it may be sent one now.
func (l *ServerLimits) wait(id string) time.Duration {
	if l.count.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Wait(id, time.Now())
}

// take notes a request that is about to be sent to a server, and reports whether it may be.
func (l *ServerLimits) take(id string) bool {
	if l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := l.limits.Take(id, time.Now())
	if l.limits.Usage().UpdateDue(time.Now()) {
		l.wake()
	}
	return ok
}

// giveBack notes that a request that was taken is not sent.
func (l *ServerLimits) giveBack(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Return(id, time.Now())
}

// of is the limit of a server.
func (l *ServerLimits) of(id string) serverlimit.Limit {
	if l.count.Load() == 0 {
		return serverlimit.Limit{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.LimitOf(id)
}

// forget drops servers that known does not name.
func (l *ServerLimits) forget(known func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Retain(known)
	l.recount()
}

// Tell returns what other routers are to know: with changes what they were not told yet, without all. Told in a datagram,
// it is told once; a report makes good for one that was lost.
func (l *ServerLimits) Tell(changes bool) ServerLimitNews {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var out ServerLimitNews
	for _, t := range l.limits.Report(now) {
		if _, news := l.news[t.ID]; news || !changes {
			out.Limits = append(out.Limits, t)
		}
	}
	if changes {
		clear(l.news)
	}
	out.Used, out.Informed = l.limits.Usage().Report(changes, now)
	return out
}

// Hear takes what the router at an address told, in a report, which names all, or in a datagram.
func (l *ServerLimits) Hear(addr string, incarnation uint64, all bool, news ServerLimitNews) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, t := range news.Limits {
		l.limits.Update(t.ID, t.Statement, now)
	}
	l.recount()
	l.limits.Usage().Receive(addr, incarnation, news.Informed, all, news.Used, now)
}

// Refresh looks for routers that have fallen silent, of so many that exchange reports with that pause.
func (l *ServerLimits) Refresh(routers int, pace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.SetRouters(routers)
	l.limits.Usage().SetReportInterval(pace)
	l.limits.Usage().CheckMembers(time.Now())
}

// Lost notes that the router at an address does not answer.
func (l *ServerLimits) Lost(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Usage().MarkUnresponsive(addr, time.Now())
}
