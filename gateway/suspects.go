package gateway

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
)

const (
	// suspectsTold is how long ends of servers, and what was decided by them, stand in reports at least, and
	// suspectsPaces for how many exchanges of a pair where these are rare: one may fail. A gateway that was cut off for some
	// seconds tells what it saw meanwhile.
	suspectsTold  = 10 * time.Second
	suspectsPaces = 2
	// suspectsRepeat is the pause after which news are told a second time: of two datagrams one comes through where
	// links lose three packets in a hundred, and decisions rest on all ends within 300 ms.
	suspectsRepeat = 100 * time.Millisecond
	// suspectsNew is how long something is news: a VM with a busy processor may come to tell it late.
	suspectsNew = time.Second
)

// holdBack joins the guard to the other gateways and to the store until ctx ends.
func (s *Service) holdBack(ctx context.Context) {
	if s.set.Off.Has(mechanism.Quarantine) {
		return
	}
	s.work.Go(func() { s.tellSuspects(ctx) })
	wait := func(failures int) { pause(ctx, s.storePause(failures)) }
	s.work.Go(func() {
		dep := &dependency{s: s, what: "holds"}
		s.guard.Follow(ctx, s.holds, dep.note, wait)
	})
	s.work.Go(func() {
		dep := &dependency{s: s, what: "holds kept"}
		s.guard.Persist(ctx, s.holds, s.readsForAll, dep.note, wait)
	})
}

// tellSuspects tells the other gateways of requests under which servers ended, until ctx ends. Who hears no datagram
// has it from a report: those who are told at once tell it on.
func (s *Service) tellSuspects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.guard.Updates():
		}
		pause(ctx, tellInterval)
		s.peers.Broadcast(&peer.Placement{Suspects: s.guard.Recent(suspectsNew)})
		s.peers.Spread()
		pause(ctx, suspectsRepeat)
		s.peers.Broadcast(&peer.Placement{Suspects: s.guard.Recent(suspectsNew)})
	}
}
