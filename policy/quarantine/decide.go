package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

// Decide begins the holds that are due and returns them, and when to decide again; zero if nothing waits.
//
// Of those under which enough servers have ended, the one with the most ends goes first, and of several with as
// many the one that had generated least when they ended: a request that ends servers does it when they begin to run
// it, and what ran beside it had been there before. Its ends explain nothing about the others any more.
func (l *Ledger) Decide(now time.Time) (begun []Hold, again time.Time) {
	for {
		c, ok := l.leader(now)
		if !ok {
			return begun, time.Time{}
		}
		if due := c.reached.Add(SettleDelay); due.After(now) {
			return begun, due
		}
		h := Hold{Content: c.content, Duration: FirstHold}
		if old, ok := l.holds[c.content]; ok {
			h.Duration = min(2*old.Duration, MaxHold)
		}
		h.Until = now.Add(h.Duration)
		if !l.AddHold(h) {
			return begun, time.Time{}
		}
		begun = append(begun, h)
	}
}

// candidate is a request under which enough servers have ended.
type candidate struct {
	content fingerprint.Digest
	ends    int
	// generated is what all its runs had generated, reached when the last end came that was needed.
	generated int
	reached   time.Time
}

// leader returns the candidate that is decided first.
func (l *Ledger) leader(now time.Time) (candidate, bool) {
	var best candidate
	for d, x := range l.suspects {
		if _, was := l.holds[d]; len(x.ends) < MaxTerminations && !was {
			continue // Nearly all of them: a look at 8,000 suspects takes 0.1 ms.
		}
		if _, held := l.Quarantined(d, now); held {
			continue
		}
		c, ok := x.candidate(l.explained, l.needs(d, now), l.holds[d].Until)
		if !ok {
			continue
		}
		c.content = d
		if best.ends == 0 || before(c, best) {
			best = c
		}
	}
	return best, best.ends > 0
}

func before(a, b candidate) bool {
	return cmp.Or(cmp.Compare(b.ends, a.ends), cmp.Compare(a.generated, b.generated), a.reached.Compare(b.reached),
		slices.Compare(a.content[:], b.content[:])) < 0
}

// needs is the number of ends that begin a hold: one is enough for a request that was held a while ago.
func (l *Ledger) needs(d fingerprint.Digest, now time.Time) int {
	if h, ok := l.holds[d]; ok && h.forgotten().After(now) {
		return 1
	}
	return MaxTerminations
}

// candidate counts the ends that nothing explains, of those after some time.
func (x *suspect) candidate(explained map[string]time.Time, needs int, after time.Time) (candidate, bool) {
	var c candidate
	var times []time.Time
	for _, e := range x.ends {
		if _, ok := explained[e.server]; !ok && e.at.After(after) {
			c.ends++
			c.generated += e.generated
			times = append(times, e.at)
		}
	}
	if c.ends < needs {
		return c, false
	}
	slices.SortFunc(times, time.Time.Compare)
	c.reached = times[needs-1]
	return c, true
}
