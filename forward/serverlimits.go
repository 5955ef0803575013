package forward

import (
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/policy/serverlimit"
)

// ServerLimits keep this router and all others together within the request rates that servers declare. It adds clocks
// and locking to policy/serverlimit and is safe for concurrent use.
type ServerLimits struct {
	// count is the number of servers with a limit; while it is zero, lookups need no lock.
	count atomic.Int64
	// changed is signalled when there are updates to report to other routers at once.
	changed chan struct{}

	mu     sync.Mutex
	limits *serverlimit.Limits
	// updates are servers whose limits have changed since they were last reported to the others.
	updates map[string]struct{}
}

// ServerLimitUpdates is one router's report about servers with limits.
type ServerLimitUpdates struct {
	Limits []serverlimit.ReportedLimit
	// Used is the number of requests sent there; Informed is that of limit.SharedQuotas.Report.
	Used     []limit.ReportedUsage
	Informed bool
}

func newServerLimits(router string) *ServerLimits {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(router)) // Writing to a hash never fails.
	return &ServerLimits{changed: make(chan struct{}, 1), limits: serverlimit.New(seed.Sum64(), time.Now()), updates: map[string]struct{}{}}
}

// Changed is signalled when Report has updates.
func (l *ServerLimits) Changed() <-chan struct{} { return l.changed }

// set takes a limit that a server declares, and reports whether it has changed.
func (l *ServerLimits) set(id string, perSecond float64) bool {
	now := time.Now()
	return l.update(id, serverlimit.Statement{Limit: serverlimit.Limit{Limited: true, PerSecond: perSecond}, At: now}, now)
}

// clear records that a server declares no limit in the answer to a request sent at the given time, and reports whether
// it had one.
func (l *ServerLimits) clear(id string, sent time.Time) bool {
	return l.count.Load() > 0 && l.update(id, serverlimit.Statement{At: sent}, time.Now())
}

func (l *ServerLimits) update(id string, st serverlimit.Statement, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limits.Update(id, st, now) {
		return false
	}
	l.updates[id] = struct{}{}
	l.updateCount()
	l.notify()
	return true
}

// updateCount must be called with mu held.
func (l *ServerLimits) updateCount() { l.count.Store(int64(l.limits.Count())) }

// notify must be called with mu held.
func (l *ServerLimits) notify() {
	notify.Send(l.changed)
}

// condition returns that the limit of a server is used up, and whether it is.
func (l *ServerLimits) condition(id string, now time.Time) (eligibility.Condition, bool) {
	if l.count.Load() == 0 {
		return eligibility.Condition{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Condition(id, now)
}

// take counts a request that is about to be sent to a server, and reports whether it may be sent.
func (l *ServerLimits) take(id string) bool {
	if l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := l.limits.Take(id, time.Now())
	if l.limits.Usage().UpdateDue(time.Now()) {
		l.notify()
	}
	return ok
}

// putBack undoes take for a request that is not sent.
func (l *ServerLimits) putBack(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Return(id, time.Now())
}

// limitOf returns the limit of a server.
func (l *ServerLimits) limitOf(id string) serverlimit.Limit {
	if l.count.Load() == 0 {
		return serverlimit.Limit{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.LimitOf(id)
}

// forget drops servers that known does not report.
func (l *ServerLimits) forget(known func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Retain(known)
	l.updateCount()
}

// Report returns what to report to other routers: only updates since the last call if changes is set, everything
// otherwise. An update is sent once, in a datagram; a lost one is made up for by the next full report.
func (l *ServerLimits) Report(changes bool) ServerLimitUpdates {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var out ServerLimitUpdates
	for _, t := range l.limits.Report(now) {
		if _, pending := l.updates[t.ID]; pending || !changes {
			out.Limits = append(out.Limits, t)
		}
	}
	if changes {
		clear(l.updates)
	}
	out.Used, out.Informed = l.limits.Usage().Report(changes, now)
	return out
}

// Receive takes a report from the router at an address: everything if all is set, updates from a datagram otherwise.
func (l *ServerLimits) Receive(addr string, incarnation uint64, all bool, updates ServerLimitUpdates) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, t := range updates.Limits {
		l.limits.Update(t.ID, t.Statement, now)
	}
	l.updateCount()
	l.limits.Usage().Receive(addr, incarnation, updates.Informed, all, updates.Used, now)
}

// CheckMembers checks for routers that no longer report, given the number of routers and their report interval.
func (l *ServerLimits) CheckMembers(routers int, interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.SetRouters(routers)
	l.limits.Usage().SetReportInterval(interval)
	l.limits.Usage().CheckMembers(time.Now())
}

// MarkUnresponsive records that the router at an address does not answer.
func (l *ServerLimits) MarkUnresponsive(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Usage().MarkUnresponsive(addr, time.Now())
}
