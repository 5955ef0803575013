package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/eventstream"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// eventBuffer is the size of a read buffer, which holds a few events of the usual 100 bytes.
const eventBuffer = 4 << 10

// errStalled ends an attempt whose engine sends no more events.
var errStalled = errors.New("engine went silent")

// relay forwards the events of an engine to the client as they arrive. Only whole events are forwarded, so that an
// interrupted stream can be resumed elsewhere.
func (a *streamAttempt) relay(ctx context.Context, head AnswerHead, res *upstream.Response) outcome.Outcome {
	f, j, s := a.r.f, a.r.j, a.lease.server
	a.stream, a.events = res.Body, 0
	rest, err := a.copyEvents(head, res)
	_ = res.Body.Close()
	mayBeStopped := a.state.mayBeStopped()
	a.next = a.streamEnded(ctx, err)
	stopped := a.state.stopped()
	f.observeOutcome(j, s, err == nil || stopped)
	if a.next == runcopy.Complete {
		a.complete(head, rest)
		return outcome.Outcome{Kind: outcome.Completed}
	}
	if stopped {
		return j.unanswered(outcome.EngineLost)
	}
	truncated := errors.Is(err, eventstream.ErrTruncated)
	switch {
	case err == nil || truncated && mayBeStopped:
		err = errStopped
	case truncated:
		a.recordTruncated(res.Framing, len(rest))
	}
	reason := f.reasonFor(ctx, err)
	if errors.Is(err, errClient) {
		reason = outcome.CallerGone
	}
	f.attemptLost(j, s, reason, err)
	a.mayStillRun = reason == outcome.EngineLost
	return j.unanswered(reason)
}

// complete delivers the blank lines that may follow the last event of a complete stream, and records its success.
func (a *streamAttempt) complete(head AnswerHead, rest []byte) {
	f, j := a.r.f, a.r.j
	if len(rest) > 0 {
		// A client that does not take the rest has left; the run is complete all the same.
		_ = a.r.deliver(head, rest, true)
	}
	if !j.started {
		// A client that resumes may have received all events already.
		f.head(j, head, 0)
	}
	f.recordSuccess(j)
	f.observeHold(j, a.lease)
	f.service(j.service).engines.finished(a.lease.run)
}

// recordTruncated records that the engine's stream ended inside an event; bytes is how much of the event arrived.
func (a *streamAttempt) recordTruncated(framing response.Framing, bytes int) {
	f, j := a.r.f, a.r.j
	f.Metrics.Counter(metrics.StreamsTruncatedPrefix + string(framing)).Inc(1)
	event.StreamTruncated.Log(f.Log).Str("request", j.meta.ID).Str("server", a.lease.server.ID).Str("framing", string(framing)).
		Int("bytes", bytes).Str("after", a.r.lastEvent).Int("generated", j.generated).Msg("")
}

// errStopped means that a stream that ended like a complete one may have been stopped for a move, so that it does not
// count as complete.
var errStopped = errors.New("the run was or may have been stopped for a move")

// errClient means that the client accepts no more events.
var errClient = errors.New("client disconnected")

// copyEvents delivers the events of an engine until its stream ends. It returns what followed the last whole event.
// Without an error that is no part of an event.
func (a *streamAttempt) copyEvents(head AnswerHead, res *upstream.Response) (rest []byte, err error) {
	r := a.r
	stall := a.watchStall(res)
	defer stall.end()
	br := bufio.NewReaderSize(res.Body, eventBuffer)
	for {
		event, err := eventstream.Read(br)
		if err != nil && err != io.EOF {
			if stall.stalled() {
				return nil, errStalled
			}
			return event, err
		}
		stall.reset()
		a.received.Add(1)
		r.j.lastActivity = time.Now()
		if err == io.EOF {
			return event, a.checkEnd(res.Framing)
		}
		if a.events++; a.events == 1 {
			r.f.Guard.RunBegan(r.j.meta.SharedParts)
		}
		if r.delivered(event) {
			continue
		}
		if werr := r.deliver(head, event, !eventstream.Buffered(br)); werr != nil {
			return nil, werr
		}
		a.recordVersion()
		a.considerMove(r.j.lastActivity)
	}
}

