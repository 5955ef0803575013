package sidecar

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// lapseOwner abandons all runs of an entry whose lease has lapsed. The caller holds mu.
func (s *Server) lapseOwner(owner string) {
	n := 0
	for _, r := range s.runs {
		if r.owner == owner && r.phase < phaseEnded {
			s.abandon(r, lapseOutcome(r))
			s.lapsedOwners[owner] = true
			n++
		}
	}
	if n > 0 {
		event.LeaseLapsed.Log(s.log).Str("entry", owner).Int("runs", n).Msg("")
	}
}

func lapseOutcome(r *run) outcome.Outcome { return abandonOutcome(r, outcome.LeaseLapsed) }

// abandonOutcome returns the outcome of a run that is abandoned.
func abandonOutcome(r *run, reason outcome.Reason) outcome.Outcome {
	if r.ran {
		return outcome.Fail(reason, "")
	}
	return outcome.Refuse(reason, refusalRetryAfter)
}

// sweepLoop periodically compares the engine's runs and exports with the ledger. A
// cancel whose answer was lost, a run that the engine accepted late and runs of an
// earlier incarnation all show up as runs that are not in the ledger.
func (s *Server) sweepLoop() {
	if s.eng == nil {
		return
	}
	t := time.NewTicker(s.set.Timing.Sweep)
	defer t.Stop()
	suspects := make(map[string]bool)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		case <-s.sweepNow:
		}
		if err := s.sweepRuns(); err != nil {
			event.SweepFailed.Log(s.log).Err(err).Msg("")
			continue
		}
		suspects = s.sweepExports(suspects)
	}
}

func (s *Server) sweepRuns() error {
	ctx, cancel := context.WithTimeout(s.ctx, s.set.Timing.EngineCall)
	defer cancel()
	listed, err := s.eng.Runs(ctx)
	if err != nil {
		return err
	}
	live := s.liveRuns()
	for _, r := range listed {
		if live[r.ID] {
			continue
		}
		event.OrphanSwept.Log(s.log).Str("run", r.ID).Str("owner", r.Owner).Msg("")
		s.met.Counter(metrics.OrphansSwept).Inc(1)
		if err := s.eng.Cancel(ctx, r.ID); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) liveRuns() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := make(map[string]bool)
	for _, r := range s.runs {
		if r.phase == phasePrefill || r.phase == phaseRunning {
			live[r.engineID] = true
		}
	}
	return live
}

// sweepExports releases KV caches that are not in the ledger. A KV cache whose prefill
// has just ended may not be in the ledger yet, so it is released only if two
// consecutive sweeps find it, unless another incarnation owns it.
func (s *Server) sweepExports(suspects map[string]bool) map[string]bool {
	ctx, cancel := context.WithTimeout(s.ctx, s.set.Timing.EngineCall)
	defer cancel()
	listed, err := s.eng.Exports(ctx)
	if err != nil {
		event.SweepFailed.Log(s.log).Err(err).Msg("")
		return suspects
	}
	held := s.heldExports()
	next := make(map[string]bool)
	for _, kv := range listed {
		switch {
		case held[kv.Handle]:
		case suspects[kv.Handle] || kv.Owner != s.incarnation:
			_ = s.eng.ReleaseKV(ctx, kv.Handle)
		default:
			next[kv.Handle] = true
		}
	}
	return next
}

func (s *Server) heldExports() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[string]bool)
	for _, r := range s.runs {
		if r.phase == phaseExported {
			held[r.handle] = true
		}
	}
	return held
}
