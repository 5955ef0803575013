package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

// partCandidate is a part that may have crashed servers.
type partCandidate struct {
	part string
	// runs are the lost runs that count against it, servers how many servers terminated with them.
	runs     []*lostRun
	servers  int
	evidence float64
	// first is when the first of the servers terminated, reached when the last one did that was required.
	first, reached time.Time
}

// topPart returns the hold of the part, or of the parts that can't be told apart, to decide first.
func (l *Ledger) topPart(now time.Time) (h Hold, reached time.Time, ok bool) {
	l.partsUndecided = false
	candidates := l.partCandidates(now)
	var best *partCandidate
	for _, c := range candidates {
		if best == nil || c.ranksBefore(best) {
			best = c
		}
	}
	if best == nil {
		return Hold{}, time.Time{}, false
	}
	best = best.narrowest(candidates)
	var parts []string
	for _, p := range best.common() {
		if candidates[p] != nil {
			parts = append(parts, p)
		}
	}
	h = Hold{Content: fingerprint.OfParts(parts), Parts: parts, Duration: PartHold, Until: now.Add(PartHold)}
	return h, best.reached, true
}

// partCandidates returns the parts with enough terminations and evidence that no hold covers.
func (l *Ledger) partCandidates(now time.Time) map[string]*partCandidate {
	all := map[string]*partCandidate{}
	servers := terminatedServers{}
	for i := range l.evidence.lost {
		r := &l.evidence.lost[i]
		servers.add(r)
		for _, p := range r.parts {
			if !l.evidence.counts(r, p) || l.explainedWithout(r, p) {
				continue
			}
			if all[p] == nil {
				all[p] = &partCandidate{part: p}
			}
			all[p].runs = append(all[p].runs, r)
		}
	}
	// Of the more parts one is chosen, the more likely one of them has as much evidence by chance.
	required := l.minEvidence + math.Log(float64(max(len(all), 1)))
	for p, c := range all {
		if !c.enoughTerminations() || l.covered(c, now) {
			delete(all, p)
			continue
		}
		c.evidence = l.weigh(c, servers)
		if c.evidence < required {
			l.partsUndecided = true
			delete(all, p)
		}
	}
	return all
}

// explainedWithout reports whether the termination that a run was lost with is explained by a hold that does not concern
// this part of the run.
func (l *Ledger) explainedWithout(r *lostRun, part string) bool {
	x, ok := l.explained[r.server]
	if !ok {
		return false
	}
	h, ok := l.holds[x.by]
	switch {
	case !ok:
		return true
	case len(h.Parts) == 0:
		return r.content != h.Content
	default:
		return !r.hasAll(h.Parts) || !slices.Contains(h.Parts, part)
	}
}

// terminatedServers are the servers that terminated with lost runs.
type terminatedServers map[string]*terminatedServer

type terminatedServer struct {
	at time.Time
	// runs is the number of lost runs.
	runs int
}

func (t terminatedServers) add(r *lostRun) {
	x := t[r.server]
	if x == nil {
		x = &terminatedServer{at: r.at}
		t[r.server] = x
	}
	x.runs++
	if r.at.Before(x.at) {
		x.at = r.at
	}
}

