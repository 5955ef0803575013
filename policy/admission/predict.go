package admission

import (
	"math"
	"time"
)

// Bounds and steps of caution, the number of standard deviations by which fewer
// ends are counted on than expected. A promise that came too early raises it.
const (
	minCaution  = 1.5
	maxCaution  = 4.0
	cautionUp   = 0.5
	cautionDown = 0.02
)

// horizon bounds the search for the time at which a place becomes free.
const horizon = 10 * time.Minute

// ends returns how many of the present runs end by t, less caution standard
// deviations, rounded down.
func (d *Decode) ends(now, t time.Time, caution float64) int {
	step := d.steps.of(max(d.busy, 1))
	if step <= 0 || !t.After(now) {
		return 0
	}
	more := float64(t.Sub(now)) / float64(step)
	var mean, variance float64
	for _, p := range d.ordered {
		if p.state != running {
			continue
		}
		done := float64(p.tokens) + float64(now.Sub(p.seen))/float64(step)
		chance := p.lengths.endsWithin(done, more, p.req.MaxTokens)
		mean += chance
		variance += chance * (1 - chance)
	}
	const rounding = 1e-9
	return max(0, int(mean-caution*math.Sqrt(variance)+rounding))
}

// free returns how many further places can be promised for the time t on, with
// all earlier promises kept: the least number of free places at t and at each
// later time at which a promised place is needed.
func (d *Decode) free(now, t time.Time, tbt time.Duration) int {
	limit := d.limit(tbt)
	least := d.freeAt(now, t, limit)
	for _, p := range d.ordered {
		if p.state == promised && p.need.After(t) && least > 0 {
			least = min(least, d.freeAt(now, p.need, limit))
		}
	}
	return least
}

func (d *Decode) freeAt(now, t time.Time, limit int) int {
	room := limit
	for _, p := range d.ordered {
		if p.state != promised || !p.need.After(t) {
			room--
		}
	}
	if room > 0 || d.cfg.Ahead == 0 {
		return room
	}
	return room + min(d.ends(now, t, d.caution), d.cfg.Ahead)
}

// firstFree returns how long it takes until a place is expected to be free.
func (d *Decode) firstFree(now time.Time, tbt time.Duration) time.Duration {
	missing := len(d.ordered) + 1 - d.limit(tbt)
	if missing <= 0 {
		return 0
	}
	if d.busy < missing {
		return d.placeTime
	}
	low, high := time.Duration(0), time.Millisecond
	for high < horizon && d.ends(now, now.Add(high), 0) < missing {
		low, high = high, 2*high
	}
	for high-low > max(high/16, time.Millisecond) {
		mid := (low + high) / 2
		if d.ends(now, now.Add(mid), 0) < missing {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// limit returns the largest batch that keeps the tightest target for the time
// between tokens among tbt and all places given out.
func (d *Decode) limit(tbt time.Duration) int {
	for _, p := range d.ordered {
		tbt = tighter(tbt, p.req.TBT)
	}
	return d.steps.limit(tbt, d.cfg.Slots)
}

// tighter returns the lower target; 0 is none.
func tighter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// cost returns the expected time for which a request holds its place.
func (d *Decode) cost(r DecodeRequest) time.Duration {
	tokens := d.classes[classKey{r.Customer, r.Class}].expect(r.MaxTokens)
	return r.PrefillTime + d.link.Time(r.KVBytes) + time.Duration(tokens)*d.steps.of(d.cfg.Slots)
}
