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
	return float64(h.Sum64()>>11) / (1 << 53)
}
