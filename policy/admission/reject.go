package admission

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// estimate predicts how a new request would be served.
type estimate struct {
	// slack is how long the request may wait for a slot; negative when its target would be
	// missed even without a wait.
	slack time.Duration
	// wait is the expected wait for a slot beyond the time at which it is needed.
	wait time.Duration
	// linkWait is how long the KV cache is expected to wait for the inbound link once the prefill
	// is done.
	linkWait time.Duration
	// feasible is false when no batch size meets the target for the time between tokens.
	feasible bool
	// overShare is true when the customer has used up its share while other customers are
	// queued or have slots reserved after a rejection.
	overShare bool
	queueFull bool
}

func (d *Decode) estimate(now time.Time, r DecodeRequest) estimate {
	transfer := d.transfer(now, r)
	untilNeeded := transfer.End().Sub(now)
	e := estimate{
		slack:     d.cfg.MaxWait,
		linkWait:  transfer.Start.Sub(now) - r.PrefillTime,
		feasible:  d.stepModel.maxBatch(r.TBT, d.cfg.Slots) > 0,
		overShare: d.overShare(r) && (d.queue.Len() > d.queue.Queued(r.Customer) || d.debts.reservedForOthers(now, d, r) > 0),
		queueFull: len(d.queued) >= d.cfg.MaxQueued,
	}
	if r.TTFT > 0 {
		e.slack = r.TTFT - untilNeeded - d.stepModel.stepTime(d.cfg.Slots)
	}
	queueWait := d.queue.WorkAhead(r.Customer, r.Share, r.Urgency) / time.Duration(d.cfg.Slots)
	e.wait = max(0, d.timeToFreeSlot(now, r.TBT)+queueWait-untilNeeded)
	return e
}

// rejectionReason returns why the request is rejected, or "" when it is not.
func (d *Decode) rejectionReason(e estimate) outcome.Reason {
	switch {
	case !e.feasible, e.slack+e.linkWait < 0:
		return outcome.TargetUnreachable
	case e.slack < 0:
		return outcome.LinkBusy
	case e.wait <= e.slack && !e.queueFull:
		return ""
	case e.overShare:
		return outcome.ShareExceeded
	default:
		return outcome.NoDecodeSlot
	}
}

// reject returns the rejection of r, which is to be retried after minWait at the earliest.
func (d *Decode) reject(now time.Time, r DecodeRequest, reason outcome.Reason, minWait time.Duration) Decision {
	interval := d.meanSlotTime / time.Duration(d.cfg.Slots)
	after := d.retries.retryAfter(now, r.Key, minWait, interval)
	if reason == outcome.NoDecodeSlot && !d.overShare(r) {
		d.debts.add(r.Customer, now.Add(after+debtGrace))
	}
	return Decision{Key: r.Key, Verdict: Rejected, Reason: reason, RetryAfter: after}
}

func (d *Decode) overShare(r DecodeRequest) bool {
	return d.queue.InService(r.Customer) >= d.queue.Entitled(r.Share)
}

// debtGrace is how long a slot stays reserved for a rejected customer after the time at which it
// was asked to retry.
const debtGrace = 500 * time.Millisecond

// shareDebts records the customers that were rejected while within their share. One slot for each
// is reserved for its retry: customers above their share can't have it. The number of slots and
// the time are bounded. So a customer whose idle share was lent to others gets it back even when
// its first requests are rejected.
type shareDebts struct {
	max   int
	until map[string]time.Time
}

func newShareDebts(slots int) shareDebts {
	return shareDebts{max: slots / 8, until: make(map[string]time.Time)}
}

func (s *shareDebts) add(customer string, until time.Time) {
	if _, ok := s.until[customer]; ok || len(s.until) < s.max {
		s.until[customer] = until
	}
}

func (s *shareDebts) settle(customer string) {
	delete(s.until, customer)
}

// reservedForOthers returns the number of slots that r may not have, since they are reserved for
// retries of other customers.
func (s *shareDebts) reservedForOthers(now time.Time, d *Decode, r DecodeRequest) int {
	for customer, until := range s.until {
		if !until.After(now) {
			delete(s.until, customer)
		}
	}
	if len(s.until) == 0 || !d.overShare(r) {
		return 0
	}
	n := len(s.until)
	if _, own := s.until[r.Customer]; own {
		n--
	}
	return n
}
