package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

const (
	// minContents is the number of different requests with a part under which servers must have terminated: the
	// terminations under one request that is repeated are explained by that request as a whole.
	minContents = 2
	// minEvidence is the natural logarithm of the likelihood ratio from which a part counts as crashing: the terminations
	// are a thousand times as likely if it crashes each server as if they coincided with any of the parts by chance.
	minEvidence = 6.9
	// maxLostRuns and maxBegins bound the memory of partEvidence; the oldest are dropped first.
	maxLostRuns = 600
	maxBegins   = 1000
	// maxReportedParts bounds the parts of which one router's counts are kept.
	maxReportedParts = 200
)

// lostRun is a run that had generated nothing yet when its server terminated.
type lostRun struct {
	server  string
	at      time.Time
	content fingerprint.Digest
	// parts are the parts of its prompt that other requests may have too.
	parts []string
}

// hasAll reports whether the run's prompt has all these parts.
func (r *lostRun) hasAll(parts []string) bool { return containsAll(r.parts, parts) }

func containsAll(list, wanted []string) bool {
	return !slices.ContainsFunc(wanted, func(p string) bool { return !slices.Contains(list, p) })
}

// partEvidence holds what is known of parts of prompts: a part that crashes servers is in runs that were lost before they
// generated anything, and in no run that began to generate.
type partEvidence struct {
	lost []lostRun
	// cleared is when a run with the part last began to generate, for the parts of lost runs.
	cleared map[string]time.Time
	// begins are the times at which runs of this router began to generate.
	begins []time.Time
	// shares counts the runs of this router, reported what other routers last reported of theirs.
	shares   partShares
	reported map[string]reportedShares
}

// Shares counts runs that began to generate at one router.
type Shares struct {
	Runs int
	// Parts counts those with a part, for the parts that the router was asked for.
	Parts map[string]int
}

type reportedShares struct {
	Shares
	at time.Time
}

func newPartEvidence() partEvidence {
	return partEvidence{cleared: map[string]time.Time{}, shares: partShares{counts: map[string]int{}}, reported: map[string]reportedShares{}}
}

// add records a lost run, and reports whether it is new.
func (e *partEvidence) add(r lostRun) bool {
	if slices.ContainsFunc(e.lost, func(o lostRun) bool { return o.server == r.server && o.content == r.content }) {
		return false
	}
	if len(e.lost) >= maxLostRuns {
		e.lost = slices.Delete(e.lost, 0, maxLostRuns/10)
	}
	e.lost = append(e.lost, r)
	return true
}

// suspects reports whether a run with the part was lost and none has begun to generate since.
func (e *partEvidence) suspects(part string) bool {
	return slices.ContainsFunc(e.lost, func(r lostRun) bool { return slices.Contains(r.parts, part) && e.counts(&r, part) })
}

// counts reports whether a lost run counts against one of its parts.
func (e *partEvidence) counts(r *lostRun, part string) bool { return r.at.After(e.cleared[part]) }

// clear records that a run with the part began to generate.
func (e *partEvidence) clear(part string, at time.Time) { e.cleared[part] = later(e.cleared[part], at) }

// began records that a run of this router began to generate.
func (e *partEvidence) began(parts []string, now time.Time) {
	e.shares.add(parts)
	if len(e.begins) >= maxBegins {
		e.begins = slices.Delete(e.begins, 0, maxBegins/10)
	}
	e.begins = append(e.begins, now)
}

// expire drops lost runs older than ObservationTTL and what is known of the parts of such runs alone.
func (e *partEvidence) expire(now time.Time) {
	e.lost = slices.DeleteFunc(e.lost, func(r lostRun) bool { return now.Sub(r.at) >= ObservationTTL })
	maps.DeleteFunc(e.cleared, func(_ string, at time.Time) bool { return now.Sub(at) >= ObservationTTL })
	maps.DeleteFunc(e.reported, func(_ string, r reportedShares) bool { return now.Sub(r.at) >= ObservationTTL })
	e.begins = slices.DeleteFunc(e.begins, func(at time.Time) bool { return now.Sub(at) >= ObservationTTL })
}

// beginsSince returns the number of runs of this router that began to generate after t.
func (e *partEvidence) beginsSince(t time.Time) int {
	i, _ := slices.BinarySearchFunc(e.begins, t, func(at, t time.Time) int {
		if at.After(t) {
			return 1
		}
		return -1
	})
	return len(e.begins) - i
}

// share estimates the share of the runs that begin to generate, at any router, that have a part, by Laplace's rule of
// succession.
func (e *partEvidence) share(part string) float64 {
	runs, with := e.shares.runs, e.shares.counts[part]
	for _, r := range e.reported {
		if n, ok := r.Parts[part]; ok {
			runs, with = runs+r.Runs, with+n
		}
	}
	return float64(with+1) / float64(runs+2)
}

// Shares returns the counts of this router, of the parts of prompts given.
func (l *Ledger) Shares(parts []string) Shares {
	out := Shares{Runs: l.evidence.shares.runs, Parts: map[string]int{}}
	for _, p := range parts {
		out.Parts[p] = l.evidence.shares.counts[p]
	}
	return out
}

// ObserveShares takes the counts of another router, of parts that it reports as lost.
func (l *Ledger) ObserveShares(router string, s Shares, at time.Time) {
	known := l.evidence.reported[router].Parts
	if known == nil {
		known = map[string]int{}
	}
	if len(known) < maxReportedParts {
		maps.Copy(known, s.Parts)
	}
	l.evidence.reported[router] = reportedShares{Shares: Shares{Runs: s.Runs, Parts: known}, at: at}
}

// maxCountedRuns is the number of runs from which the counts of partShares are halved.
const maxCountedRuns = 4096

// partShares counts the runs that begin to generate at this router, and those with a part, the latest ones most.
type partShares struct {
	runs   int
	counts map[string]int
}

func (s *partShares) add(parts []string) {
	s.runs++
	for _, p := range parts {
		s.counts[p]++
	}
	if s.runs < maxCountedRuns {
		return
	}
	s.runs /= 2
	for p, n := range s.counts {
		if s.counts[p] = n / 2; n < 2 {
			delete(s.counts, p)
		}
	}
}
