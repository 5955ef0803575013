package quarantine

import (
	"fmt"
	"testing"
)

// BenchmarkDecide is a look for decisions after as many ends as a Ledger remembers: a rack that was lost.
func BenchmarkDecide(b *testing.B) {
	l := New()
	for i := range maxSuspects {
		sightAll(l, 0, fmt.Sprint("s", i/40), fmt.Sprint(i))
	}
	now := at(1)
	for b.Loop() {
		l.Decide(now)
	}
}

// BenchmarkHeld is the look that each request takes while anything is suspect.
func BenchmarkHeld(b *testing.B) {
	l := New()
	sightAll(l, 0, "s", "one", "two")
	now := at(1)
	for b.Loop() {
		l.Quarantined(one, now)
	}
}

// BenchmarkSightFull is a sighting of a request while a Ledger remembers as many as it may.
func BenchmarkSightFull(b *testing.B) {
	l := New()
	for i := range maxSuspects {
		sightAll(l, float64(i)/1000, "s", fmt.Sprint(i))
	}
	i := maxSuspects
	for b.Loop() {
		i++
		sightAll(l, float64(i)/1000, "s", fmt.Sprint(i))
	}
}
