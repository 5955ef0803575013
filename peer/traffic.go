package peer

import "sync/atomic"

// Traffic counts the exchanges of a process. Counts only grow.
type Traffic struct {
	// Exchanges are those that this side made, Failed those of them without an answer.
	Exchanges, Failed int64
	// Tables are the route tables put into reports, and TableBytes their size; whether they
	// arrived is not known here.
	Tables, TableBytes int64
}

// Since is what was counted after an earlier reading.
func (t Traffic) Since(earlier Traffic) Traffic {
	return Traffic{
		Exchanges: t.Exchanges - earlier.Exchanges, Failed: t.Failed - earlier.Failed,
		Tables: t.Tables - earlier.Tables, TableBytes: t.TableBytes - earlier.TableBytes,
	}
}

// trafficMeter counts Traffic. It is safe for concurrent use.
type trafficMeter struct {
	exchanges, failed, tables, tableBytes atomic.Int64
}

func (m *trafficMeter) exchanged(err error) {
	m.exchanges.Add(1)
	if err != nil {
		m.failed.Add(1)
	}
}

func (m *trafficMeter) sent(r *Report) {
	if n := len(r.GetTable()); n > 0 {
		m.tables.Add(1)
		m.tableBytes.Add(int64(n))
	}
}

func (m *trafficMeter) read() Traffic {
	return Traffic{
		Exchanges: m.exchanges.Load(), Failed: m.failed.Load(),
		Tables: m.tables.Load(), TableBytes: m.tableBytes.Load(),
	}
}
