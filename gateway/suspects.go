package gateway

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
)

const (
	// minSuspectReportTime is the minimum time for which reports include terminations of servers and the decisions
	// based on them; suspectReportExchanges is the same in exchanges of a pair, where these are rare: one may fail. A
	// gateway that was cut off for some seconds reports its observations from that time.
	minSuspectReportTime   = 10 * time.Second
	suspectReportExchanges = 2
	// suspectRepeatInterval is the delay after which updates are sent a second time: of two datagrams one arrives
	// where links lose three packets in a hundred, and decisions need all terminations within 300 ms.
	suspectRepeatInterval = 100 * time.Millisecond
	// recentSuspectAge is how long something counts as recent: a VM with a busy processor may send it late.
	recentSuspectAge = time.Second
)

// startQuarantine connects the guard to the other gateways and to the store until ctx ends.
func (s *Service) startQuarantine(ctx context.Context) {
	if s.settings.Off.Has(mechanism.Quarantine) {
		return
	}
	s.work.Go(func() { s.announceSuspects(ctx) })
	wait := func(failures int) { sleep.For(ctx, s.nextStoreRetry(failures)) }
	s.work.Go(func() {
		dep := &dependency{s: s, what: "holds"}
		s.guard.Follow(ctx, s.holds, dep.record, wait)
	})
	s.work.Go(func() {
		dep := &dependency{s: s, what: "holds kept"}
		s.guard.Persist(ctx, s.holds, s.isStoreReader, dep.record, wait)
	})
}

// announceSuspects reports requests under which servers terminated to the other gateways, until ctx ends. A gateway
// that receives no datagram gets them in a report: those that receive an update at once pass it on.
func (s *Service) announceSuspects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.guard.Updates():
		}
		sleep.For(ctx, datagramBatchInterval)
		s.peers.Broadcast(&peer.Placement{Suspects: s.guard.Recent(recentSuspectAge)})
		s.peers.Spread()
		sleep.For(ctx, suspectRepeatInterval)
		s.peers.Broadcast(&peer.Placement{Suspects: s.guard.Recent(recentSuspectAge)})
	}
}
