package forward

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

const (
	// endRunTimeout bounds one call that stops a run whose connection has ended. A backup is lost half a second after its
	// last part.
	endRunTimeout = 250 * time.Millisecond
	// endRunInterval is the pause after an engine has answered that another call for the run is in progress.
	endRunInterval = 50 * time.Millisecond
)

// endRun stops the run at its engine, whose connection has ended, and returns what to do next. Engines that don't drop a
// run with its connection would work on it beside the engine that continues it.
func (a *streamAttempt) endRun(ctx context.Context) runcopy.Action {
	a.mayStillRun = false
	if !a.r.movable || a.r.f.attempts.hasTerminated(a.lease.server.ID) {
		return a.on(runcopy.NotSent)
	}
	m := a.endingMove()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for {
		e := m.call(ctx, true, endRunTimeout)
		if e == runcopy.Copied || e == runcopy.Refused {
			a.r.f.recordOutlived(a.r.j, m.from)
		}
		if next := a.on(e); next != runcopy.EndRun {
			return next
		}
		sleep.For(ctx, endRunInterval)
	}
}

// endingMove returns the move by which a run is stopped whose connection has ended: the latest one if there is a copy of
// it, or one to the engine of the backup, whose memory stays that of the backup.
func (a *streamAttempt) endingMove() *move {
	if a.backup == nil {
		return a.move
	}
	a.dropMove()
	a.move = &move{
		a: a, from: a.lease.server, to: a.backup, reason: runcopy.Lost, since: time.Now(),
		cancel: func() {}, done: closed(), dropped: true,
	}
	return a.move
}

func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// stopLostRun has the engine of a lost attempt stop the run, in the background, while the request is sent to another
// engine. Nothing is kept of the run.
func (a *streamAttempt) stopLostRun() {
	r, from := a.r, a.lease.server
	f, id := r.f, r.j.meta.ID
	to, ok := f.anotherEngine(r.j.service, from)
	if !ok || f.attempts.hasTerminated(from.ID) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		c, err := f.Engines.Move(ctx, from, id, to, true)
		if err == nil || errors.Is(err, ErrFull) {
			f.recordOutlived(r.j, from)
		}
		if c.Handle != "" {
			// If this fails, the copy expires by itself.
			_ = f.Engines.FreeExport(context.Background(), from, c.Handle)
		}
	}()
}

// anotherEngine returns an engine of the service that generates tokens, other than one.
func (f *Forwarder) anotherEngine(service string, other registry.Server) (registry.Server, bool) {
	for _, s := range f.View.Servers(service) {
		if s.ID != other.ID && s.Stage != registry.Prefill {
			return s, true
		}
	}
	return registry.Server{}, false
}

// recordOutlived records that an engine went on with a run after its connection had ended, and has stopped it.
func (f *Forwarder) recordOutlived(j *job, s registry.Server) {
	f.Metrics.Counter(metrics.RunsOutlived).Inc(1)
	event.RunOutlived.Log(f.Log).Str("request", j.meta.ID).Str("server", s.ID).Msg("")
}
