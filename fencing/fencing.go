// Package fencing is a lease with fencing numbers that lets one process at a time
// give orders. The holder and its fencing number are one row of the platform's table,
// changed by compare-and-set.
//
// A holder may give orders for Term from the start of its write to the row. Another
// process takes over only after it has observed the row unchanged for Term plus Gap
// by its own clock: clocks are never compared, and a process that was suspended in
// between only waits longer. Every acquisition or renewal has a higher number, so
// that an engine that checks numbers rejects orders of an earlier holder.
package fencing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscusspur/hibiscusspur/clock"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// ErrHeld means that another process holds the lease, or held it recently.
var ErrHeld = errors.New("lease held by another process")

const (
	// Term is the duration of a lease, long enough for some orders and their answers.
	Term = 3 * time.Second
	// Gap is the time between the end of a lease and its acquisition by another
	// process, in which orders sent during the lease arrive. On the users' platform,
	// a change of holders within three seconds counts as one fault.
	Gap = 4 * time.Second
)

// Lease is the right to give orders. It is not safe for concurrent use.
type Lease struct {
	table  store.Table
	key    string
	holder string
	// now is a clock that continues while the VM is suspended.
	now func() time.Duration

	fence      int64
	validUntil time.Duration
	// lastVersion is the row version that was last read, unchangedSince the time at
	// which it was first read.
	lastVersion    uint64
	unchangedSince time.Duration
}

type record struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

// New returns the lease stored in row key for holder, the name of a VM. A nil now
// stands for clock.Uptime.
func New(table store.Table, key, holder string, now func() time.Duration) *Lease {
	if now == nil {
		now = clock.Uptime
	}
	return &Lease{table: table, key: key, holder: holder, now: now}
}

// Fence returns the fencing number for orders and whether the lease is held. It must
// be called right before each order.
func (l *Lease) Fence() (int64, bool) { return l.fence, l.fence > 0 && l.now() < l.validUntil }

// Acquire acquires or renews the lease. ErrHeld means that another process holds it;
// after any other error the holder is unknown, and Acquire may be called again.
func (l *Lease) Acquire(ctx context.Context) error {
	start := l.now()
	rec, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	if version != l.lastVersion {
		l.lastVersion, l.unchangedSince = version, start
		if rec.Holder != l.holder && version != 0 {
			return ErrHeld
		}
	}
	if rec.Holder != l.holder && version != 0 && start-l.unchangedSince < Term+Gap {
		return ErrHeld
	}
	next := record{Holder: l.holder, Fence: rec.Fence + 1}
	if err := l.write(ctx, next, version); err != nil {
		return err
	}
	l.fence, l.validUntil = next.Fence, start+Term
	return nil
}

func (l *Lease) read(ctx context.Context) (record, uint64, error) {
	row, err := l.table.Get(ctx, l.key)
	if errors.Is(err, store.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var rec record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return record{}, 0, fmt.Errorf("lease %s: %w", l.key, err)
	}
	return rec, row.Version, nil
}

func (l *Lease) write(ctx context.Context, rec record, version uint64) error {
	value, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	return l.table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: l.key, Version: version}},
		Writes: []store.Write{{Key: l.key, Value: value}},
	})
}
