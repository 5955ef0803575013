package admission

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// estimate is what a new request has to expect.
type estimate struct {
	// slack is how long it may wait for a place; negative when its target is
	// missed without any wait.
	slack time.Duration
	// wait is the expected wait beyond the time at which the place is needed.
	wait time.Duration
	// linkWait is the part of the time before that for which the link is busy.
	linkWait time.Duration
	// possible is false when no batch keeps the target for the time between tokens.
	possible bool
	// over is true when the customer has used up its share and others want theirs.
	over bool
	full bool
}

func (d *Decode) estimate(now time.Time, r DecodeRequest) estimate {
	transfer := d.transfer(now, r)
	need := transfer.End().Sub(now)
	e := estimate{
		slack:    d.cfg.MaxWait,
		linkWait: transfer.Start.Sub(now) - r.PrefillTime,
		possible: d.steps.limit(r.TBT, d.cfg.Slots) > 0,
		over:     d.over(r) && (d.queue.Len() > d.queue.Queued(r.Customer) || d.owed.against(now, d, r) > 0),
		full:     len(d.waiting) >= d.cfg.MaxQueued,
	}
	if r.TTFT > 0 {
		e.slack = r.TTFT - need - d.steps.of(d.cfg.Slots)
	}
	ahead := d.queue.Ahead(r.Customer, r.Share, r.Urgency) / time.Duration(d.cfg.Slots)
	e.wait = max(0, d.firstFree(now, r.TBT)+ahead-need)
	return e
}

// refusal returns why the request is refused, or "" when it is not.
func (d *Decode) refusal(e estimate) outcome.Reason {
	switch {
	case !e.possible, e.slack+e.linkWait < 0:
		return outcome.TargetUnreachable
	case e.slack < 0:
		return outcome.LinkBusy
	case e.wait <= e.slack && !e.full:
		return ""
	case e.over:
		return outcome.ShareExceeded
	default:
		return outcome.NoPlace
	}
}

// refuse returns the refusal of r, which may come back after need at the earliest.
func (d *Decode) refuse(now time.Time, r DecodeRequest, reason outcome.Reason, need time.Duration) Decision {
	gap := d.placeTime / time.Duration(d.cfg.Slots)
	after := d.returns.after(now, r.Key, need, gap)
	if reason == outcome.NoPlace && !d.over(r) {
		d.owed.add(r.Customer, now.Add(after+owedGrace))
	}
	return Decision{Key: r.Key, Verdict: Rejected, Reason: reason, RetryAfter: after}
}

func (d *Decode) over(r DecodeRequest) bool {
	return d.queue.Held(r.Customer) >= d.queue.Entitled(r.Share)
}

// owedGrace is how long after its time to come back a refused customer is waited for.
const owedGrace = 500 * time.Millisecond

// owed remembers customers that were refused while within their share. Places
// are kept for their return from customers above theirs, one for each, up to a
// bound and a time; so a lent share comes back though its owner was turned away.
type owed struct {
	max   int
	until map[string]time.Time
}

func newOwed(places int) owed {
	return owed{max: places / 8, until: make(map[string]time.Time)}
}

func (o *owed) add(customer string, until time.Time) {
	if _, ok := o.until[customer]; ok || len(o.until) < o.max {
		o.until[customer] = until
	}
}

func (o *owed) settle(customer string) {
	delete(o.until, customer)
}

// against returns the number of places that r may not have.
func (o *owed) against(now time.Time, d *Decode, r DecodeRequest) int {
	for customer, until := range o.until {
		if !until.After(now) {
			delete(o.until, customer)
		}
	}
	if len(o.until) == 0 || !d.over(r) {
		return 0
	}
	n := len(o.until)
	if _, own := o.until[r.Customer]; own {
		n--
	}
	return n
}
