package forward

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

const (
	// copyTimeout bounds the call that copies a run while it goes on: about as long as an engine that leaves still
	// serves.
	copyTimeout = 2500 * time.Millisecond
	// stopTimeout bounds a call that stops a run. The stream pauses meanwhile; clients disconnect after 3.6 s without
	// an event.
	stopTimeout = 1500 * time.Millisecond
	// drainTime is how long the events of a run that was stopped may take to arrive. Then its connection is closed, so
	// that one that is silent does not keep the run from continuing, which sends events that are missing again. It is
	// several times the usual interval between events.
	drainTime = 300 * time.Millisecond
)

// move is one move of a run to another engine. Its goroutine makes the calls to the source; the stream's goroutine
// continues the run.
type move struct {
	a      *streamAttempt
	from   registry.Server
	to     *runCopy
	reason runcopy.Reason
	since  time.Time
	// stream is the answer of the source.
	stream io.Closer
	cancel context.CancelFunc
	// done is closed when the last call has ended; next, what to do then, and retryTaken, which is set if a retry was taken
	// from the budget to stop the run, are valid from then on.
	done       chan struct{}
	next       runcopy.Action
	retryTaken bool

	// dropped is set once the memory that the pool counts for the copy was returned, or became that of the run. It belongs
	// to the stream's goroutine.
	dropped bool

	mu sync.Mutex
	// handle names the copy at the source; empty while there is none.
	handle string
}

// mayMove reports whether the runs of the request may move.
func (r *stream) mayMove() bool {
	return r.j.table.Services[r.j.service].Engine.Moves && !r.f.Off.Has(mechanism.Moves)
}

// beginMove begins to move the run, if this process moves few others and another engine has memory.
func (a *streamAttempt) beginMove(why runcopy.Reason, now time.Time) {
	r, f := a.r, a.r.f
	if f.moving.Add(1) > runcopy.MaxConcurrentMoves {
		f.moving.Add(-1)
		return
	}
	a.dropMove()
	to := r.placeCopy(a.lease.server, false)
	if to == nil {
		f.moving.Add(-1)
		return
	}
	if a.on(runcopy.MoveDue) != runcopy.CopyRun {
		r.dropCopy(to)
		f.moving.Add(-1)
		return
	}
	r.movesBegun, r.moveBegunAt = r.movesBegun+1, now
	ctx, cancel := context.WithCancel(context.Background())
	m := &move{a: a, from: a.lease.server, to: to, reason: why, since: now, stream: a.stream, cancel: cancel, done: make(chan struct{})}
	a.move = m
	go m.run(ctx)
}

func (m *move) finished() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// run makes the calls to the source until the run has moved or stays.
func (m *move) run(ctx context.Context) {
	f := m.a.r.f
	defer f.moving.Add(-1)
	defer m.cancel()
	defer close(m.done)
	do := runcopy.CopyRun
	for {
		var e runcopy.Event
		switch do {
		case runcopy.CopyRun:
			e = m.call(ctx, false, copyTimeout)
		case runcopy.StopRun:
			if e = runcopy.NotSent; f.takeRetry(m.a.r.j) {
				m.retryTaken = true
				e = m.call(ctx, true, stopTimeout)
			}
		case runcopy.AskAgain:
			e = m.call(ctx, true, stopTimeout)
		default:
			m.next = do
			m.endStream()
			return
		}
		step := m.a.state.on(e)
		if step.Free {
			m.free()
		}
		do = step.Do
	}
}

// endStream closes the stream of a run that was stopped once its events have had time to arrive. If no response says
// whether the run was stopped, events that go on to arrive show that it was not. Otherwise the stream is closed too: behind
// a partition it would stay open until the deadline, and the copy would expire.
func (m *move) endStream() {
	switch {
	case m.a.state.stopped():
		time.AfterFunc(drainTime, func() { _ = m.stream.Close() })
	case m.a.state.mayBeStopped():
		m.closeOnceSilent(maxDrainChecks)
	}
}

// maxDrainChecks is the number of times in a row that events have to arrive within drainTime to show that a run goes on:
// those of the first times may have been in transit.
const maxDrainChecks = 3

// closeOnceSilent closes the stream if no event arrives within drainTime, and looks again otherwise, as often as checks
// says.
func (m *move) closeOnceSilent(checks int) {
	received := m.a.received.Load()
	time.AfterFunc(drainTime, func() {
		switch {
		case m.a.received.Load() == received:
			_ = m.stream.Close()
		case checks > 1:
			m.closeOnceSilent(checks - 1)
		}
	})
}

// call asks the source to copy the run, or the rest of it after stopping it, and returns what came of it.
func (m *move) call(ctx context.Context, last bool, timeout time.Duration) runcopy.Event {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f, id := m.a.r.f, m.a.r.j.meta.ID
	c, err := f.Engines.Move(ctx, m.from, id, m.to.server, last)
	if c.Handle != "" {
		m.mu.Lock()
		m.handle = c.Handle
		m.mu.Unlock()
	}
	if err == nil {
		return runcopy.Copied
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		m.failed(last, err)
	}
	switch {
	case errors.Is(err, ErrFull):
		f.Metrics.Counter(metrics.MovesRefused).Inc(1)
		if last && c.Handle == "" {
			return runcopy.NoResponse
		}
		return runcopy.Refused
	case errors.Is(err, ErrNoRun):
		return runcopy.NoRun
	case errors.Is(err, ErrMoveInProgress):
		return runcopy.InProgress
	case errors.Is(err, upstream.ErrNotSent):
		return runcopy.NotSent
	default:
		return runcopy.NoResponse
	}
}

func (m *move) failed(last bool, err error) {
	if m.reason == runcopy.Lost && (errors.Is(err, ErrNoRun) || errors.Is(err, upstream.ErrNotSent)) {
		return // Most runs end with their connection.
	}
	f := m.a.r.f
	event.MoveFailed.Log(f.Log).Str("request", m.a.r.j.meta.ID).Str("reason", string(m.reason)).Str("from", m.from.ID).
		Str("to", m.to.server.ID).Bool("stopped", last && errors.Is(err, ErrFull)).Dur("took", time.Since(m.since)).Err(err).Msg("")
}

// moved records that the run continues at the destination.
func (m *move) moved(generated int) {
	f := m.a.r.f
	f.Metrics.Counter(metrics.MovedPrefix + string(m.reason)).Inc(1)
	event.RunMoved.Log(f.Log).Str("request", m.a.r.j.meta.ID).Str("reason", string(m.reason)).Str("from", m.from.ID).
		Str("to", m.to.server.ID).Int("generated", generated).Dur("took", time.Since(m.since)).Msg("")
}

// source names the copy for the engine that continues the run.
func (m *move) source() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.a.r.f.Codec.CopySource(m.from, m.handle)
}

// free frees a copy that is not used, in the background: through its source, or at the destination alone if the source
// does not respond.
func (m *move) free() {
	m.mu.Lock()
	handle := m.handle
	m.handle = ""
	m.mu.Unlock()
	if handle == "" {
		return
	}
	engines := m.a.r.f.Engines
	go func() {
		if err := engines.FreeExport(context.Background(), m.from, handle); err != nil {
			// If this fails too, the copy expires by itself.
			_ = engines.FreeExport(context.Background(), m.to.server, handle)
		}
	}()
}

// dropMove returns the memory that the pool counts for the copy of a move that is not used.
func (a *streamAttempt) dropMove() {
	if a.move != nil && !a.move.dropped {
		a.move.dropped = true
		a.r.dropCopy(a.move.to)
	}
}
