package quarantine

import (
	"fmt"
	"testing"
)

// BenchmarkDecide measures a decision with as many suspects as a Ledger remembers, as after the loss of a rack.
func BenchmarkDecide(b *testing.B) {
	l := New()
	for i := range maxSuspects {
		observeAll(l, 0, fmt.Sprint("s", i/40), fmt.Sprint(i))
	}
	now := at(1)
	for b.Loop() {
		l.Decide(now)
	}
}

// BenchmarkQuarantined measures the check of each request while any is suspected.
func BenchmarkQuarantined(b *testing.B) {
	l := New()
	observeAll(l, 0, "s", "one", "two")
	now := at(1)
	for b.Loop() {
		l.Quarantined(one, nil, now)
	}
}

// BenchmarkObserveFull measures an observation by a Ledger that remembers as many suspects as it may.
func BenchmarkObserveFull(b *testing.B) {
	l := New()
	for i := range maxSuspects {
		observeAll(l, float64(i)/1000, "s", fmt.Sprint(i))
	}
	i := maxSuspects
	for b.Loop() {
		i++
		observeAll(l, float64(i)/1000, "s", fmt.Sprint(i))
	}
}

// BenchmarkDecideParts measures a decision with as many lost runs as a Ledger remembers, of three parts each.
func BenchmarkDecideParts(b *testing.B) {
	l := New()
	for i := range maxLostRuns {
		lose(l, 0, fmt.Sprint("s", i/10), fmt.Sprint("c", i), "first", fmt.Sprint("part-", i%500), fmt.Sprint("document-", i))
	}
	now := at(1)
	for b.Loop() {
		now = now.Add(partsInterval)
		l.Decide(now)
	}
}

// BenchmarkRunBegan measures what each run that begins costs, with and without suspected parts.
func BenchmarkRunBegan(b *testing.B) {
	for name, lost := range map[string]int{"none suspected": 0, "forty runs lost": 40} {
		b.Run(name, func(b *testing.B) {
			l := New()
			for i := range lost {
				lose(l, 0, fmt.Sprint("s", i/10), fmt.Sprint("c", i), fmt.Sprint("part-", i))
			}
			parts := []string{"first", "session", "document"}
			now := at(1)
			for b.Loop() {
				l.RunBegan(parts, now)
			}
		})
	}
}
