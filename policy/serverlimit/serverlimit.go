// Package serverlimit keeps routers, all together, to the requests a second that servers in need name.
//
// Load pattern: two of three servers of a service that bears twenty calls a second say in their answers that they take
// one and three, for some seconds or for minutes, while dozens of routers send to them. The limit is that of all routers,
// holds for as long as answers name it, and ends with the first that does not.
//
// Every router keeps the bucket of all (policy/limit): it takes from it what it sends itself at once, and what others
// send as soon as it hears of it. The routers hear of each other within milliseconds, in which several of them may take
// the same request's worth; then the bucket is in debt and all wait longer. So that this stays rare before hundreds of
// routers, each waits for a turn of its own once the bucket has something again.
//
// Limits is deterministic under its seed, takes the time from its caller, and is not safe for concurrent use.
package serverlimit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/limit"
)

const (
	// least is the rate, in requests a second, at which a server is asked that takes none: the end of its limit is
	// seen in an answer alone.
	least = 0.2
	// burst is the requests that may be sent at once after a pause, and burstFor the time whose requests may be besides:
	// calls come unevenly, and what a server takes is to be used.
	burst    = 1
	burstFor = 250 * time.Millisecond
	// turn is how much later than the one before it a router may take what has become free: the time in which it hears
	// of the other. Together they take turnsShare of the pause between two requests at most.
	turn       = 4 * time.Millisecond
	turnsShare = 0.5
	// endToldFor is how long the end of a limit is told to others, who may have missed it.
	endToldFor = 10 * time.Second
)

// Limit is what a server said that it takes.
type Limit struct {
	// Limited is set if it takes no more than PerSecond requests a second.
	Limited   bool
	PerSecond float64
}

// Valid reports whether a server can have said l.
func (l Limit) Valid() bool {
	return l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0)
}

// Statement is a limit at a time. An answer names one as of its arrival. It tells that there is none as of the sending of its
// request only, since it may have been made before the server named one in another answer.
type Statement struct {
	Limit
	At time.Time
}

// Limits is what one router knows of the limits of servers, and of what all routers sent there.
type Limits struct {
	servers map[string]*server
	used    *limit.SharedQuotas
	rng     *rand.Rand
	routers int
}

type server struct {
	latest Statement
	// turn is this router's share of the time that the turns of all take, in [0, 1).
	turn float64
}

// New returns the limits of a process that starts now. Seeds differ between routers.
func New(seed uint64, now time.Time) *Limits {
	return &Limits{servers: map[string]*server{}, used: limit.NewSharedQuotas(now).WithoutHeartbeats(), rng: rand.New(rand.NewPCG(seed, 0)), routers: 1}
}

// SetRouters takes the number of routers that send requests, this one included.
func (l *Limits) SetRouters(n int) { l.routers = max(n, 1) }

// Usage is what routers tell each other of the requests that they sent to servers with limits.
func (l *Limits) Usage() *limit.SharedQuotas { return l.used }

// Update takes what a server said, to this router or to another, and reports whether its limit has changed. What is older
// than what is known changes nothing.
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
		l.used.Configure(id, s.terms(), now)
	}
	if !before.Limited {
		// The request is owed whose answer named the limit. Every router learns of it in the same few milliseconds: with a
		// full bucket all would take from it at once.
		l.used.StartInDebt(id, 1, now)
		s.turn = l.rng.Float64()
	}
	return true
}

// terms are those of the bucket of all routers.
func (s *server) terms() limit.Terms {
	rate := max(s.latest.PerSecond, least)
	return limit.Terms{Rate: rate, Burst: burst + rate*burstFor.Seconds()}
}

// Count is the number of servers with a limit.
func (l *Limits) Count() int {
	n := 0
	for _, s := range l.servers {
		if s.latest.Limited {
			n++
		}
	}
	return n
}

// LimitOf is the limit of a server.
func (l *Limits) LimitOf(id string) Limit {
	if s, ok := l.servers[id]; ok {
		return s.latest.Limit
	}
	return Limit{}
}

// Wait is how long a server is to be sent no request; zero if it may be sent one now.
func (l *Limits) Wait(id string, now time.Time) time.Duration {
	s, ok := l.servers[id]
	if !ok || !s.latest.Limited {
		return 0
	}
	t := s.terms()
	all := min(time.Duration(l.routers-1)*turn, time.Duration(turnsShare/t.Rate*float64(time.Second)))
	return max(l.used.TimeToAdmit(id, t, now)+time.Duration(s.turn*float64(all)), 0)
}

// Take notes a request that is sent to a server, and reports whether it may be.
func (l *Limits) Take(id string, now time.Time) bool {
	s, ok := l.servers[id]
	if !ok || !s.latest.Limited {
		return true
	}
	if l.Wait(id, now) > 0 || !l.used.Admit(id, s.terms(), now, nil).Admitted {
		return false
	}
	s.turn = l.rng.Float64()
	return true
}

// Return notes that a request that was taken was not sent.
func (l *Limits) Return(id string, now time.Time) { l.used.Return(id, 1, now) }

// Retain drops servers that known does not name.
func (l *Limits) Retain(known func(id string) bool) {
	for id := range l.servers {
		if !known(id) {
			delete(l.servers, id)
		}
	}
	l.used.Retain(known)
}

// ReportedLimit is what is told of one server.
type ReportedLimit struct {
	ID string
	Statement
}

// Report returns the limits that other routers are to know, and those that ended a while ago.
func (l *Limits) Report(now time.Time) []ReportedLimit {
	var out []ReportedLimit
	for id, s := range l.servers {
		if s.latest.Limited || now.Sub(s.latest.At) < endToldFor {
			out = append(out, ReportedLimit{ID: id, Statement: s.latest})
		}
	}
	return out
}
