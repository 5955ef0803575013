package admission

import (
	"math"
	"time"
)

// Bounds and steps of the safety factor: the number of standard deviations that is subtracted
// from the expected number of completions. A reservation that finds no free slot when it starts
// raises it, an overcommitted one that finds one lowers it.
const (
	minSafetyFactor  = 1.5
	maxSafetyFactor  = 4.0
	safetyFactorUp   = 0.5
	safetyFactorDown = 0.02
)

// searchHorizon bounds the search for the time at which a slot becomes free.
const searchHorizon = 10 * time.Minute

// completions predicts how many of the current runs complete by t: the expected number less
// safetyFactor standard deviations, rounded down.
func (d *Decode) completions(now, t time.Time, safetyFactor float64) int {
	step := d.stepModel.stepTime(max(d.running, 1))
	if step <= 0 || !t.After(now) {
		return 0
	}
	more := float64(t.Sub(now)) / float64(step)
	var mean, variance float64
	for _, s := range d.byGrant {
		if s.state != running {
			continue
		}
		done := float64(s.tokens) + float64(now.Sub(s.reportedAt))/float64(step)
		probability := s.lengths.completesWithin(done, more, s.request.MaxTokens)
		mean += probability
		variance += probability * (1 - probability)
	}
	const rounding = 1e-9
	return max(0, int(mean-safetyFactor*math.Sqrt(variance)+rounding))
}

// freeSlots returns how many more slots can be reserved from t on without breaking an existing
// reservation: the minimum of the free slots at t and at each later time at which a reserved slot
// is needed.
func (d *Decode) freeSlots(now, t time.Time, tbt time.Duration) int {
	limit := d.maxBatch(tbt)
	minFree := d.freeSlotsAt(now, t, limit)
	for _, s := range d.byGrant {
		if s.state == reserved && s.neededAt.After(t) && minFree > 0 {
			minFree = min(minFree, d.freeSlotsAt(now, s.neededAt, limit))
		}
	}
	return minFree
}

func (d *Decode) freeSlotsAt(now, t time.Time, limit int) int {
	free := limit
	for _, s := range d.byGrant {
		if s.state != reserved || !s.neededAt.After(t) {
			free--
		}
	}
	if free > 0 || d.cfg.MaxOvercommit == 0 {
		return free
	}
	return free + min(d.completions(now, t, d.safetyFactor), d.cfg.MaxOvercommit)
}

// timeToFreeSlot returns the expected time until a slot is free.
func (d *Decode) timeToFreeSlot(now time.Time, tbt time.Duration) time.Duration {
	missing := len(d.byGrant) + 1 - d.maxBatch(tbt)
	if missing <= 0 {
		return 0
	}
	if d.running < missing {
		return d.meanSlotTime
	}
	low, high := time.Duration(0), time.Millisecond
	for high < searchHorizon && d.completions(now, now.Add(high), 0) < missing {
		low, high = high, 2*high
	}
	for high-low > max(high/16, time.Millisecond) {
		mid := (low + high) / 2
		if d.completions(now, now.Add(mid), 0) < missing {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// maxBatch returns the largest batch that meets the lowest target for the time between tokens
// among tbt and those of all slots in use.
func (d *Decode) maxBatch(tbt time.Duration) int {
	for _, s := range d.byGrant {
		tbt = minTarget(tbt, s.request.TBT)
	}
	return d.stepModel.maxBatch(tbt, d.cfg.Slots)
}

// minTarget returns the lower of two targets; 0 means no target.
func minTarget(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// cost returns the expected time for which a request occupies its slot.
func (d *Decode) cost(r DecodeRequest) time.Duration {
	tokens := d.lengthsByClass[classKey{r.Customer, r.Class}].expected(r.MaxTokens)
	return r.PrefillTime + d.link.TransferTime(r.KVBytes) + time.Duration(tokens)*d.stepModel.stepTime(d.cfg.Slots)
}
