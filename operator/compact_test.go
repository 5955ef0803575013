package operator

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

func backends(t *testing.T, from, to int) Desired {
	t.Helper()
	all := Desired{}
	for i := from; i < to; i++ {
		b := contract.Backend{ID: fmt.Sprintf("vm-%03d", i), Address: "10.0.0.1:7400", Zone: "a", Role: "mixed", Models: []string{"portal"}}
		one, err := DesiredBackend(&b)
		assert.NilError(t, err)
		for key, c := range one {
			all[key] = c
		}
	}
	return all
}

func retire(t *testing.T, o *Operator, from, to int) {
	t.Helper()
	var ids []string
	for i := from; i < to; i++ {
		ids = append(ids, fmt.Sprintf("vm-%03d", i))
	}
	p, err := o.PlanRetire(t.Context(), ids)
	assert.NilError(t, err)
	_, err = o.Commit(t.Context(), p)
	assert.NilError(t, err)
}

var compactOptions = CompactOptions{Keep: 168 * time.Hour, KeepLog: 720 * time.Hour, Interval: time.Second, Step: 30 * time.Second}

// operatorWithRetired returns an operator whose table has 150 servers retired 9 days ago, 10 retired
// a day ago, and 10 in use. hook takes effect once these are stored.
func operatorWithRetired(t *testing.T, hook memory.Hook) (*Operator, store.Table) {
	t.Helper()
	faulty := false
	o, table := newOperator(func(op memory.Op) error {
		if faulty && hook != nil {
			return hook(op)
		}
		return nil
	})
	apply(t, o, backends(t, 0, 170), Options{})
	retire(t, o, 0, 150)
	time.Sleep(8 * 24 * time.Hour)
	retire(t, o, 150, 160)
	time.Sleep(24 * time.Hour)
	faulty = true
	return o, table
}

func TestCompactRemovesServersRetiredLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, table := operatorWithRetired(t, nil)
		s := dissemination.NewState()
		assert.NilError(t, dissemination.NewReader(table, s).Poll(t.Context()))
		r, err := o.Compact(t.Context(), compactOptions)
		assert.NilError(t, err)
		assert.Equal(t, len(r.Removed), 150)
		assert.Equal(t, r.Head, uint64(5))
		views, _, err := o.Backends(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(views), 20)
		// Processes receive the removal like any other change.
		assert.NilError(t, dissemination.NewReader(table, s).Poll(t.Context()))
		_, ok := s.Get("backends/vm-000")
		assert.Assert(t, !ok)

		// A month later the old log rows and the tombstones are deleted.
		for i := range dissemination.MinLogRows {
			apply(t, o, mustLoad(t, "a.yaml", contractText("a", fmt.Sprint("key-", i))), Options{})
		}
		time.Sleep(31 * 24 * time.Hour)
		r, err = o.Compact(t.Context(), compactOptions)
		assert.NilError(t, err)
		assert.Equal(t, len(r.Removed), 10)
		assert.DeepEqual(t, r.SweepCounts, dissemination.SweepCounts{LogRows: 6, Tombstones: 150})
		assert.Equal(t, r.LogBegins, uint64(7))
		h, err := o.History(t.Context(), "", 1000)
		assert.NilError(t, err)
		assert.Equal(t, h.LogBegins, uint64(7))
		assert.Equal(t, len(h.Items), dissemination.MinLogRows)
		c, err := o.FindChange(t.Context(), ChangeRef{Revision: 3, ID: "x"})
		assert.NilError(t, err)
		assert.Equal(t, c.State, ChangeExpired)
	})
}

func TestCompactUnderFaults(t *testing.T) {
	everyThirdCommit := func(phase memory.Phase) memory.Hook {
		nth := 0
		return func(op memory.Op) error {
			if !op.Write || op.Phase != phase {
				return nil
			}
			if nth++; nth%3 == 1 {
				return store.ErrIndeterminate
			}
			return nil
		}
	}
	for _, c := range []struct {
		name string
		hook memory.Hook
	}{
		{"none", nil},
		{"lost before the effect", everyThirdCommit(memory.Before)},
		{"lost after the effect", everyThirdCommit(memory.After)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ann, table := operatorWithRetired(t, c.hook)
				ben := New(table, "ben", time.Now)
				var both sync.WaitGroup
				for _, o := range []*Operator{ann, ben} {
					both.Go(func() {
						_, err := o.Compact(t.Context(), compactOptions)
						assert.Check(t, err)
					})
				}
				both.Wait()
				views, head, err := ann.Backends(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, len(views), 20)
				assert.Equal(t, head, uint64(5))
			})
		})
	}
}

func TestCompactPartialFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		o, _ := operatorWithRetired(t, func(op memory.Op) error {
			if op.Write && op.Phase == memory.Before {
				n++
			}
			if n > 1 {
				return store.ErrUnavailable
			}
			return nil
		})
		r, err := o.Compact(t.Context(), compactOptions)
		assert.Equal(t, len(r.Removed), 100)
		report := ReportOf(err)
		assert.Equal(t, report.Code, CodeUnavailable)
		assert.ErrorContains(t, err, "completed steps remain in effect")
		_, err = o.Compact(t.Context(), CompactOptions{Keep: 2 * time.Hour, KeepLog: time.Hour})
		assert.ErrorIs(t, err, ErrInput)
	})
}

func TestChangeLargerThanATransaction(t *testing.T) {
	writes := 0
	o, _ := newOperator(func(op memory.Op) error {
		if op.Write {
			writes++
		}
		return nil
	})
	o.SetMaxRecords(10)
	p, err := o.Plan(t.Context(), backends(t, 0, 11), nil, Options{})
	assert.NilError(t, err)
	_, err = o.Commit(t.Context(), p)
	assert.ErrorContains(t, err, "writes 11 records and one transaction takes at most 10")
	assert.Equal(t, CodeOf(err), CodeInput)
	assert.Equal(t, writes, 0)
	assert.Equal(t, apply(t, o, backends(t, 0, 10), Options{}), uint64(1))
}
