// Package subset chooses the backend servers to which an entry keeps links: a bounded number for
// each model and role, such that all zones are covered, every server is covered by about the same
// number of entries, and adding or removing one server or entry changes few links.
//
// The algorithm is rendezvous hashing. If entries know their index and number, the coverage of a
// server is limited to the rounded-up mean of its zone as long as other servers are below it;
// otherwise the coverage varies as with random choice. Functions are pure, deterministic and safe
// for concurrent use.
package subset

import (
	"cmp"
	"slices"
	"strconv"
)

// Entry is the entry process that chooses.
type Entry struct {
	ID, Zone string
	// Index is the position of the entry among all Count entries; a Count of zero means that they
	// are unknown. All entries must agree on Count.
	Index, Count int
}

// Backend is one server of the model and role.
type Backend struct {
	ID, Zone string
}

// Options set the size and zones of a subset.
type Options struct {
	// MaxSize is the maximum number of servers chosen; zero or less means all.
	MaxSize int
	// OwnZoneShare is the minimum fraction of MaxSize that comes from the entry's own zone, if
	// that has enough servers. It is ignored with a known Count, where all entries must use the
	// same quotas.
	OwnZoneShare float64
}

// Pick returns the ids of the chosen servers, sorted.
func Pick(e Entry, backends []Backend, o Options) []string {
	if o.MaxSize <= 0 || len(backends) <= o.MaxSize {
		return sortedIDs(backends)
	}
	zones := groupByZone(backends)
	if e.Count > 0 && e.Index >= 0 && e.Index < e.Count {
		return pickEven(e, zones, quotas(zones, o.MaxSize, "", 0))
	}
	var chosen []string
	for i, quota := range quotas(zones, o.MaxSize, e.Zone, o.OwnZoneShare) {
		chosen = append(chosen, highestRanked(hashString(e.ID), zones[i].servers, quota)...)
	}
	slices.Sort(chosen)
	return chosen
}

// hashedServer is a backend server with its hash and the number of entries that cover it.
type hashedServer struct {
	id       string
	hash     uint64
	coverage int
}

// zone holds the servers of one zone, ordered by id.
type zone struct {
	name    string
	servers []hashedServer
}

func groupByZone(backends []Backend) []zone {
	sorted := slices.Clone(backends)
	slices.SortFunc(sorted, func(a, b Backend) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	var zones []zone
	for _, b := range sorted {
		if len(zones) == 0 || zones[len(zones)-1].name != b.Zone {
			zones = append(zones, zone{name: b.Zone})
		}
		z := &zones[len(zones)-1]
		z.servers = append(z.servers, hashedServer{id: b.ID, hash: hashString(b.ID)})
	}
	return zones
}

// quotas divides size among the zones: ownShare of it for ownZone, and the rest in proportion to
// their servers, with at least one for each zone as far as size allows.
func quotas(zones []zone, size int, ownZone string, ownShare float64) []int {
	q := make([]int, len(zones))
	for i, z := range zones {
		if z.name == ownZone {
			q[i] = min(int(ownShare*float64(size)), len(z.servers))
			size -= q[i]
		}
	}
	for ; size > 0; size-- {
		i := leastCoveredZone(zones, q)
		if i < 0 {
			break
		}
		q[i]++
	}
	return q
}

// leastCoveredZone returns the index of the zone with the smallest share of its servers chosen, or
// -1 if all servers are chosen.
func leastCoveredZone(zones []zone, q []int) int {
	best := -1
	for i, z := range zones {
		if q[i] == len(z.servers) {
			continue
		}
		if best < 0 || chosenShare(q[i], z) < chosenShare(q[best], zones[best]) {
			best = i
		}
	}
	return best
}

func chosenShare(quota int, z zone) float64 { return float64(quota) / float64(len(z.servers)) }

// highestRanked returns the quota servers with the highest scores for an entry.
func highestRanked(entry uint64, servers []hashedServer, quota int) []string {
	out := make([]string, 0, quota)
	for _, i := range ranked(entry, servers)[:quota] {
		out = append(out, servers[i].id)
	}
	return out
}

// ranked returns the indexes of servers by descending score for an entry.
func ranked(entry uint64, servers []hashedServer) []int {
	type scored struct {
		index int
		score uint64
	}
	list := make([]scored, len(servers))
	for i, s := range servers {
		list[i] = scored{i, mix(entry ^ s.hash)}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]int, len(list))
	for i, s := range list {
		out[i] = s.index
	}
	return out
}

// pickEven replays the choices of all entries up to this one, with a limit on the entries that
// cover one server, and returns this entry's own.
func pickEven(e Entry, zones []zone, quotas []int) []string {
	var chosen []string
	for i := range zones {
		limit := ceilDiv(e.Count*quotas[i], len(zones[i].servers))
		all := replay(e.Index+1, zones[i].servers, quotas[i], limit)
		chosen = append(chosen, all[e.Index]...)
	}
	slices.Sort(chosen)
	return chosen
}

// replay returns the choices of the first n entries, ordered by index.
func replay(n int, servers []hashedServer, quota, limit int) [][]string {
	out := make([][]string, n)
	for index := range out {
		out[index] = highestRankedBounded(hashString(strconv.Itoa(index)), servers, quota, limit)
	}
	return out
}

// highestRankedBounded is highestRanked, except that it skips servers already covered by limit
// entries as long as there are others.
func highestRankedBounded(entry uint64, servers []hashedServer, quota, limit int) []string {
	order := ranked(entry, servers)
	out := make([]string, 0, quota)
	for _, bounded := range []bool{true, false} {
		for _, i := range order {
			s := &servers[i]
			if len(out) == quota || (s.coverage < limit) != bounded || slices.Contains(out, s.id) {
				continue
			}
			s.coverage++
			out = append(out, s.id)
		}
	}
	return out
}

func sortedIDs(backends []Backend) []string {
	out := make([]string, len(backends))
	for i, b := range backends {
		out[i] = b.ID
	}
	slices.Sort(out)
	return out
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
