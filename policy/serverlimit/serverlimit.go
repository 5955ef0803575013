// Package serverlimit keeps the requests of all routers together within the request rates that overloaded servers
// announce.
//
// Load pattern: two of three servers of a service that can take twenty calls per second announce in their answers that
// they take one and three, for some seconds or for minutes, while dozens of routers send to them. The limit applies to
// all routers together, as long as answers announce it, and ends with the first that does not.
//
// Every router holds a copy of one token bucket per server (policy/limit): it deducts its own requests at once, and
// those of others as soon as they are reported. Reports take some milliseconds, in which several routers may take the
// same tokens; then the bucket is in debt and all wait longer. To keep this rare with hundreds of routers, each waits
// for a random staggered delay of its own once the bucket has tokens again.
//
// Limits is deterministic under its seed, takes the time from its caller, and is not safe for concurrent use.
package serverlimit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
)

const (
	// minRate is the rate, in requests per second, at which a server that takes none is probed: only an answer shows
	// the end of its limit.
	minRate = 0.2
	// burst is the number of requests that may be sent at once after an idle time, and burstWindow the time whose
	// requests may be sent in addition: calls arrive unevenly, and the server's whole rate is to be used.
	burst       = 1
	burstWindow = 250 * time.Millisecond
	// stagger is the delay between two routers before they may take tokens that have become available: the time in
	// which the second receives the report of the first. All staggered delays together take at most maxStaggerShare of
	// the interval between two requests.
	stagger         = 4 * time.Millisecond
	maxStaggerShare = 0.5
	// endReportedFor is how long the end of a limit is reported to other routers, which may have missed it.
	endReportedFor = 10 * time.Second
)

// Limit is the rate limit that a server announces.
type Limit struct {
	// Limited is set if the server takes no more than PerSecond requests per second.
	Limited   bool
	PerSecond float64
}

// Valid reports whether a server can have announced l.
func (l Limit) Valid() bool {
	return l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0)
}

// Statement is a limit and the time at which it was announced. An answer that announces a limit counts from its
// arrival. One that announces none counts only from the sending of its request, since it may have been made before the
// server announced a limit in another answer.
type Statement struct {
	Limit
	At time.Time
}

// Limits is one router's local state of the limits of servers, and of the requests that all routers sent there.
type Limits struct {
	servers map[string]*server
	usage   *limit.SharedQuotas
	rng     *rand.Rand
	routers int
}

type server struct {
	latest Statement
	// staggerPosition is this router's position within the staggered delays of all routers, in [0, 1).
	staggerPosition float64
}

// New returns the limits of a process that starts now. Seeds differ between routers.
func New(seed uint64, now time.Time) *Limits {
	return &Limits{servers: map[string]*server{}, usage: limit.NewSharedQuotas(now).WithoutHeartbeats(), rng: rand.New(rand.NewPCG(seed, 0)), routers: 1}
}

// SetRouters sets the number of routers that send requests, this one included.
func (l *Limits) SetRouters(n int) { l.routers = max(n, 1) }

// Usage returns the quotas through which routers report to each other the requests that they sent to servers with
// limits.
func (l *Limits) Usage() *limit.SharedQuotas { return l.usage }

// Update records what a server announced, to this router or to another, and reports whether its limit has changed. A
// statement older than the latest one changes nothing.
func (l *Limits) Update(id string, st Statement, now time.Time) bool {
	s, known := l.servers[id]
	if !known && !st.Limited {
		return false
	}
	if !known {
		s = &server{}
		l.servers[id] = s
	}
	if st.At.Before(s.latest.At) {
		return false
	}
	before := s.latest.Limit
	s.latest = st
	if before == st.Limit {
		return false
	}
	if st.Limited {
		l.usage.Configure(id, s.terms(), now)
	}
	if !before.Limited {
		// The request whose answer announced the limit counts as a debt. All routers learn of the limit within the same
		// few milliseconds: with a full bucket all would take from it at once.
		l.usage.StartInDebt(id, 1, now)
		s.staggerPosition = l.rng.Float64()
	}
	return true
}

// terms returns the terms of the bucket shared by all routers.
func (s *server) terms() limit.Terms {
	rate := max(s.latest.PerSecond, minRate)
	return limit.Terms{Rate: rate, Burst: burst + rate*burstWindow.Seconds()}
}

// Count returns the number of servers with a limit.
func (l *Limits) Count() int {
	n := 0
	for _, s := range l.servers {
		if s.latest.Limited {
			n++
		}
	}
	return n
}

// LimitOf returns the limit of a server.
func (l *Limits) LimitOf(id string) Limit {
	if s, ok := l.servers[id]; ok {
		return s.latest.Limit
	}
	return Limit{}
}

// Wait returns how long to wait before sending a request to a server; zero if one may be sent now.
func (l *Limits) Wait(id string, now time.Time) time.Duration {
	s, ok := l.servers[id]
	if !ok || !s.latest.Limited {
		return 0
	}
	t := s.terms()
	maxStagger := min(time.Duration(l.routers-1)*stagger, bounded.Seconds(maxStaggerShare/t.Rate))
	return max(l.usage.TimeToAdmit(id, t, now)+time.Duration(s.staggerPosition*float64(maxStagger)), 0)
}

// Condition returns that the limit of a server is used up, and whether it is.
func (l *Limits) Condition(id string, now time.Time) (eligibility.Condition, bool) {
	wait := l.Wait(id, now)
	if wait == 0 {
		return eligibility.Condition{}, false
	}
	return eligibility.Condition{
		Reason: eligibility.RateLimit, Author: eligibility.Server, Since: l.servers[id].latest.At, Until: now.Add(wait),
	}, true
}

// Take reports whether a request may be sent to a server, and if so counts it.
func (l *Limits) Take(id string, now time.Time) bool {
	s, ok := l.servers[id]
	if !ok || !s.latest.Limited {
		return true
	}
	if l.Wait(id, now) > 0 || !l.usage.Admit(id, s.terms(), now, nil).Admitted {
		return false
	}
	s.staggerPosition = l.rng.Float64()
	return true
}

// Return refunds a request that was taken but not sent.
func (l *Limits) Return(id string, now time.Time) { l.usage.Return(id, 1, now) }

// Retain removes the servers for which known is false.
func (l *Limits) Retain(known func(id string) bool) {
	for id := range l.servers {
		if !known(id) {
			delete(l.servers, id)
		}
	}
	l.usage.Retain(known)
}

// ReportedLimit is one router's report of one server.
type ReportedLimit struct {
	ID string
	Statement
}

// Report returns the limits to report to other routers, including those that ended recently.
func (l *Limits) Report(now time.Time) []ReportedLimit {
	var out []ReportedLimit
	for id, s := range l.servers {
		if s.latest.Limited || now.Sub(s.latest.At) < endReportedFor {
			out = append(out, ReportedLimit{ID: id, Statement: s.latest})
		}
	}
	return out
}
