package sidecar

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// maxResumes bounds how often an engine's stream is reopened without a new token.
const maxResumes = 3

// maxStartStalls is the time limit for the engine to start a run, in multiples of
// Timing.EngineStall.
const maxStartStalls = 5

// decode starts the run in the engine and forwards its tokens.
func (w *worker) decode(m *wire.Start) {
	w.locked(func() {
		w.r.ran = true
		w.r.startedAt = time.Now()
	})
	event.RunStarted.Log(w.s.log).Str("request", w.r.key.RequestID).Uint32("attempt", w.r.key.Attempt).Str("run", w.r.engineID).Msg("")
	stream, err := w.open(maxStartStalls*w.s.set.Timing.EngineStall, func(ctx context.Context) (engine.Stream, error) {
		return w.s.eng.Decode(ctx, w.request(m))
	})
	switch {
	case err == nil:
	case errors.Is(err, engine.ErrIndeterminate):
		stream, err = w.resume(int(m.GetPosition()))
		if err != nil {
			w.fail(wire.Stage_STAGE_START, outcome.Indeterminate(outcome.EngineLost, ""), err)
			return
		}
	default:
		w.locked(func() { w.r.ran = false })
		w.fail(wire.Stage_STAGE_START, startRefusal(err), err)
		return
	}
	w.locked(w.s.losses.workBegan)
	w.forward(stream)
}

func (w *worker) request(m *wire.Start) engine.DecodeRequest {
	return engine.DecodeRequest{
		RunID:     w.r.engineID,
		Owner:     w.s.incarnation,
		Model:     m.GetModel(),
		Prompt:    m.GetPrompt(),
		Handle:    m.GetHandle(),
		Source:    m.GetSource(),
		MaxTokens: int(m.GetMaxTokens()),
		Position:  int(m.GetPosition()),
		Prior:     m.GetPrior(),
		Priority:  enginePriority(m.GetTerms()),
	}
}

// open bounds the time that the engine has to answer a call that opens a stream;
// the stream itself is bounded only by the worker's context.
func (w *worker) open(timeout time.Duration, call func(context.Context) (engine.Stream, error)) (engine.Stream, error) {
	ctx, cancel := context.WithCancel(w.ctx)
	timer := time.AfterFunc(timeout, cancel)
	stream, err := call(ctx)
	if !timer.Stop() && err == nil {
		_ = stream.Close()
		err = engine.ErrIndeterminate
	}
	if err != nil {
		cancel()
	}
	return stream, err
}

// resume reopens the run's stream. An engine that does not answer is lost, whereas
// one that answers and sends nothing may be busy.
func (w *worker) resume(position int) (engine.Stream, error) {
	return w.open(w.s.set.Timing.EngineCall, func(ctx context.Context) (engine.Stream, error) {
		return w.s.eng.Resume(ctx, w.r.engineID, position)
	})
}

// startRefusal returns the outcome for an error of Decode that means that no run was
// started.
func startRefusal(err error) outcome.Outcome {
	switch {
	case errors.Is(err, engine.ErrNotFound):
		return outcome.Refuse(outcome.KVLost, refusalRetryAfter)
	case errors.Is(err, engine.ErrFull):
		return outcome.Refuse(outcome.NoDecodeSlot, refusalRetryAfter)
	case errors.Is(err, engine.ErrExists):
		return outcome.Indeterminate(outcome.Duplicate, "")
	default:
		return outcome.Refuse(outcome.EngineError, refusalRetryAfter)
	}
}

// forward copies the stream's tokens to the ledger and reopens a stream that breaks
// or stalls.
func (w *worker) forward(stream engine.Stream) {
	first := w.position()
	last, failures := first, 0
	for {
		stalled, err := w.drainStream(stream)
		_ = stream.Close()
		if err == nil || w.ctx.Err() != nil {
			return
		}
		if w.droppedBeforeFirstToken(err) {
			w.fail(wire.Stage_STAGE_START, outcome.Refuse(outcome.KVLost, refusalRetryAfter), err)
			return
		}
		at := w.position()
		if at > last {
			last, failures = at, 0
		}
		// A stall before the first token may be a queued prefill.
		if !stalled || at > first {
			failures++
		}
		if failures <= maxResumes {
			stream, err = w.resume(at)
		}
		if failures > maxResumes || err != nil {
			w.fail(wire.Stage_STAGE_DECODE, outcome.Fail(outcome.EngineLost, ""), err)
			return
		}
	}
}

// position returns the position of the next token.
func (w *worker) position() (end int) {
	w.locked(func() { end = w.r.out.end() })
	return end
}

// droppedBeforeFirstToken reports whether the engine dropped the run before its first
// token. Since only this sidecar cancels runs, the KV cache was lost in transfer.
func (w *worker) droppedBeforeFirstToken(err error) bool {
	if !errors.Is(err, engine.ErrNotFound) {
		return false
	}
	dropped := false
	w.locked(func() {
		dropped = !w.r.out.produced
		w.r.ran = !dropped
	})
	return dropped
}

// drainStream reads the stream until its final event, with which it completes the
// run. If the engine sends nothing for EngineStall, the connection may be
// unresponsive, so the stream is closed; stalled reports that.
func (w *worker) drainStream(stream engine.Stream) (stalled bool, err error) {
	var timedOut atomic.Bool
	stall := time.AfterFunc(w.s.set.Timing.EngineStall, func() {
		timedOut.Store(true)
		_ = stream.Close()
	})
	defer stall.Stop()
	for {
		ev, err := stream.Next()
		if err != nil {
			return timedOut.Load(), err
		}
		stall.Reset(w.s.set.Timing.EngineStall)
		if ev.Done {
			return false, w.complete(ev)
		}
		gap := false
		w.locked(func() {
			gap = !w.r.out.add(ev.Position, []string{ev.Token})
			w.s.progress(time.Now(), w.r, ev.Position)
			w.r.sendOutput(w.s.set.Bounds.Window)
		})
		if gap {
			return false, io.ErrUnexpectedEOF
		}
	}
}

func (w *worker) complete(ev engine.StreamEvent) error {
	var err error
	w.locked(func() {
		if w.r.out.end() != ev.Total {
			err = io.ErrUnexpectedEOF
			return
		}
		w.s.finish(w.r, &wire.SidecarFrame{Body: &wire.SidecarFrame_Done{Done: &wire.Done{
			Ref:          w.r.key.Ref(),
			Total:        uint32(ev.Total),
			FinishReason: ev.FinishReason,
			PromptTokens: uint32(ev.PromptTokens),
			CachedTokens: uint32(ev.CachedTokens),
		}}})
	})
	return err
}
