package entry

import (
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// handle processes one frame of the run and reports whether the attempt ended.
func (a *attempt) handle(f *wire.SidecarFrame) (outcome.Outcome, bool) {
	switch b := f.GetBody().(type) {
	case *wire.SidecarFrame_Chunk:
		return a.handleChunk(b.Chunk)
	case *wire.SidecarFrame_Refused:
		return a.refine(a.refused(b.Refused)), true
	case *wire.SidecarFrame_Done:
		return a.handleDone(b.Done)
	}
	return outcome.Outcome{}, false
}

// handleChunk takes tokens in order: those received before are dropped, and after a gap the missing ones are
// requested again.
func (a *attempt) handleChunk(c *wire.Chunk) (outcome.Outcome, bool) {
	pos := int(c.GetPosition())
	if pos > a.r.received {
		a.attach()
		return outcome.Outcome{}, false
	}
	skip := a.r.received - pos
	if skip >= len(c.GetTokens()) {
		return outcome.Outcome{}, false
	}
	fresh := c.GetTokens()[skip:]
	if parts := a.r.content.parts; len(parts) > 0 && a.r.received == a.receivedBefore {
		a.s.quarantine.RunBegan(parts)
	}
	for _, t := range fresh {
		a.r.text = append(a.r.text, t...)
	}
	a.r.received += len(fresh)
	if err := a.r.out.tokens(fresh); err != nil {
		return outcome.Fail(outcome.CallerGone, err.Error()), true
	}
	if a.r.received-a.ackedPosition >= wire.AckEvery {
		a.ack()
	}
	return outcome.Outcome{}, false
}

func (a *attempt) ack() {
	a.ackedPosition = a.r.received
	_ = a.decode.send(&wire.EntryFrame{Body: &wire.EntryFrame_Ack{Ack: &wire.Ack{Ref: a.key.Ref(), Position: uint32(a.r.received)}}})
}

// handleDone ends the answer once it is complete.
func (a *attempt) handleDone(d *wire.Done) (outcome.Outcome, bool) {
	if int(d.GetTotal()) > a.r.received {
		a.attach()
		return outcome.Outcome{}, false
	}
	if int(d.GetTotal()) < a.r.received {
		return outcome.Fail(outcome.AnswerIncomplete, "answer longer than its stated total"), true
	}
	if a.servers.prefill == nil {
		a.s.placer.recordPrefillResult(a.servers.decode, a.r, int(d.GetCachedTokens()))
	}
	if err := a.r.out.done(d); err != nil {
		return outcome.Fail(outcome.CallerGone, err.Error()), true
	}
	return outcome.Outcome{Kind: outcome.Completed}, true
}

func (a *attempt) attach() {
	_ = a.decode.send(&wire.EntryFrame{Body: &wire.EntryFrame_Attach{Attach: &wire.Attach{Ref: a.key.Ref(), Position: uint32(a.r.received)}}})
}
