package enginepace

import "slices"

// Fleet summarises the usual pace of the engines of one service.
type Fleet struct {
	// Known is the number of engines whose pace is known.
	Known int
	// Fastest, Median and Slowest are in seconds per token; zero if no engine is known.
	Fastest, Median, Slowest float64
}

// Summarize returns the summary of paces in seconds per token, of which those that are zero are
// unknown. It reorders paces.
func Summarize(paces []float64) Fleet {
	paces = slices.DeleteFunc(paces, func(p float64) bool { return p <= 0 })
	n := len(paces)
	if n == 0 {
		return Fleet{}
	}
	slices.Sort(paces)
	return Fleet{Known: n, Fastest: paces[n/20], Median: paces[n/2], Slowest: paces[n-1-n/20]}
}

const (
	// unequalRatio is the ratio of the slowest to the fastest engine from which engines count as
	// different. The load of engines that are equal, or differ by 1.3, makes a ratio of up to 1.5.
	unequalRatio = 1.7
	// minKnown is the number of engines that have to be known for that.
	minKnown = 3
)

// Spread is the ratio of the slowest to the fastest engine; zero if none is known.
func (f Fleet) Spread() float64 {
	if f.Fastest <= 0 {
		return 0
	}
	return f.Slowest / f.Fastest
}

// Unequal reports whether the engines differ in speed by more than their load explains. One engine
// in twenty at either end is left out.
func (f Fleet) Unequal() bool {
	return f.Known >= minKnown && f.Spread() >= unequalRatio
}
