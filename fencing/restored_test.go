package fencing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fencing"
	"github.com/hibiscusspur/hibiscusspur/platform"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// restoredLease is the lease of several processes in a store that is restored from copies. All share one clock.
type restoredLease struct {
	t     *testing.T
	store *site.Store
	clock
	// highest is the highest number that engines have seen.
	highest int64
}

func newRestoredLease(t *testing.T) *restoredLease {
	return &restoredLease{t: t, store: site.NewStore(t)}
}

// process returns the lease as seen by a process that has just started.
func (r *restoredLease) process(holder string) *fencing.Lease {
	table := platform.NewStore(upstream.New(upstream.Options{}), r.store.Addr(), time.Second).Table("ours")
	return fencing.New(table, "orders", holder, r.read)
}

// acquire acquires or renews the lease and checks that the number is higher than all before.
func (r *restoredLease) acquire(l *fencing.Lease) {
	r.t.Helper()
	assert.NilError(r.t, l.Acquire(r.t.Context()))
	fence, held := l.Fence()
	assert.Assert(r.t, held)
	assert.Assert(r.t, fence > r.highest, "number %d after %d", fence, r.highest)
	r.highest = fence
}

// acquireFirst acquires the lease of which the store has no row.
func (r *restoredLease) acquireFirst(l *fencing.Lease) {
	r.t.Helper()
	r.refused(l)
	r.now += fencing.Term + fencing.Gap
	r.acquire(l)
}

func (r *restoredLease) refused(l *fencing.Lease) {
	r.t.Helper()
	assert.ErrorIs(r.t, l.Acquire(r.t.Context()), fencing.ErrHeld)
}

// Guards against two holders, and numbers that go back, when the copy lacks the holder's renewals and another process
// has seen the row before them.
func TestRenewalsLostWithCopy(t *testing.T) {
	r := newRestoredLease(t)
	a, b := r.process("a"), r.process("b")
	r.acquireFirst(a)
	r.refused(b)
	for range 8 {
		r.now += time.Second
		r.acquire(a)
	}
	r.store.Restore(8)
	r.refused(b)
	r.refused(r.process("c"))
	r.now += fencing.Term
	_, held := a.Fence()
	assert.Assert(t, !held)
	r.now += fencing.Gap - time.Millisecond
	r.refused(b)
	r.now += time.Millisecond
	r.acquire(b)
	r.refused(a)
}

// Guards against a holder that acquires the lease again by the copy, though another process took it over since.
func TestTakeoverLostWithCopy(t *testing.T) {
	r := newRestoredLease(t)
	a, b := r.process("a"), r.process("b")
	r.acquireFirst(a)
	r.refused(b)
	r.now += fencing.Term + fencing.Gap
	r.acquire(b)
	r.store.Restore(1)
	r.refused(a)
	r.refused(r.process("a"))
	r.acquire(b)
	r.refused(a)
}

// Guards against a process that takes the lease at once since the copy has no row of it.
func TestFirstAcquisitionLostWithCopy(t *testing.T) {
	r := newRestoredLease(t)
	r.store.Put("others", "k", []byte("v"))
	a := r.process("a")
	r.acquireFirst(a)
	r.store.Restore(1)
	b := r.process("b")
	r.refused(b)
	r.acquire(a)
	r.refused(b)
	r.now += fencing.Term + fencing.Gap
	r.acquire(b)

	// Nobody writes the row again.
	r.store.Restore(2)
	r.acquireFirst(r.process("c"))
}

// Guards against a holder by a renewal that the restored store took, whose row has the version that was read in the era
// before.
func TestRenewalAnsweredByRestoredStore(t *testing.T) {
	r := newRestoredLease(t)
	a, b := r.process("a"), r.process("b")
	r.acquireFirst(a)
	r.refused(b)
	r.now += fencing.Term
	r.store.RestoreBeforeWrite(0)
	assert.ErrorIs(t, a.Acquire(t.Context()), store.ErrIndeterminate)
	_, held := a.Fence()
	assert.Assert(t, !held)
	r.now += fencing.Gap
	r.refused(b)
	r.now += fencing.Term + fencing.Gap
	r.acquire(b)
}

// Guards against a process that never acquires the lease since other writes change the store meanwhile.
func TestAbsentRowIsUnchangedByOtherWrites(t *testing.T) {
	r := newRestoredLease(t)
	a := r.process("a")
	for range 7 {
		r.refused(a)
		r.store.Put("others", "k", []byte("v"))
		r.now += time.Second
	}
	r.acquire(a)
}

// A row of a release that knows no eras has a number without one: it is waited for once, and the next number is higher.
func TestRowOfEarlierRelease(t *testing.T) {
	r := newRestoredLease(t)
	r.store.Put("ours", "orders", []byte(`{"holder":"a","fence":9}`))
	r.highest = 9
	a, b := r.process("a"), r.process("b")
	r.refused(b)
	r.acquireFirst(a)
	r.refused(b)
	r.now += fencing.Term + fencing.Gap
	r.acquire(b)
}