// recordVersion records that the client was sent an event of the engine's software version.
func (a *streamAttempt) recordVersion() {
	f, j, s := a.r.f, a.r.j, a.lease.server
	if len(j.software) == 0 {
		a.r.begun(s.Version)
	}
	if n := len(j.software); n > 0 && j.software[n-1] == s.Version {
		return
	}
	j.software = append(j.software, s.Version)
	if n := len(j.software); n > 1 {
		f.Metrics.Counter(metrics.StreamVersionChanges).Inc(1)
		event.StreamVersionChanged.Log(f.Log).Str("request", j.meta.ID).Str("resumes", j.meta.Resumes).
			Str("from", j.software[n-2]).Str("to", s.Version).Str("server", s.ID).Str("after", a.r.lastEvent).Msg("")
	}
}

// errNoEvents means that a stream ended with its connection before its first event, so that nothing shows that it is
// complete.
var errNoEvents = fmt.Errorf("%w: no event arrived", eventstream.ErrTruncated)

// checkEnd returns an error if a stream that did not end inside an event can't be taken for complete.
func (a *streamAttempt) checkEnd(framing response.Framing) error {
	if a.events == 0 && framing == response.FramedByConnection {
		return errNoEvents
	}
	return nil
}

// delivered reports whether the client has received an event already. An engine that continues a run of which all events
// were delivered may send the last one again.
func (r *stream) delivered(event []byte) bool {
	id, ok := eventstream.ID(event)
	if !ok || r.lastEvent == "" {
		return false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	latest, latestErr := strconv.ParseInt(r.lastEvent, 10, 64)
	if err != nil || latestErr != nil {
		return id == r.lastEvent
	}
	return number <= latest
}

// deliver writes one event to the client. The head of the first engine's answer goes before the first event.
func (r *stream) deliver(head AnswerHead, event []byte, flush bool) error {
	j := r.j
	if !j.started {
		r.f.head(j, head, unknownLength)
		j.firstEvent = time.Since(j.arrived)
		r.f.Metrics.Timer(metrics.FirstEventTime).Update(j.firstEvent)
	}
	if id, ok := eventstream.ID(event); ok {
		r.lastEvent = id
		r.recordEvent(time.Now())
	}
	if _, err := j.w.Write(event); err != nil {
		return errClient
	}
	if flush {
		j.w.(http.Flusher).Flush()
	}
	return nil
}

// recordEvent records one more event of the stream.
func (r *stream) recordEvent(now time.Time) {
	j := r.j
	j.generated += max(j.table.Services[j.service].Engine.EventTokens, 1)
	r.run.Generated(j.generated)
	if !r.lastEventAt.IsZero() {
		j.maxEventGap = max(j.maxEventGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

// stallLimit is the interval without events after which a resumable stream is moved to another engine. Clients
// disconnect after 3.6 s without an event; usual intervals are far below 0.3 s.
const stallLimit = 1500 * time.Millisecond

// stallTimer closes an answer whose engine sends nothing for stallLimit, if the stream may run elsewhere.
type stallTimer struct {
	timer *time.Timer
	fired atomic.Bool
}

// watchStall returns a timer for an answer; nil if a silent engine is waited for. A stream that may not run elsewhere is
// not left for silence, though it has a backup: events may be further apart than the time for which a copy outlives its
// engine, and without a copy the stream would be lost.
func (a *streamAttempt) watchStall(res *upstream.Response) *stallTimer {
	j := a.r.j
	if !j.route.Resumable || j.sends >= j.route.Attempts {
		return nil
	}
	s := &stallTimer{}
	s.timer = time.AfterFunc(stallLimit, func() {
		s.fired.Store(true)
		_ = res.Body.Close()
	})
	return s
}

func (s *stallTimer) reset() {
	if s != nil {
		s.timer.Reset(stallLimit)
	}
}

func (s *stallTimer) end() {
	if s != nil {
		s.timer.Stop()
	}
}

func (s *stallTimer) stalled() bool { return s != nil && s.fired.Load() }
