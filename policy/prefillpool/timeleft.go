package prefillpool

import "time"

// handOverWeight is the weight of the latest observation in the mean of the time of hand-overs.
const handOverWeight = 0.1

// ObserveHandOver records how long after it was sent a run has begun that fetched the KV cache of its prompt.
func (p *Pool) ObserveHandOver(took time.Duration) {
	if p.handOver == 0 {
		p.handOver = took
	}
	p.handOver += time.Duration(handOverWeight * float64(took-p.handOver))
}

// tooLate reports whether a prompt would be prefilled in vain: the decode engine could not begin the run before the
// deadline, or has given its memory away.
func (p *Pool) tooLate(q Request, expected time.Duration) bool {
	return q.Left > 0 && expected+p.handOver > q.Left || q.ReservationLeft > 0 && expected > q.ReservationLeft
}

// DecodePrefillTooLate reports whether the decode engine, although it works on nothing else, can't prefill the prompt
// before the deadline.
func (p *Pool) DecodePrefillTooLate(q Request) bool {
	factor := max(p.cfg.DecodePrefillFactor, 1)
	return q.Left > 0 && time.Duration(factor*float64(q.Tokens)*float64(p.perToken())) > q.Left
}
