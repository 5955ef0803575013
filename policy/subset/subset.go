// Package subset chooses which backend servers an entry keeps links to: a
// bounded number for each model and role, such that zones are covered, every
// server is covered by about the same number of entries, and the change of one
// server or entry moves few links.
//
// The choice is by rendezvous hashing. An entry that knows its index among the
// entries and their number evens out the cover exactly; one that doesn't gets
// the spread of a random choice. Functions are pure, deterministic and safe for
// concurrent use.
package subset

import (
	"cmp"
	"slices"
	"strconv"
)

// Entry is the process that chooses.
type Entry struct {
	ID, Zone string
	// Index and Count place the entry among all of them; a Count of zero means
	// that they are not known. All entries have to agree on Count.
	Index, Count int
}

// Backend is one server of the model and role.
type Backend struct {
	ID, Zone string
}

// Options bound and shape a subset.
type Options struct {
	// MaxSize is the most servers chosen; zero or less means all.
	MaxSize int
	// OwnZoneShare is the part of Size that comes from the own zone at least, as far
	// as it has servers. It plays no part with a known Count, where all entries
	// have to choose alike.
	OwnZoneShare float64
}

// Pick returns the ids of the chosen servers, in order of id.
func Pick(e Entry, backends []Backend, o Options) []string {
	if o.MaxSize <= 0 || len(backends) <= o.MaxSize {
		return ids(backends)
	}
	zones := byZone(backends)
	if e.Count > 0 && e.Index >= 0 && e.Index < e.Count {
		return even(e, zones, quotas(zones, o.MaxSize, "", 0))
	}
	var chosen []string
	for i, quota := range quotas(zones, o.MaxSize, e.Zone, o.OwnZoneShare) {
		chosen = append(chosen, take(hashString(e.ID), zones[i].servers, quota)...)
	}
	slices.Sort(chosen)
	return chosen
}

// server is a backend server with its hash and the number of entries covering it.
type server struct {
	id    string
	hash  uint64
	cover int
}

// zone is the servers of one zone, in order of id.
type zone struct {
	name    string
	servers []server
}

func byZone(backends []Backend) []zone {
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
		z.servers = append(z.servers, server{id: b.ID, hash: hashString(b.ID)})
	}
	return zones
}

// quotas splits size over the zones: share of it to the own zone, the rest in
// proportion to their servers, each zone getting one as long as they last.
func quotas(zones []zone, size int, own string, share float64) []int {
	q := make([]int, len(zones))
	for i, z := range zones {
		if z.name == own {
			q[i] = min(int(share*float64(size)), len(z.servers))
			size -= q[i]
		}
	}
	for ; size > 0; size-- {
		i := neediest(zones, q)
		if i < 0 {
			break
		}
		q[i]++
	}
	return q
}

// neediest returns the zone with the smallest part of its servers chosen, or -1
// when all are.
func neediest(zones []zone, q []int) int {
	best := -1
	for i, z := range zones {
		if q[i] == len(z.servers) {
			continue
		}
		if best < 0 || part(q[i], z) < part(q[best], zones[best]) {
			best = i
		}
	}
	return best
}

func part(quota int, z zone) float64 { return float64(quota) / float64(len(z.servers)) }

// take returns the quota servers that rank highest for an entry.
func take(entry uint64, servers []server, quota int) []string {
	out := make([]string, 0, quota)
	for _, i := range ranked(entry, servers)[:quota] {
		out = append(out, servers[i].id)
	}
	return out
}

// ranked returns the indexes of servers by descending score for an entry.
func ranked(entry uint64, servers []server) []int {
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

// even replays the choices of all entries with a lower index under a limit to
// the entries that may cover one server, and returns the entry's own.
func even(e Entry, zones []zone, quotas []int) []string {
	var chosen []string
	for i := range zones {
		limit := ceilDiv(e.Count*quotas[i], len(zones[i].servers))
		all := assign(e.Index+1, zones[i].servers, quotas[i], limit)
		chosen = append(chosen, all[e.Index]...)
	}
	slices.Sort(chosen)
	return chosen
}

// assign returns the choices of the first n entries, in order of index.
func assign(n int, servers []server, quota, limit int) [][]string {
	out := make([][]string, n)
	for index := range out {
		out[index] = takeBounded(hashString(strconv.Itoa(index)), servers, quota, limit)
	}
	return out
}

// takeBounded is take, passing over servers covered by limit entries as long as
// there are others.
func takeBounded(entry uint64, servers []server, quota, limit int) []string {
	order := ranked(entry, servers)
	out := make([]string, 0, quota)
	for _, bounded := range []bool{true, false} {
		for _, i := range order {
			s := &servers[i]
			if len(out) == quota || (s.cover < limit) != bounded || slices.Contains(out, s.id) {
				continue
			}
			s.cover++
			out = append(out, s.id)
		}
	}
	return out
}

func ids(backends []Backend) []string {
	out := make([]string, len(backends))
	for i, b := range backends {
		out[i] = b.ID
	}
	slices.Sort(out)
	return out
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
