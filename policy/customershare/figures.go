package customershare

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
)

// Key identifies one figure that a gateway reports: the memory that its requests of a customer hold in a pool of
// engines or, if Waiting is set, that its waiting requests of a priority need there.
type Key struct {
	Pool, Customer string
	Waiting        bool
	Priority       int
}

// Figures are amounts of memory in tokens; one that is missing is zero.
type Figures map[Key]int

// Figure is one of Figures.
type Figure struct {
	Key
	Tokens int
}

// Anonymous stands for the requests without a customer where the configuration has customers: those of public routes.
const Anonymous = "(anonymous)"

// MaxFigures bounds the customers, and separately the kinds of waiting requests, in one message: they take 500 bytes at
// most.
const MaxFigures = 32

// Tag identifies a customer and a pool of engines in messages, in four bytes. Of 340 customers and 32 pools two have
// the same tag with a probability of 0.014; the figures of one of them are then counted for the other.
type Tag uint32

// TagOf returns the tag of a customer and a pool.
func TagOf(pool, customer string) Tag {
	h := fnv.New32a()
	_, _ = io.WriteString(h, pool+"\x00"+customer) // A hash returns no error.
	return Tag(h.Sum32())
}

// Largest returns at most MaxFigures figures of what is held and as many of what waits, the largest first.
func (f Figures) Largest() []Figure {
	return largest(f, func(_ Key, tokens int) int { return tokens })
}

// largest returns the figures with the highest positive rank.
func largest(f Figures, rank func(k Key, tokens int) int) []Figure {
	var held, waiting []Figure
	for k, tokens := range f {
		switch {
		case rank(k, tokens) <= 0:
		case k.Waiting:
			waiting = append(waiting, Figure{k, tokens})
		default:
			held = append(held, Figure{k, tokens})
		}
	}
	compare := func(a, b Figure) int {
		return cmp.Or(cmp.Compare(rank(b.Key, b.Tokens), rank(a.Key, a.Tokens)), compareKeys(a.Key, b.Key))
	}
	slices.SortFunc(held, compare)
	slices.SortFunc(waiting, compare)
	return append(held[:min(len(held), MaxFigures)], waiting[:min(len(waiting), MaxFigures)]...)
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Priority, b.Priority))
}

// Reporter decides which figures have changed by enough to be reported between two full reports. The zero value has
// reported nothing.
type Reporter struct{ reported Figures }

// minChange is the smallest reported change, as a fraction of what was last reported: the share of a customer is known
// within an eighth then. Waiting requests are reported when they begin and cease to wait, and when they change by half:
// their amount matters less, since a request yields to any that waits.
const (
	minChange        = 8
	minWaitingChange = 2
)

// Changes returns the figures to report, the largest changes first, and records them as reported. Figures that have
// become zero are among them.
func (r *Reporter) Changes(now Figures) []Figure {
	all := make(Figures, len(now))
	for k := range r.reported {
		all[k] = 0
	}
	for k, tokens := range now {
		all[k] = tokens
	}
	out := largest(all, func(k Key, tokens int) int { return significantChange(k, r.reported[k], tokens) })
	for _, f := range out {
		if r.reported == nil {
			r.reported = Figures{}
		}
		if r.reported[f.Key] = f.Tokens; f.Tokens == 0 {
			delete(r.reported, f.Key)
		}
	}
	return out
}

// significantChange returns by how much a figure has changed, or zero if that is too little to report.
func significantChange(k Key, reported, tokens int) int {
	change := max(tokens-reported, reported-tokens)
	fraction := minChange
	if k.Waiting {
		fraction = minWaitingChange
	}
	if tokens != 0 && change*fraction < reported {
		return 0
	}
	return change
}
