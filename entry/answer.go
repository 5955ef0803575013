package entry

import (
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// take handles one frame of the run; it reports whether the attempt ended.
func (a *attempt) take(f *wire.SidecarFrame) (outcome.Outcome, bool) {
	switch b := f.GetBody().(type) {
	case *wire.SidecarFrame_Chunk:
		return a.chunk(b.Chunk)
	case *wire.SidecarFrame_Refused:
		return a.ended(refused(b.Refused)), true
	case *wire.SidecarFrame_Done:
		return a.done(b.Done)
	}
	return outcome.Outcome{}, false
}

// chunk takes tokens in order; what was received before is dropped, and a gap is
// fetched again.
func (a *attempt) chunk(c *wire.Chunk) (outcome.Outcome, bool) {
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
	for _, t := range fresh {
		a.r.text = append(a.r.text, t...)
	}
	a.r.received += len(fresh)
	if err := a.r.out.tokens(fresh); err != nil {
		return outcome.Fail(outcome.CallerGone, err.Error()), true
	}
	if a.r.received-a.acked >= wire.AckEvery {
		a.ack()
	}
	return outcome.Outcome{}, false
}

func (a *attempt) ack() {
	a.acked = a.r.received
	_ = a.decode.send(&wire.EntryFrame{Body: &wire.EntryFrame_Ack{Ack: &wire.Ack{Ref: a.key.Ref(), Position: uint32(a.r.received)}}})
}

// done checks that the answer is whole before it is ended.
func (a *attempt) done(d *wire.Done) (outcome.Outcome, bool) {
	if int(d.GetTotal()) > a.r.received {
		a.attach()
		return outcome.Outcome{}, false
	}
	if int(d.GetTotal()) < a.r.received {
		return outcome.Fail(outcome.AnswerIncomplete, "answer longer than its end says"), true
	}
	if a.sv.prefill == nil {
		a.s.placer.prefilled(a.sv.decode, a.r, int(d.GetCachedTokens()))
	}
	if err := a.r.out.done(d); err != nil {
		return outcome.Fail(outcome.CallerGone, err.Error()), true
	}
	return outcome.Outcome{Kind: outcome.Completed}, true
}

func (a *attempt) attach() {
	_ = a.decode.send(&wire.EntryFrame{Body: &wire.EntryFrame_Attach{Attach: &wire.Attach{Ref: a.key.Ref(), Position: uint32(a.r.received)}}})
}
