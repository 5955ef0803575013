// Package shedding decides which new connections a router accepts while it gets more than its processor bears (load
// shedding). A connection that is closed before anything is read of it costs its client one round trip to another
// router; a request that is read and then waits for the processor costs it its deadline.
//
// The sign of an overload is how long a goroutine waits for the processor once it has something to do (scheduling
// delay), measured by probes. Late timers are no such sign: a processor that is handed out in slices stops the process for
// most of the time, whatever it has to do.
//
// A Limiter compares the rate of new connections with the usual one. While it is much higher and the processor is overloaded,
// it accepts connections at a rate that falls by a factor and rises by steps (additive increase, multiplicative decrease). An
// overload at the usual rate limits nothing: the callers' next choice would be no better. Besides, only a bounded number is
// accepted while one probe waits, from the first connection on.
//
// A rate in connections knows nothing of what a request costs. So while the VM's network link has no room, or long bodies are read
// more slowly than they come, the work in hand is bounded too: few requests are read at the same time, and the link needs only so
// long for them.
//
// Whatever else holds, a connection is accepted if none was for MaxPause, or MaxLinkPause while the link has too much in hand.
//
// It is a pure state machine and not safe for concurrent use.
package shedding

import (
	"math"
	"time"
)

// MaxPause is the longest time between two connections that are accepted, while more come.
const MaxPause = time.Second

const (
	// probeInterval is the interval between two probes while many connections come, window the time over which probes
	// are taken together.
	probeInterval = 20 * time.Millisecond
	window        = 200 * time.Millisecond
	// maxDelay bounds what one probe counts, so that a pause of the process is no overload; minProbes is the number of probes
	// that a window needs for the same reason.
	maxDelay  = 100 * time.Millisecond
	minProbes = 3
	// overloadDelay is the mean delay of probes from which the processor is overloaded. A request waits for the processor
	// several times.
	overloadDelay = 40 * time.Millisecond
	// maxPerProbe bounds the connections that are accepted from one probe to the next, beyond the usual ones, while probes
	// wait for longer than overloadDelay. The bound falls, down to minPerProbe, while they wait for longer than targetDelay.
	// At least minCredit of them may be saved up.
	maxPerProbe, minPerProbe = 16, 0.1
	perProbeIncrease         = 1.03
	minCredit                = 1.5
	targetDelay              = 100 * time.Millisecond
	// gatheredFactor is how many times the usual rate is too much if the processor is overloaded, minGatheredRate the
	// rate in connections per second below which it never is.
	gatheredFactor  = 2
	minGatheredRate = 20
	// usualTime is the time over which the usual rate is averaged.
	usualTime = 10 * time.Second
	// The rate falls by the factor by which the delay is too long in each window with an overload, minDecrease to maxDecrease,
	// and rises by the factor increase and by step, in connections per second, otherwise. It stays above minShare of the
	// usual one.
	minDecrease, maxDecrease = 0.4, 0.8
	increase, step           = 1.05, 1
	minShare                 = 0.5
	// releaseTime is how long no connection must have been rejected until all are accepted again.
	releaseTime = 2 * time.Second
	// rejectingTime is how long after a connection was rejected others are closed after their answers.
	rejectingTime = time.Second
	// unresponsiveDelay is the delay of a probe from which requests are not answered in time.
	unresponsiveDelay = time.Second
)

// Limiter limits the rate of new connections.
type Limiter struct {
	// rate is in connections per second; infinite while all are accepted. usual is the mean rate while they are.
	rate, usual float64
	// tokens are the connections that may be accepted now, as of refilled.
	tokens                     float64
	refilled                   time.Time
	lastRejected, lastAccepted time.Time
	// probing is set while many connections come, so that probes are made often.
	probing bool
	// probeBegun is when the latest probe began, probeWaits is set while it waits.
	probeBegun time.Time
	probeWaits bool
	// perProbe bounds the connections that are accepted from one probe to the next, credit is how many of them are left.
	perProbe, credit float64
	// acceptedRate and meanDelay are those of the previous window, lastDelay is that of the latest probe.
	acceptedRate         float64
	meanDelay, lastDelay time.Duration
	// windowStart, delays, probes and accepted describe the current window; delays is the sum over its probes.
	windowStart time.Time
	delays      time.Duration
	probes      int
	accepted    int
}

// New returns a Limiter that accepts all connections.
func New() *Limiter { return &Limiter{rate: math.Inf(1), perProbe: maxPerProbe, credit: maxPerProbe} }

// Limited reports whether the rate is limited.
func (l *Limiter) Limited() bool { return !math.IsInf(l.rate, 1) }

// Rejecting reports whether connections are rejected: the rate is limited, or one was rejected a short time ago.
func (l *Limiter) Rejecting(now time.Time) bool {
	return l.Limited() || !l.lastRejected.IsZero() && now.Sub(l.lastRejected) < rejectingTime
}

// Rate returns the rate at which connections are accepted, in connections per second: the limit, or that of the latest
// window if it is lower.
func (l *Limiter) Rate() float64 { return min(l.rate, l.acceptedRate) }

