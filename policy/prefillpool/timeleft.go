package prefillpool

import "time"

// handOverWeight is the weight of the latest observation in the mean of the time of hand-overs.
const handOverWeight = 0.1

// handOverTTL is how long the mean time of hand-overs counts after the latest observation. While it is so long that no
// prompt is sent, nothing is observed.
const handOverTTL = 5 * time.Second

// handOver is the mean time from the sending of a run that fetches the KV cache of its prompt to its beginning.
type handOver struct {
	mean       time.Duration
	observedAt time.Time
}

// at returns the mean; zero if it is not known.
func (h *handOver) at(now time.Time) time.Duration {
	if now.Sub(h.observedAt) >= handOverTTL {
		return 0
	}
	return h.mean
}

// ObserveHandOver records how long after it was sent a run has begun that fetched the KV cache of its prompt.
func (p *Pool) ObserveHandOver(took time.Duration, now time.Time) {
	mean := p.handOver.at(now)
	if mean == 0 {
		mean = took
	}
	p.handOver = handOver{mean + time.Duration(handOverWeight*float64(took-mean)), now}
}

// tooLate reports whether a prompt would be prefilled in vain: the decode engine could not begin the run before the
// deadline, or has given its memory away.
func (p *Pool) tooLate(q Request, expected time.Duration, now time.Time) bool {
	return q.Left > 0 && expected+p.handOver.at(now) > q.Left || q.ReservationLeft > 0 && expected > q.ReservationLeft
}

// DecodePrefillTooLate reports whether the decode engine, although it works on nothing else, can't prefill the prompt
// before the deadline.
func (p *Pool) DecodePrefillTooLate(q Request) bool {
	factor := max(p.cfg.DecodePrefillFactor, 1)
	return q.Left > 0 && time.Duration(factor*float64(q.Tokens)*float64(p.perToken())) > q.Left
}
