package platform

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// ports lists the ports in the order in which they are reported.
var ports = []memory.Port{memory.PortTable, memory.PortObjects, memory.PortVMs, memory.PortWeights}

// PortCounters are the call counts of one port since the start.
type PortCounters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Limited counts calls rejected by a rate limit, Refused those rejected by a fault.
	Limited int64 `json:"limited"`
	Refused int64 `json:"refused"`
	// Conflicts counts commits whose precondition failed.
	Conflicts int64 `json:"conflicts"`
	// Lost counts calls left unanswered because of a fault.
	Lost int64 `json:"lost"`
	// BytesOut counts the bytes of answer bodies.
	BytesOut int64 `json:"bytes_out"`
}

type portCounters struct {
	reads, writes, limited, refused, conflicts, lost, bytesOut metrics.Counter
}

type counters map[memory.Port]*portCounters

func newCounters() counters {
	c := make(counters, len(ports))
	for _, p := range ports {
		c[p] = &portCounters{
			reads:     metrics.NewCounter(),
			writes:    metrics.NewCounter(),
			limited:   metrics.NewCounter(),
			refused:   metrics.NewCounter(),
			conflicts: metrics.NewCounter(),
			lost:      metrics.NewCounter(),
			bytesOut:  metrics.NewCounter(),
		}
	}
	return c
}

func (c *portCounters) snapshot() PortCounters {
	return PortCounters{
		Reads:     c.reads.Count(),
		Writes:    c.writes.Count(),
		Limited:   c.limited.Count(),
		Refused:   c.refused.Count(),
		Conflicts: c.conflicts.Count(),
		Lost:      c.lost.Count(),
		BytesOut:  c.bytesOut.Count(),
	}
}

func (c *portCounters) countCall(write bool) {
	if write {
		c.writes.Inc(1)
		return
	}
	c.reads.Inc(1)
}

// Counters returns a snapshot by port.
func (s *Server) Counters() map[memory.Port]PortCounters {
	m := make(map[memory.Port]PortCounters, len(ports))
	for p, c := range s.counters {
		m[p] = c.snapshot()
	}
	return m
}
