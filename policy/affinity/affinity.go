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
	return float64(h.Sum64()>>11) / (1 << 53)
}
