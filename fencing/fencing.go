// Package fencing is a lease with fencing numbers that lets one process at a time
// give orders. The holder and its fencing number are one row of the platform's table,
// changed by compare-and-set.
//
// A holder may give orders for Term from the start of its write to the row. Another
// process takes over only after it has observed the row unchanged for Term plus Gap
// by its own clock: clocks are never compared, and a process that was suspended in
// between only waits longer. Every acquisition or renewal has a higher number, so
// that an engine that checks numbers rejects orders of an earlier holder.
//
// A store that was restored from a copy may lack the latest holder and its numbers. So
// a number begins with the era of the store in which it was written, and a row of an
// earlier era, or its absence, counts as held by a process that is not known: all but a
// process whose own lease is valid wait for Term plus Gap.
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
	// seen is the position of the row that was last read, unchangedSince the time at
	// which it was first read.
	seen           store.Position
	unchangedSince time.Duration
}

type record struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

// countBits is the size of the part of a fencing number that counts the acquisitions of an
// era of the store; the era precedes it. Engines hold numbers exactly up to 53 bits.
const countBits = 32

// nextFence returns a number that is higher than all that were used in this era and the
// earlier ones.
func nextFence(used, era int64) int64 { return max(used, era<<countBits) + 1 }

// written is what a store holds of the lease: the record and the position of its write. A
// row that does not exist has no holder and version zero.
type written struct {
	record
	at store.Position
}

func (w written) exists() bool { return w.at.Version() != 0 }

// mayBeOutdated reports whether the store may lack a later holder: it was restored after
// the row was written, or there is no row and it may have been restored before.
func (w written) mayBeOutdated() bool { return w.Fence>>countBits < w.at.Era() }

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
	w, err := l.read(ctx)
	if err != nil {
		return err
	}
	if w.at != l.seen {
		l.seen, l.unchangedSince = w.at, start
	}
	if l.heldByAnother(w, start) {
		return ErrHeld
	}
	next := record{Holder: l.holder, Fence: nextFence(max(w.Fence, l.fence), w.at.Era())}
	if err := l.write(ctx, next, w); err != nil {
		return err
	}
	l.fence, l.validUntil = next.Fence, start+Term
	return nil
}

// heldByAnother reports whether another process may hold the lease, or may have held it
// recently.
func (l *Lease) heldByAnother(w written, now time.Duration) bool {
	if now-l.unchangedSince >= Term+Gap {
		return false
	}
	if w.mayBeOutdated() {
		_, held := l.Fence()
		return !held
	}
	return w.exists() && w.Holder != l.holder
}

func (l *Lease) read(ctx context.Context) (written, error) {
	row, err := l.table.Get(ctx, l.key)
	if errors.Is(err, store.ErrNotFound) {
		return written{at: store.At(eraOf(err), 0)}, nil
	}
	if err != nil {
		return written{}, err
	}
	w := written{at: store.Position(row.Version)}
	if err := json.Unmarshal(row.Value, &w.record); err != nil {
		return written{}, fmt.Errorf("lease %s: %w", l.key, err)
	}
	return w, nil
}

// eraOf returns the era of the store in which a row was not found; zero if the error states none.
func eraOf(err error) int64 {
	var missing *store.NotFoundError
	if !errors.As(err, &missing) {
		return 0
	}
	return missing.At.Era()
}

// write replaces w, what the store held when it was read.
func (l *Lease) write(ctx context.Context, rec record, w written) error {
	version := uint64(0)
	if w.exists() {
		version = uint64(w.at)
	}

	value, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	return l.table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: l.key, Version: version}},
		Writes: []store.Write{{Key: l.key, Value: value}},
	})
}