// Usual returns the mean rate of connections while it is not limited, in connections per second.
func (l *Limiter) Usual() float64 { return l.usual }

// Delay returns the mean delay of the probes of the latest window.
func (l *Limiter) Delay() time.Duration { return l.meanDelay }

// Unresponsive reports whether requests wait so long for the processor or the link that they are not answered in time.
func (l *Limiter) Unresponsive(now time.Time, w Work) bool {
	return l.delayAt(now) >= unresponsiveDelay || w.linkUnresponsive()
}

// delayAt is the delay of the latest probe, or how long it has waited by now if that is longer than the one before it.
func (l *Limiter) delayAt(now time.Time) time.Duration {
	if l.probeWaits {
		return max(now.Sub(l.probeBegun), l.lastDelay)
	}
	return l.lastDelay
}

// Idle reports whether no probe is needed before the next connection comes.
func (l *Limiter) Idle() bool {
	return !l.probing && !l.Limited() && l.perProbe >= maxPerProbe && l.lastDelay < overloadDelay
}

// Interval returns how long to wait before the next probe.
func (l *Limiter) Interval() time.Duration {
	if l.probing {
		return probeInterval
	}
	return window
}

// BeginProbe records that a probe has begun to wait for the processor.
func (l *Limiter) BeginProbe(now time.Time) {
	usual := 0.0
	if !l.probeBegun.IsZero() {
		usual = l.usual * now.Sub(l.probeBegun).Seconds()
	}
	l.credit = min(l.credit+l.perProbe+usual, max(l.perProbe+usual, minCredit))
	l.probeBegun, l.probeWaits = now, true
}

// ObserveDelay takes how long a probe waited for the processor.
func (l *Limiter) ObserveDelay(delay time.Duration, now time.Time) {
	l.adjustPerProbe(min(delay, l.lastDelay))
	l.probeWaits, l.lastDelay = false, delay
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.delays += min(delay, maxDelay)
	l.probes++
	length := now.Sub(l.windowStart)
	if length <= 0 || l.probing && (length < window || l.probes < minProbes) {
		return
	}
	l.endWindow(length, now)
}

// adjustPerProbe adjusts the bound to the delay that two probes in a row had at least: a pause delays one.
func (l *Limiter) adjustPerProbe(delay time.Duration) {
	if delay > targetDelay {
		l.perProbe = max(l.perProbe*targetDelay.Seconds()/delay.Seconds(), minPerProbe)
		return
	}
	l.perProbe = min(perProbeIncrease*l.perProbe, maxPerProbe)
}

func (l *Limiter) endWindow(length time.Duration, now time.Time) {
	rate := float64(l.accepted) / length.Seconds()
	l.acceptedRate, l.meanDelay = rate, l.delays/time.Duration(l.probes)
	gathered := rate > max(gatheredFactor*l.usual, minGatheredRate)
	overloaded := l.probes >= minProbes && l.meanDelay > overloadDelay
	switch {
	case l.Limited():
		l.adjust(overloaded, now)
	case overloaded && gathered:
		l.rate, l.tokens, l.refilled, l.lastRejected = max(l.decrease()*rate, l.usual), 0, now, now
	case l.meanDelay <= overloadDelay:
		l.usual += (rate - l.usual) * min(length.Seconds()/usualTime.Seconds(), 1)
	}
	l.probing = l.Limited() || rate > minGatheredRate
	l.windowStart, l.delays, l.probes, l.accepted = now, 0, 0, 0
}

// decrease is the factor by which the rate falls after a window with an overload.
func (l *Limiter) decrease() float64 {
	return min(max(overloadDelay.Seconds()/l.meanDelay.Seconds(), minDecrease), maxDecrease)
}

func (l *Limiter) adjust(overloaded bool, now time.Time) {
	switch {
	case overloaded:
		l.rate = max(l.decrease()*l.rate, minShare*l.usual, step)
	case now.Sub(l.lastRejected) >= releaseTime:
		l.rate = math.Inf(1)
	default:
		l.rate = increase*l.rate + step
	}
}

// Accept reports whether to accept a new connection.
func (l *Limiter) Accept(now time.Time, w Work) bool {
	if l.rejects(now, w) && now.Sub(l.lastAccepted) < maxPause(w) {
		l.lastRejected = now
		return false
	}
	l.lastAccepted = now
	l.accepted++
	l.credit--
	return true
}

// rejects reports whether a limit rejects a connection.
func (l *Limiter) rejects(now time.Time, w Work) bool {
	return w.linkOverloaded() || w.readsTooMuch() || l.creditSpent(now) || l.Limited() && !l.take(now)
}

// creditSpent reports whether probes wait for the processor and more connections were accepted than the bound and the usual
// rate allow.
func (l *Limiter) creditSpent(now time.Time) bool {
	waits := l.delayAt(now) >= overloadDelay || l.perProbe < maxPerProbe
	return waits && l.credit < 1
}

// take takes a token of the bucket, which holds those of one window.
func (l *Limiter) take(now time.Time) bool {
	l.tokens = min(l.tokens+l.rate*now.Sub(l.refilled).Seconds(), max(l.rate*window.Seconds(), 1))
	l.refilled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
