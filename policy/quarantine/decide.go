package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

// Decide starts the holds that are due and returns them, and when to decide next; zero if nothing is pending.
//
// Among the requests under which enough servers have terminated, the one with the most terminations is first. Of several
// with as many, it is the one that had generated the fewest tokens: a crashing request crashes a server when it begins to
// run, while the requests beside it had been running before. The terminations under the selected request no longer count
// against the others. Parts of prompts are decided before whole requests.
func (l *Ledger) Decide(now time.Time) (started []Hold, next time.Time) {
	started, next = l.decideParts(now)
	if !next.IsZero() {
		return started, next
	}
	for {
		c, ok := l.topCandidate(now)
		if !ok {
			return started, time.Time{}
		}
		if due := c.reached.Add(SettleDelay); due.After(now) {
			return started, due
		}
		h := Hold{Content: c.content, Duration: FirstHold}
		if old, ok := l.holds[c.content]; ok {
			h.Duration = min(2*old.Duration, MaxHold)
		}
		h.Until = now.Add(h.Duration)
		if !l.AddHold(h) {
			return started, time.Time{}
		}
		started = append(started, h)
	}
}

// partsInterval is the least time between two decisions on parts, which look at all lost runs.
const partsInterval = SettleDelay / 3

// decideParts starts the holds of parts that are due.
func (l *Ledger) decideParts(now time.Time) (started []Hold, next time.Time) {
	if len(l.evidence.lost) == 0 {
		return nil, time.Time{}
	}
	if next := l.partsDecided.Add(partsInterval); next.After(now) {
		return nil, next
	}
	l.partsDecided = now
	for {
		h, reached, ok := l.renewedPart(now)
		if !ok {
			h, reached, ok = l.topPart(now)
		}
		if !ok {
			return started, time.Time{}
		}
		if due := reached.Add(SettleDelay); due.After(now) {
			return started, due
		}
		if !l.AddHold(h) {
			return started, time.Time{}
		}
		started = append(started, h)
	}
}

// candidate is a request under which enough servers have terminated.
type candidate struct {
	content      fingerprint.Digest
	terminations int
	// generated is the number of tokens that all its runs had generated, reached the time of the last termination that
	// was required.
	generated int
	reached   time.Time
}

// topCandidate returns the candidate to decide first.
func (l *Ledger) topCandidate(now time.Time) (candidate, bool) {
	var best candidate
	for d, x := range l.suspects {
		if _, known := l.holds[d]; len(x.terminations) < MaxTerminations && !known {
			continue // Nearly all suspects stop here, so a scan of 8,000 takes 0.1 ms.
		}
		if l.holds[d].Until.After(now) {
			continue
		}
		c, ok := x.candidate(l.explained, l.requiredTerminations(d, now), l.holds[d].Until)
		if !ok {
			continue
		}
		c.content = d
		if best.terminations == 0 || ranksBefore(c, best) {
			best = c
		}
	}
	return best, best.terminations > 0
}

func ranksBefore(a, b candidate) bool {
	return cmp.Or(cmp.Compare(b.terminations, a.terminations), cmp.Compare(a.generated, b.generated), a.reached.Compare(b.reached),
		slices.Compare(a.content[:], b.content[:])) < 0
}

// requiredTerminations returns the number of terminations that start a hold: one is enough while an earlier hold of the
// request is remembered.
func (l *Ledger) requiredTerminations(d fingerprint.Digest, now time.Time) int {
	if h, ok := l.holds[d]; ok && h.forgottenAt().After(now) {
		return 1
	}
	return MaxTerminations
}

// candidate counts the terminations after some time that no quarantined request explains.
func (x *suspect) candidate(explained map[string]explanation, required int, since time.Time) (candidate, bool) {
	var c candidate
	var times []time.Time
	for _, e := range x.terminations {
		if _, ok := explained[e.server]; !ok && e.at.After(since) {
			c.terminations++
			c.generated += e.generated
			times = append(times, e.at)
		}
	}
	if c.terminations < required {
		return c, false
	}
	slices.SortFunc(times, time.Time.Compare)
	c.reached = times[required-1]
	return c, true
}
