package peer

import "sync/atomic"

// Traffic counts the exchanges of a process. Counts only grow.
type Traffic struct {
	// Exchanges are those that this side made, Failed those of them without an answer.
	Exchanges, Failed int64
	// Served is the size of the parts of its state that others fetched, in bytes.
	Served int64
}

// Since is what was counted after an earlier reading.
func (t Traffic) Since(earlier Traffic) Traffic {
	return Traffic{
		Exchanges: t.Exchanges - earlier.Exchanges, Failed: t.Failed - earlier.Failed,
		Served: t.Served - earlier.Served,
	}
}

// trafficMeter counts Traffic. It is safe for concurrent use.
type trafficMeter struct {
	exchanges, failed, bytes atomic.Int64
}

func (m *trafficMeter) exchanged(err error) {
	m.exchanges.Add(1)
	if err != nil {
		m.failed.Add(1)
	}
}

func (m *trafficMeter) served(n int) { m.bytes.Add(int64(n)) }

func (m *trafficMeter) read() Traffic {
	return Traffic{Exchanges: m.exchanges.Load(), Failed: m.failed.Load(), Served: m.bytes.Load()}
}