// enoughTerminations reports whether enough servers terminated under enough different requests with the part.
func (c *partCandidate) enoughTerminations() bool {
	contents := map[fingerprint.Digest]bool{}
	servers := terminatedServers{}
	for _, r := range c.runs {
		contents[r.content] = true
		servers.add(r)
	}
	if c.servers = len(servers); c.servers < MaxTerminations || len(contents) < minContents {
		return false
	}
	var times []time.Time
	for _, x := range servers {
		times = append(times, x.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	c.first, c.reached = times[0], times[MaxTerminations-1]
	return true
}

// weigh returns the evidence against a part: the logarithm of how much likelier it is, if the part crashes servers, that
// runs with it were lost at so many of the servers that terminated since the first of them, and that none has begun.
func (l *Ledger) weigh(c *partCandidate, servers terminatedServers) float64 {
	share := l.evidence.share(c.part)
	terminated, expected := 0, 0.0
	for server, x := range servers {
		if x.at.Before(c.first) || l.explainedByOther(server, c.part) {
			continue
		}
		terminated++
		expected += 1 - math.Pow(1-share, float64(x.runs))
	}
	begins := l.evidence.beginsSince(c.first)
	return excess(c.servers, terminated, expected/float64(max(terminated, 1))) - math.Log(1-share)*float64(begins)
}

// excess returns the logarithm of how unlikely at least k of n independent events are, each of probability p, by the
// Chernoff bound.
func excess(k, n int, p float64) float64 {
	k = min(k, n)
	share := float64(k) / float64(max(n, 1))
	if share <= p {
		return 0
	}
	out := share * math.Log(share/p)
	if k < n {
		out += (1 - share) * math.Log((1-share)/(1-p))
	}
	return float64(n) * out
}

// explainedByOther reports whether the termination of a server is explained by a hold of other parts or of a request.
func (l *Ledger) explainedByOther(server, part string) bool {
	x, ok := l.explained[server]
	return ok && !slices.Contains(l.holds[x.by].Parts, part)
}

// PartsUndecided reports whether Decide left a part undecided that only lacks evidence, which runs that begin to generate
// add.
func (l *Ledger) PartsUndecided() bool { return l.partsUndecided }

// covered reports whether a hold in force concerns the part, and no run with the part that it doesn't match was lost
// since it started.
func (l *Ledger) covered(c *partCandidate, now time.Time) bool {
	for _, h := range l.holds {
		if !h.Until.After(now) || !slices.Contains(h.Parts, c.part) {
			continue
		}
		if !slices.ContainsFunc(c.runs, func(r *lostRun) bool { return r.at.After(h.StartedAt()) && !r.hasAll(h.Parts) }) {
			return true
		}
	}
	return false
}

// common returns the parts that all the runs have.
func (c *partCandidate) common() []string {
	common := slices.Clone(c.runs[0].parts)
	for _, r := range c.runs[1:] {
		common = slices.DeleteFunc(common, func(p string) bool { return !slices.Contains(r.parts, p) })
	}
	slices.Sort(common)
	return slices.Compact(common)
}

func (c *partCandidate) ranksBefore(other *partCandidate) bool {
	return cmp.Or(cmp.Compare(other.servers, c.servers), cmp.Compare(other.evidence, c.evidence), cmp.Compare(c.part, other.part)) < 0
}

// otherCauses is the number of servers that may have terminated for another reason beside those that a part crashed.
const otherCauses = 1

// narrowest returns the candidate with the most evidence with which the same servers terminated, but for otherCauses of them: the
// runs with the part c that lack it were then lost by chance, and requests that lack it are sound.
func (c *partCandidate) narrowest(candidates map[string]*partCandidate) *partCandidate {
	best := c
	for _, other := range candidates {
		if c.serversWithout(other.part) <= otherCauses && other.evidence > best.evidence {
			best = other
		}
	}
	return best
}

// serversWithout returns how many servers terminated with lost runs none of which has another part.
func (c *partCandidate) serversWithout(part string) int {
	with, all := map[string]bool{}, map[string]bool{}
	for _, r := range c.runs {
		all[r.server] = true
		with[r.server] = with[r.server] || slices.Contains(r.parts, part)
	}
	without := 0
	for server := range all {
		if !with[server] {
			without++
		}
	}
	return without
}

// renewedPart returns a hold that has expired, and after which a server terminated under a run that it matches.
func (l *Ledger) renewedPart(now time.Time) (h Hold, reached time.Time, ok bool) {
	for _, h := range l.holds {
		if len(h.Parts) == 0 || h.Until.After(now) || !h.forgottenAt().After(now) {
			continue
		}
		for i := range l.evidence.lost {
			r := &l.evidence.lost[i]
			if r.at.After(h.Until) && r.hasAll(h.Parts) && l.evidence.counts(r, h.Parts[0]) {
				return Hold{Content: h.Content, Parts: h.Parts, Duration: h.Duration, Until: now.Add(h.Duration)}, r.at, true
			}
		}
	}
	return Hold{}, time.Time{}, false
}

// RunBegan records that a run of this router began to generate, so none of the parts of its prompt crashes servers. It
// returns the parts that had been suspected or held, and the changes of holds.
func (l *Ledger) RunBegan(parts []string, now time.Time) (cleared []string, changes HoldChanges) {
	l.evidence.began(parts, now)
	for _, p := range parts {
		if !l.evidence.suspects(p) && !l.heldPart(p) {
			continue
		}
		cleared = append(cleared, p)
		changes.add(l.ClearPart(p, now))
	}
	return cleared, changes
}

func (l *Ledger) heldPart(part string) bool {
	for _, h := range l.holds {
		if slices.Contains(h.Parts, part) {
			return true
		}
	}
	return false
}

// HoldChanges are the holds that ended and those that took their place.
type HoldChanges struct {
	Ended, Started []Hold
}

func (c *HoldChanges) add(o HoldChanges) {
	c.Ended = append(c.Ended, o.Ended...)
	c.Started = append(c.Started, o.Started...)
}

// ClearPart records that a run with the part began to generate at some time, here or at another router. Holds that began
// before go on for the other parts that they name.
func (l *Ledger) ClearPart(part string, at time.Time) (changes HoldChanges) {
	l.evidence.clear(part, at)
	for key, h := range l.holds {
		if !slices.Contains(h.Parts, part) || h.StartedAt().After(at) {
			continue
		}
		delete(l.holds, key)
		changes.Ended = append(changes.Ended, h)
	}
	for _, h := range changes.Ended {
		rest := l.uncleared(h)
		narrowed := Hold{Content: fingerprint.OfParts(rest), Parts: rest, Duration: h.Duration, Until: h.Until}
		if len(rest) > 0 && l.AddHold(narrowed) {
			changes.Started = append(changes.Started, narrowed)
		}
	}
	return changes
}

// uncleared returns the parts of a hold with which no run has begun to generate since it started.
func (l *Ledger) uncleared(h Hold) []string {
	return slices.DeleteFunc(slices.Clone(h.Parts), func(p string) bool {
		cleared, ok := l.evidence.cleared[p]
		return ok && !h.StartedAt().After(cleared)
	})
}

// explain marks the terminations of servers under runs that a hold of parts matches as explained by it.
func (l *Ledger) explain(h Hold) {
	for i := range l.evidence.lost {
		if r := &l.evidence.lost[i]; r.hasAll(h.Parts) {
			l.explained[r.server] = explanation{by: h.Content, at: r.at}
		}
	}
}
