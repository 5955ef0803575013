// Package affinity spreads routers over equivalent servers by rendezvous hashing. Routers with
// equal views would all choose the same server; a deterministic hash gives each router a preference
// of its own, without randomness, so that tests are repeatable.
package affinity

import "hash/fnv"

// Of is the preference of a router for a server, in [0, 1).
func Of(router, server string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(router))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

// mix distributes all bits of a hash over the whole word. FNV multiplies once per byte, so that the
// last bytes of a name hardly reach the high bits: names that differ in their last digits had nearly
// equal affinities. The constants are those of the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
