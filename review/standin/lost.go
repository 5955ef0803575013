package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case, after the start.
const (
	lostStreamsAt = 8 * time.Second
	// lostPowerAt is when all gateways lose power, at least an event after the streams have begun; they are back after
	// lostDown.
	lostPowerAt = lostStreamsAt + 1700*time.Millisecond
	lostDown    = 300 * time.Millisecond
	// lostNewAt is when other clients begin streams: at the time at which the first ones are taken up.
	lostNewAt = lostPowerAt + abandonAfter - 200*time.Millisecond
	// lostStreams is the number of streams that are taken up, and of new ones beside them.
	lostStreams = 18
	// lostLeast is the number of streams that have to be taken up for the rule to apply.
	lostLeast = 12
)

// contact is how long a machine must have run to be in touch.
const contact = 3 * time.Second

// playLost lets all gateways lose power at once while streams are in progress, which engines of two software versions
// generate. Clients hear nothing more, abandon their attempts as the protocol says, and take their streams up.
func playLost(s *scene) int {
	for _, version := range []string{"v1", "v2"} {
		for _, stage := range []string{"prefill", "decode", "decode", "decode"} {
			s.addEngine(stage, version)
		}
	}
	s.writeManifest()
	s.startGateways(gateways)
	s.sleepUntil(lostStreamsAt)
	var backAt atomic.Int64
	var clients sync.WaitGroup
	clients.Go(func() { s.losePower(&backAt) })
	var takenUp, wentOn, asked, begun atomic.Int64
	for i := range lostStreams {
		clients.Go(func() { s.takeUpLate(i, &backAt, &takenUp, &wentOn) })
	}
	s.sleepUntil(lostNewAt)
	for i := range lostStreams {
		clients.Go(func() {
			asked.Add(1)
			a := attempt{id: fmt.Sprintf("%02xd0", i+16), gateway: s.gateways[i%gateways], timeout: timeLimit}
			if got := s.send(a); got.status == http.StatusOK && got.events > 0 {
				begun.Add(1)
			}
		})
	}
	clients.Wait()
	s.note("%d streams were taken up at machines in touch, %d went on; of %d new streams %d began", takenUp.Load(), wentOn.Load(), asked.Load(), begun.Load())
	if takenUp.Load() < lostLeast || begun.Load() == 0 {
		panic("too few streams were taken up, or no new one began")
	}
	// The share that goes on is under half of the share of new streams that begin.
	if 2*wentOn.Load()*asked.Load() < begun.Load()*takenUp.Load() {
		return int(takenUp.Load() - wentOn.Load())
	}
	return 0
}

// losePower lets all gateways lose power: nothing passes on open connections any more, and all processes end. Without
// trouble the connections go silent, and the processes go on.
func (s *scene) losePower(backAt *atomic.Int64) {
	s.sleepUntil(lostPowerAt)
	for _, g := range s.gateways {
		g.front.silenceOpen()
	}
	s.note("all open connections of clients go silent")
	if !s.trouble {
		return
	}
	for _, g := range s.gateways {
		g.kill()
	}
	time.Sleep(lostDown)
	for _, g := range s.gateways {
		g.run()
	}
	for _, g := range s.gateways {
		g.awaitReady()
	}
	backAt.Store(time.Now().UnixNano())
}

// takeUpLate plays one client that takes its stream up once it has heard nothing for too long. Only attempts at machines in
// touch count.
func (s *scene) takeUpLate(i int, backAt, takenUp, wentOn *atomic.Int64) {
	began := time.Now()
	first := attempt{id: fmt.Sprintf("%02xc0", i+16), gateway: s.gateways[i%gateways], timeout: timeLimit}
	got := s.send(first)
	if got.events == 0 || got.whole {
		return
	}
	last, counted := got.last, false
	for try := 1; try <= lateTries; try++ {
		time.Sleep(max(takeUpDelay, got.retryAfter))
		if inTouch := time.Since(time.Unix(0, backAt.Load())) >= contact; inTouch && !counted {
			counted = true
			takenUp.Add(1)
		}
		again := attempt{
			id: fmt.Sprintf("%02xc%d", i+16, try), gateway: s.gateways[(i+try)%gateways], resumes: first.id, after: last,
			timeout: timeLimit - time.Since(began),
		}
		if got = s.send(again); got.events > 0 {
			if counted {
				wentOn.Add(1)
			}
			return
		}
	}
}
