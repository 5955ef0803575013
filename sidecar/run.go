package sidecar

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// phase is the state of an attempt at this sidecar.
type phase uint8

const (
	// phaseWaiting is queued for a decode slot.
	phaseWaiting phase = iota + 1
	// phaseReserved has a decode slot that is not used yet.
	phaseReserved
	// phasePrefill is queued for or runs a prefill for export.
	phasePrefill
	// phaseExported retains a KV cache in the engine for another server.
	phaseExported
	// phaseRunning decodes, or calls the plain service.
	phaseRunning
	// phaseEnded has ended; unacknowledged output is retained for a while.
	phaseEnded
	// phaseFenced never ran here and never will.
	phaseFenced
)

// run is one attempt in the ledger. All fields are guarded by Server.mu.
type run struct {
	key wire.Key
	// engineID identifies the run at the engine.
	engineID string
	// owner is the incarnation of the entry that holds the lease.
	owner  string
	phase  phase
	terms  *wire.Terms
	cancel context.CancelFunc
	// handle identifies the exported KV cache.
	handle string
	// expires is the end of a reservation, of an export or of the retention of an
	// ended run.
	expires time.Time
	// closed is true once the entry has sent a Cancel, after which it needs nothing of
	// the run.
	closed bool
	// abandoned is true if the run ended without retaining its output.
	abandoned bool
	// prefill and start are the entry's requests, nil until received.
	prefill *wire.Prefill
	start   *wire.Start
	// startedAt is when the engine was called to start the run, lastTokenAt when the
	// last token was received.
	startedAt, lastTokenAt time.Time
	// ran is true from the moment that the engine or service may have started.
	ran bool

	// sess is the session that receives the output; nil since detached.
	sess     *session
	detached time.Time
	out      output
}

// output is the output of a run that its entry has not acknowledged yet.
type output struct {
	// base is the position of tokens[0].
	base int
	// produced is true once a token was received.
	produced bool
	tokens   []string
	// next is the position of the next token to send in the present session.
	next int
	// acked is the position up to which the entry has acknowledged all tokens.
	acked int
	// final is the last frame of the output: Done, Refused or Reply.
	final     *wire.SidecarFrame
	finalSent bool
}

func (o *output) end() int { return o.base + len(o.tokens) }

// add appends tokens that start at position, except those already present. It returns
// false if the position would leave a gap.
func (o *output) add(position int, tokens []string) bool {
	if position > o.end() {
		return false
	}
	o.produced = true
	skip := o.end() - position
	if skip < len(tokens) {
		o.tokens = append(o.tokens, tokens[skip:]...)
	}
	return true
}

// ack drops the tokens before position.
func (o *output) ack(position int) {
	if position <= o.acked || position > o.end() {
		return
	}
	o.acked = position
	o.next = max(o.next, position)
	if drop := position - o.base; drop > 0 {
		o.tokens = o.tokens[drop:]
		o.base = position
	}
}

// rewind makes the next chunk start at position, and reports whether its tokens are
// still retained.
func (o *output) rewind(position int) bool {
	if position < o.base || position > o.end() {
		return false
	}
	o.next = position
	o.acked = position
	o.finalSent = false
	return true
}

// nextChunk returns the next chunk within the window, with nil tokens if there is none.
func (o *output) nextChunk(window int) (position int, tokens []string) {
	limit := min(o.end(), o.acked+window)
	if o.next >= limit {
		return o.next, nil
	}
	position = o.next
	tokens = o.tokens[position-o.base : limit-o.base]
	o.next = limit
	return position, tokens
}

// sendOutput sends the output that the window allows. The caller holds Server.mu.
func (r *run) sendOutput(window int) {
	if r.sess == nil {
		return
	}
	if pos, tokens := r.out.nextChunk(window); len(tokens) > 0 {
		r.sess.send(&wire.SidecarFrame{Body: &wire.SidecarFrame_Chunk{Chunk: &wire.Chunk{
			Ref: r.key.Ref(), Position: uint32(pos), Tokens: tokens,
		}}})
	}
	if r.out.final != nil && !r.out.finalSent && r.out.next == r.out.end() {
		r.out.finalSent = true
		r.sess.send(r.out.final)
	}
}

func refusal(key wire.Key, stage wire.Stage, o outcome.Outcome, head uint64) *wire.SidecarFrame {
	return &wire.SidecarFrame{Body: &wire.SidecarFrame_Refused{Refused: &wire.Refused{
		Ref:          key.Ref(),
		Stage:        stage,
		Kind:         wire.Kind(o.Kind),
		Reason:       string(o.Reason),
		RetryAfterMs: uint32(o.RetryAfter.Milliseconds()),
		Detail:       o.Detail,
		HeadRevision: head,
	}}}
}
