package peer

import "sync/atomic"

// Traffic holds the counts of a process. They only grow.
type Traffic struct {
	// Exchanges counts the exchanges that this side initiated, Failed those of them without a response.
	Exchanges, Failed int64
	// Served is the number of bytes of state that others fetched.
	Served int64
}

// Since returns the difference to an earlier reading.
func (t Traffic) Since(earlier Traffic) Traffic {
	return Traffic{
		Exchanges: t.Exchanges - earlier.Exchanges, Failed: t.Failed - earlier.Failed,
		Served: t.Served - earlier.Served,
	}
}

// trafficMeter accumulates Traffic. It is safe for concurrent use.
type trafficMeter struct {
	exchanges, failed, served atomic.Int64
}

func (m *trafficMeter) recordExchange(err error) {
	m.exchanges.Add(1)
	if err != nil {
		m.failed.Add(1)
	}
}

func (m *trafficMeter) recordServed(n int) { m.served.Add(int64(n)) }

func (m *trafficMeter) snapshot() Traffic {
	return Traffic{Exchanges: m.exchanges.Load(), Failed: m.failed.Load(), Served: m.served.Load()}
}
