package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// runState adds a lock to the state of a run, which the goroutines of the stream and of its move share.
type runState struct {
	mu  sync.Mutex
	run runcopy.Run
}

func (s *runState) on(e runcopy.Event) runcopy.Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run.On(e)
}

func (s *runState) setBackup(sent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run.SetBackup(sent)
}

// isRunning reports whether the run goes on and no call copies it.
func (s *runState) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run.State() == runcopy.Running
}

// stopped reports whether the engine has stopped the run for a move.
func (s *runState) stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run.Stopped()
}

// mayBeStopped reports whether the engine was asked to stop the run and has not said whether it did.
func (s *runState) mayBeStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run.State() == runcopy.Stopping && !s.run.Stopped()
}

// on applies an event to the state of the attempt's run and returns what to do next.
func (a *streamAttempt) on(e runcopy.Event) runcopy.Action {
	step := a.state.on(e)
	if step.Free && a.move != nil {
		a.move.free()
	}
	return step.Do
}

// streamEnded decides what follows once the stream of the run has ended with err. The connection has been closed. While
// it is not known whether the run was stopped, it waits for the response of the engine.
func (a *streamAttempt) streamEnded(ctx context.Context, err error) runcopy.Action {
	e := runcopy.StreamBroken
	switch {
	case err == nil:
		e = runcopy.StreamWhole
	case errors.Is(err, errClient) || !a.r.mayContinue(ctx, a.r.f.reasonFor(ctx, err)):
		e = runcopy.Abandoned
	}
	if !a.r.j.route.Repeatable() && a.events < runcopy.MinBackedUpEvents {
		a.state.setBackup(false)
	}
	next := a.on(e)
	if a.move == nil {
		return next
	}
	if next == runcopy.Wait {
		select {
		case <-a.move.done:
			return a.move.next
		case <-ctx.Done():
			next = a.on(runcopy.Abandoned)
		}
	}
	// A call in progress is of no use any more. Cancelling it closes its connection, so it ends at once.
	a.move.cancel()
	<-a.move.done
	return next
}

// mayContinue reports whether a run that ended for the reason may continue from a copy: its engine was lost, and the
// client still waits for the answer.
func (r *stream) mayContinue(ctx context.Context, reason outcome.Reason) bool {
	return reason == outcome.EngineLost && ctx.Err() == nil && !r.j.caller.Gone() && !r.quarantined()
}

// continueRun continues the run from its copies until its answer is whole or no copy is left. o is the outcome of the
// run at its first engine.
func (a *streamAttempt) continueRun(ctx context.Context, o outcome.Outcome) outcome.Outcome {
	for {
		var c continuation
		switch a.next {
		case runcopy.EndRun:
			a.next = a.endRun(ctx)
			continue
		case runcopy.ContinueAtCopy:
			c = continuation{kind: copyOfMove, to: a.move.to, source: a.move.source()}
		case runcopy.ContinueAtSource:
			c = continuation{kind: copyOfMove, source: a.move.source(), returns: a.mayReturn(time.Now())}
		case runcopy.ContinueAtBackup:
			c = continuation{kind: copyOfBackup, to: a.backup, source: a.r.f.Codec.CopySource(a.backup.server, a.r.j.meta.ID)}
			a.backup = nil
		default:
			if o.Kind != outcome.Completed && ctx.Err() != nil {
				return a.r.j.unanswered(reasonOf(ctx))
			}
			return o
		}
		if next, ran := a.continueAt(ctx, c); ran {
			o = next
		}
	}
}

// returnWindow is how long after an engine has announced that it leaves a run that it stopped may return to it. It must
// get no new requests some seconds after the announcement, of which this process may have learned late.
const returnWindow = time.Second

// mayReturn reports whether a run may return to the engine that stopped it.
func (a *streamAttempt) mayReturn(now time.Time) bool {
	since := a.r.f.View.LeavingSince(a.lease.server.ID)
	return since.IsZero() || now.Sub(since) < returnWindow
}

// moveCheckInterval is the interval at which a running stream is checked for reasons to move. An engine that leaves
// serves for seconds.
const moveCheckInterval = 100 * time.Millisecond

// considerMove begins to move the run if there is a reason. It is called with each event of the stream.
func (a *streamAttempt) considerMove(now time.Time) {
	r := a.r
	if !r.movable || now.Sub(r.moveCheckedAt) < moveCheckInterval {
		return
	}
	r.moveCheckedAt = now
	if a.moving() {
		return
	}
	if why, due := r.f.moveReason(a, now); due {
		a.beginMove(why, now)
	}
}

// moving reports whether a move of the run is in progress. The memory of a copy that was refused is returned.
func (a *streamAttempt) moving() bool {
	if a.move == nil {
		return false
	}
	if !a.move.finished() || !a.state.isRunning() {
		return true
	}
	a.dropMove()
	return false
}

// moveReason decides whether a run moves to another engine now.
func (f *Forwarder) moveReason(a *streamAttempt, now time.Time) (runcopy.Reason, bool) {
	r, s := a.r, a.lease.server
	m := runcopy.Move{Begun: r.movesBegun, Since: now.Sub(r.moveBegunAt), Forecast: a.moveForecast(now)}
	if f.View.Leaving(s.ID) {
		m.Leaving = true
		serves := runcopy.ServesFor(now.Sub(f.View.LeavingSince(s.ID)))
		m.EndsBefore = f.service(r.j.service).engines.endsWithin(r.run, r.j.generated, serves)
	}
	return m.Due()
}

// moveForecast is the expected end of the run here and at the best other engine; the zero value if all engines count as
// equally fast, or the run will probably end in time.
func (a *streamAttempt) moveForecast(now time.Time) runcopy.Forecast {
	r := a.r
	alternative, ok := r.f.service(r.j.service).engines.alternative(a.lease.server, r, now)
	if !ok {
		return runcopy.Forecast{}
	}
	return runcopy.Forecast{
		Generated: r.j.generated, EndsHere: alternative.Here, EndsThere: alternative.There, Left: r.j.left(now),
	}
}

// moveDelay is how long a stream is expected to pause while its run moves: two calls to the source and the transfer of
// what is new.
const moveDelay = 200 * time.Millisecond

// alternative compares the engine of a run with the best other one, unless the run will probably end in time there.
func (e *engines) alternative(source registry.Server, r *stream, now time.Time) (kvmemory.Alternative, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.off.Has(mechanism.Pace) || e.memory.EndsInTime(source.ID, r.run, r.j.deadline, now) >= runcopy.LateBelow {
		return kvmemory.Alternative{}, false
	}
	return e.memory.PickFor(source.ID, kvmemory.Request{
		Run: r.run, Deadline: r.j.deadline, Delay: moveDelay, Zone: source.Zone, Exclude: r.tried, Verdicts: e.verdicts,
		Version: source.Version,
	}, now), true
}
