package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// HoldPrefix is the prefix of the rows of held requests in the platform's table.
const HoldPrefix = "quarantine/"

const (
	// holdPolls is the interval at which the stored holds are read, in polls of the configuration. Entries learn of holds
	// from each other; the table is for those that have just started or have no common sidecar.
	holdPolls = 5
	// suspectBatchInterval is how long observations are batched for one frame: the requests in progress at a server
	// end together.
	suspectBatchInterval = 2 * time.Millisecond
	// recentSuspectAge is how old an observation may be in such a frame.
	recentSuspectAge = time.Second
	// othersOneIn is how rarely an entry also writes the holds of others, and removes ended ones, when it checks its own
	// twice a second: once in so many checks, at random, since one entry suffices.
	othersOneIn = 20
	// quarantineSweepInterval is the interval at which outdated observations are dropped.
	quarantineSweepInterval = 10 * time.Second
)

// startQuarantine connects the guard to the other entries and to the platform's table until ctx ends.
func (s *Service) startQuarantine(ctx context.Context) {
	if !s.settings.Policy.Quarantine {
		return
	}
	interval := holdPolls * s.settings.Timing.Poll
	table := holdback.NewPolledTable(s.table, HoldPrefix, interval)
	report := func(err error) {
		if err != nil {
			s.metrics.Counter(metrics.StoreErrors).Inc(1)
		}
	}
	backOff := func(int) { sleep.For(ctx, interval) }
	s.work.Go(func() { s.announceSuspects(ctx) })
	s.work.Go(func() { s.quarantine.Follow(ctx, table, report, backOff) })
	s.work.Go(func() {
		s.quarantine.Persist(ctx, table, func() bool { return rand.N(othersOneIn) == 0 }, report, backOff)
	})
	s.work.Go(func() {
		for ctx.Err() == nil {
			sleep.For(ctx, quarantineSweepInterval)
			s.quarantine.Expire()
		}
	})
}

// announceSuspects sends new observations, holds and releases to the other entries, over all sidecars, until ctx ends.
func (s *Service) announceSuspects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.quarantine.Updates():
		}
		sleep.For(ctx, suspectBatchInterval)
		report, err := s.quarantine.EncodeRecent(recentSuspectAge)
		if err != nil {
			event.Library.Log(s.log).Err(err).Msg("")
			continue
		}
		s.pool.broadcast(func() *wire.EntryFrame {
			return &wire.EntryFrame{Body: &wire.EntryFrame_Suspects{Suspects: &wire.Suspects{Report: report}}}
		})
	}
}

// receiveSuspects takes another entry's report, which came through a backend server's sidecar.
func (s *Service) receiveSuspects(m *wire.Suspects, backend string) {
	if err := s.quarantine.ReceiveEncoded(m.GetReport(), "an entry, by way of "+backend); err != nil {
		event.FrameDropped.Log(s.log).Str("backend", backend).Err(err).Msg("")
	}
}

// content computes the digest of a request when it is first needed.
type content struct {
	// parts identifies the parts of its prompt that other requests may have too.
	parts []string
	// request is called once at most.
	request  func() fingerprint.Request
	computed bool
	digest   fingerprint.Digest
}

func (c *content) get() fingerprint.Digest {
	if !c.computed {
		c.digest, c.computed = fingerprint.Of(c.request()), true
	}
	return c.digest
}

// quarantined reports whether a request is held back, as its outcome.
func (s *Service) quarantined(c *content) (outcome.Outcome, bool) {
	if !s.quarantine.Active() {
		return outcome.Outcome{}, false
	}
	left, held := s.quarantine.Quarantined(c.get(), c.parts)
	return outcome.Refuse(outcome.Quarantined, left), held
}

// end describes how an attempt at a request ended.
type end struct {
	outcome outcome.Outcome
	backend string
	// incarnation is that of the sidecar: of a decode server or service when the attempt began, of a prefill server when
	// it ended the attempt.
	incarnation string
	// engineLosses is the sidecar's number of the loss of its engine that ended the attempt; zero if none did.
	engineLosses uint32
	// generated is the number of tokens received in this attempt.
	generated int
	// decoding is set if it ended at the engine that generates.
	decoding bool
}

// terminated returns a name for the termination of a server that ended the attempt; ok is false if none did. Attempts
// that ended with the same termination have the same name.
func (e *end) terminated() (name string, ok bool) {
	switch {
	case e.engineLosses > 0:
		return fmt.Sprintf("%s@%s/%d", e.backend, e.incarnation, e.engineLosses), true
	case e.outcome.Reason == outcome.SidecarRestarted && e.outcome.Kind != outcome.NotRun:
		return fmt.Sprintf("%s@%s", e.backend, e.incarnation), true
	default:
		return "", false
	}
}

// recordEnd records the end of an attempt: a success shows that the request terminates no server, and a termination
// raises suspicion against it.
func (s *Service) recordEnd(c *content, e end) {
	if e.outcome.Kind == outcome.Completed {
		if s.quarantine.Active() {
			s.quarantine.RequestSucceeded(c.get())
		}
		return
	}
	name, ok := e.terminated()
	if !ok {
		return
	}
	s.metrics.Counter(metrics.RequestsInterrupted).Inc(1)
	event.ServerTerminated.Log(s.log).Str("server", name).Str("how", string(e.outcome.Reason)).Int("requests", 1).
		Strs("contents", []string{c.get().String()}).Msg("")
	b := quarantine.BrokenAttempt{Content: c.get(), Generated: e.generated}
	if b.Generated == 0 && e.decoding {
		b.Parts = c.parts
	}
	s.quarantine.ServerTerminated(name, []quarantine.BrokenAttempt{b})
}
