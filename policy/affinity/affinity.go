// Package affinity spreads routers over servers that are alike. Routers whose views are equal
// would all choose the same server; each prefers another one, always the same, so that no
// chance is needed and tests repeat.
package affinity

import "hash/fnv"

// Of is by how much a router prefers a server, in [0, 1).
func Of(router, server string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(router))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	return float64(mix(h.Sum64())>>11) / (1 << 53)
}

// mix spreads each bit of x over all of them. FNV carries the last bytes of a name hardly into the upper bits, which
// decide: of 100 servers whose names differ in the last digits, none had an affinity below a half.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
