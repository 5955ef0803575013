package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case, after the start.
const (
	// orderCutAt is when one gateway is cut off: the gateways have run for over half a minute by then.
	orderCutAt = 36 * time.Second
	// orderRolloutAt is when engines of the next version register, orderStreamsAt when the streams begin, and
	// orderBreakAt when their connections break. All is over within the 7.6 s of a cut.
	orderRolloutAt = orderCutAt + 500*time.Millisecond
	orderStreamsAt = orderCutAt + 1500*time.Millisecond
	orderBreakAt   = orderStreamsAt + 1700*time.Millisecond
	// orderStreams is the number of streams, orderAllowed that of streams of two versions which the rule allows.
	orderStreams, orderAllowed = 16, 2
	// takeUpDelay is how long a client waits before it takes its stream up.
	takeUpDelay = 100 * time.Millisecond
	// lateTries is how often a client takes a stream up.
	lateTries = 3
)

// playOrder cuts one gateway off from the store and the other gateways. Then engines of the next software version come to
// serve beside the others, streams begin at the other gateways, their connections break, and their clients take them up at
// the gateway that is cut off.
func playOrder(s *scene) int {
	for _, stage := range []string{"prefill", "prefill", "decode", "decode", "decode"} {
		s.addEngine(stage, "v1")
	}
	s.writeManifest()
	s.startGateways(gateways)
	lone := s.gateways[gateways-1]
	s.send(attempt{id: "a0", gateway: lone, timeout: timeLimit})
	s.sleepUntil(orderCutAt)
	if s.trouble {
		s.isolate(lone, true)
		s.note("edge-%d is cut off from the store and from all other gateways", lone.number)
	}
	s.sleepUntil(orderRolloutAt)
	for range 3 {
		s.addEngine("decode", "v2")
	}
	s.sleepUntil(orderStreamsAt)
	time.AfterFunc(orderBreakAt-orderStreamsAt, func() {
		for _, g := range s.gateways[:gateways-1] {
			g.front.resetAll()
		}
		s.note("the connections of all clients are reset")
	})
	mixed := make([]bool, orderStreams)
	var clients sync.WaitGroup
	for i := range orderStreams {
		clients.Go(func() { mixed[i] = s.breakAndTakeUp(i, lone) })
	}
	clients.Wait()
	n := 0
	for _, m := range mixed {
		if m {
			n++
		}
	}
	s.note("%d of %d streams hold events of two software versions; the rule allows %d", n, orderStreams, orderAllowed)
	return max(n-orderAllowed, 0)
}

// breakAndTakeUp plays one client. It reports whether the client got events of engines of two software versions.
func (s *scene) breakAndTakeUp(i int, lone *gateway) bool {
	began := time.Now()
	first := attempt{id: fmt.Sprintf("%02xb0", i+16), gateway: s.gateways[i%(gateways-1)], timeout: timeLimit}
	got := s.send(first)
	if got.events == 0 || got.whole {
		return false
	}
	version, last := s.versionOf(got.engine), got.last
	for try := 1; try <= lateTries; try++ {
		time.Sleep(max(takeUpDelay, got.retryAfter))
		again := attempt{id: fmt.Sprintf("%02xb%d", i+16, try), gateway: lone, resumes: first.id, after: last, timeout: timeLimit - time.Since(began)}
		got = s.send(again)
		if got.events > 0 {
			other := s.versionOf(got.engine)
			s.note("stream %s: began at %s, went on at %s", first.id, version, other)
			return other != version
		}
	}
	return false
}
