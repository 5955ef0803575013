package holdback

import (
	"context"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// PolledTable is the part of a table whose keys begin with a prefix. The table has no change feed and is polled instead.
// Get, List and Commit are safe for concurrent use; All and Changes must be called by one goroutine.
type PolledTable struct {
	table  store.Table
	prefix string
	// interval is the time between two readings.
	interval time.Duration
	// seen holds the version of each row at the last reading, readings their number.
	seen     map[string]uint64
	readings int64
}

var _ Table = (*PolledTable)(nil)

// NewPolledTable returns the part of table under prefix, read once per interval.
func NewPolledTable(table store.Table, prefix string, interval time.Duration) *PolledTable {
	return &PolledTable{table: table, prefix: prefix, interval: interval}
}

// Get implements store.Table.
func (p *PolledTable) Get(ctx context.Context, key string) (store.Row, error) {
	row, err := p.table.Get(ctx, p.prefix+key)
	row.Key = key
	return row, err
}

// List implements store.Table.
func (p *PolledTable) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if after != "" {
		after = p.prefix + after
	}
	rows, err := p.table.List(ctx, p.prefix+prefix, after, limit)
	for i := range rows {
		rows[i].Key = strings.TrimPrefix(rows[i].Key, p.prefix)
	}
	return rows, err
}

// Commit implements store.Table.
func (p *PolledTable) Commit(ctx context.Context, txn store.Txn) error {
	var out store.Txn
	for _, c := range txn.Checks {
		c.Key = p.prefix + c.Key
		out.Checks = append(out.Checks, c)
	}
	for _, w := range txn.Writes {
		w.Key = p.prefix + w.Key
		out.Writes = append(out.Writes, w)
	}
	return p.table.Commit(ctx, out)
}

// All implements Table. Positions count the readings of this process.
func (p *PolledTable) All(ctx context.Context) ([]store.Row, store.Position, error) {
	rows, err := listAll(ctx, p)
	if err != nil {
		return nil, 0, err
	}
	p.seen = make(map[string]uint64, len(rows))
	for _, r := range rows {
		p.seen[r.Key] = r.Version
	}
	p.readings++
	return rows, store.At(0, p.readings), nil
}

// Changes implements Table: it reads the table after the interval, or after wait if that is shorter.
func (p *PolledTable) Changes(ctx context.Context, _ store.Position, wait time.Duration) (rows []store.Row, removed []string, next store.Position, err error) {
	timer := time.NewTimer(min(p.interval, wait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, nil, 0, ctx.Err()
	case <-timer.C:
	}
	before := p.seen
	all, next, err := p.All(ctx)
	if err != nil {
		return nil, nil, 0, err
	}
	for _, r := range all {
		if version, known := before[r.Key]; !known || version != r.Version {
			rows = append(rows, r)
		}
	}
	for key := range before {
		if _, present := p.seen[key]; !present {
			removed = append(removed, key)
		}
	}
	return rows, removed, next, nil
}
