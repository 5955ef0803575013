package fencing_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fencing"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// clock is the clock of one process.
type clock struct{ now time.Duration }

func (c *clock) read() time.Duration { return c.now }

func TestOneHolderAtATime(t *testing.T) {
	table := memory.New(memory.Options{}).Table()
	ca, cb := &clock{}, &clock{now: time.Hour}
	a := fencing.New(table, "orders", "a", ca.read)
	b := fencing.New(table, "orders", "b", cb.read)
	assert.NilError(t, a.Acquire(t.Context()))
	fence, held := a.Fence()
	assert.Assert(t, held)
	assert.Equal(t, fence, int64(1))
	assert.ErrorIs(t, b.Acquire(t.Context()), fencing.ErrHeld)
	cb.now += fencing.Term + fencing.Gap - time.Millisecond
	assert.ErrorIs(t, b.Acquire(t.Context()), fencing.ErrHeld)
	ca.now += fencing.Term
	_, held = a.Fence()
	assert.Assert(t, !held, "the holder's term ends before another process may acquire the lease")
	cb.now += time.Millisecond
	assert.NilError(t, b.Acquire(t.Context()))
	fence, held = b.Fence()
	assert.Assert(t, held)
	assert.Equal(t, fence, int64(2))
	assert.ErrorIs(t, a.Acquire(t.Context()), fencing.ErrHeld)
}

func TestHolderRenewsLease(t *testing.T) {
	table := memory.New(memory.Options{}).Table()
	ca, cb := &clock{}, &clock{}
	a := fencing.New(table, "orders", "a", ca.read)
	b := fencing.New(table, "orders", "b", cb.read)
	for i := range 10 {
		assert.NilError(t, a.Acquire(t.Context()))
		fence, _ := a.Fence()
		assert.Equal(t, fence, int64(i+1), "numbers only grow")
		ca.now += time.Second
		cb.now += time.Second
		assert.ErrorIs(t, b.Acquire(t.Context()), fencing.ErrHeld)
	}
}

// TestRestartedHolder checks that a restarted process has no lease, but may acquire
// its own again at once under the same name, with a higher number.
func TestRestartedHolder(t *testing.T) {
	table := memory.New(memory.Options{}).Table()
	a := fencing.New(table, "orders", "a", (&clock{}).read)
	assert.NilError(t, a.Acquire(t.Context()))
	again := fencing.New(table, "orders", "a", (&clock{}).read)
	_, held := again.Fence()
	assert.Assert(t, !held)
	assert.NilError(t, again.Acquire(t.Context()))
	fence, _ := again.Fence()
	assert.Equal(t, fence, int64(2))
}

// lossyTable applies commits but loses their answers.
type lossyTable struct {
	store.Table
	lose bool
}

func (l *lossyTable) Commit(ctx context.Context, txn store.Txn) error {
	err := l.Table.Commit(ctx, txn)
	if err == nil && l.lose {
		return store.ErrIndeterminate
	}
	return err
}

func TestCommitAnswerLost(t *testing.T) {
	table := &lossyTable{Table: memory.New(memory.Options{}).Table(), lose: true}
	c := &clock{}
	a := fencing.New(table, "orders", "a", c.read)
	assert.ErrorIs(t, a.Acquire(t.Context()), store.ErrIndeterminate)
	_, held := a.Fence()
	assert.Assert(t, !held, "no orders before the write is answered")
	table.lose = false
	assert.NilError(t, a.Acquire(t.Context()))
	fence, _ := a.Fence()
	assert.Equal(t, fence, int64(2), "the number of the lost write is never used")
}

// TestSuspendedHolder checks that a holder suspended beyond its term no longer holds
// the lease, because its clock continued.
func TestSuspendedHolder(t *testing.T) {
	c := &clock{}
	a := fencing.New(memory.New(memory.Options{}).Table(), "orders", "a", c.read)
	assert.NilError(t, a.Acquire(t.Context()))
	c.now += time.Minute
	_, held := a.Fence()
	assert.Assert(t, !held)
}

// TestAllInterleavings runs two processes that acquire the lease, give orders and
// wait, in every interleaving of the first five steps followed by a fixed tail. Orders
// of different holders never have the same number, numbers never decrease, and orders
// of different holders are at least Gap apart.
func TestAllInterleavings(t *testing.T) {
	const depth = 9
	steps := []string{"acquire a", "acquire b", "order a", "order b", "a second passes", "a term and gap pass"}
	var explore func(path []int)
	explore = func(path []int) {
		if len(path) == depth {
			runInterleaving(t, steps, path)
			return
		}
		for i := range steps {
			if len(path) > 0 && path[len(path)-1] == i {
				continue
			}
			// All sequences of five steps, then a fixed tail in which both acquire and order.
			if len(path) >= 5 {
				tail := []int{0, 2, 1, 3}
				explore(append(append([]int(nil), path...), tail...))
				return
			}
			explore(append(append([]int(nil), path...), i))
		}
	}
	explore(nil)
}

func runInterleaving(t *testing.T, steps []string, path []int) {
	table := memory.New(memory.Options{}).Table()
	c := &clock{}
	leases := map[string]*fencing.Lease{
		"a": fencing.New(table, "orders", "a", c.read),
		"b": fencing.New(table, "orders", "b", c.read),
	}
	type order struct {
		holder string
		fence  int64
		at     time.Duration
	}
	var orders []order
	for _, i := range path {
		switch step := steps[i]; {
		case step == "a second passes":
			c.now += time.Second
		case step == "a term and gap pass":
			c.now += fencing.Term + fencing.Gap
		case step[:7] == "acquire":
			// ErrHeld is a valid outcome here.
			_ = leases[step[8:]].Acquire(t.Context())
		default:
			if fence, held := leases[step[6:]].Fence(); held {
				orders = append(orders, order{step[6:], fence, c.now})
			}
		}
	}
	for i := 1; i < len(orders); i++ {
		was, is := orders[i-1], orders[i]
		if is.fence < was.fence || (is.fence == was.fence && is.holder != was.holder) {
			t.Fatalf("%v after %v in %v", is, was, path)
		}
		if is.holder != was.holder && is.at-was.at < fencing.Gap {
			t.Fatalf("orders of different holders within %v in %v", is.at-was.at, path)
		}
	}
}
