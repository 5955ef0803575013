package memory_test

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
	"github.com/hibiscusspur/hibiscusspur/store/storetest"
)

func TestContract(t *testing.T) {
	fresh := func() *memory.Platform { return memory.New(memory.Options{}) }
	t.Run("table", func(t *testing.T) {
		storetest.TestTable(t, func(*testing.T) store.Table { return fresh().Table() })
	})
	t.Run("objects", func(t *testing.T) {
		storetest.TestObjects(t, func(*testing.T) store.Objects { return fresh().Objects() })
	})
	t.Run("vms", func(t *testing.T) {
		storetest.TestVMs(t, func(*testing.T) storetest.VMList {
			p := fresh()
			return storetest.VMList{
				VMs:    p.VMs(),
				Set:    p.SetVM,
				Remove: func(id string) error { p.RemoveVM(id); return nil },
				SetLag: func(d time.Duration) error { p.SetVMLag(d); return nil },
			}
		})
	})
	t.Run("weights", func(t *testing.T) {
		storetest.TestWeights(t, func(*testing.T) storetest.WeightStore {
			p := fresh()
			return storetest.WeightStore{Weights: p.Weights(), Put: func(model, version string, body []byte) error {
				p.SetWeights(model, version, body)
				return nil
			}}
		})
	})
	t.Run("faults", func(t *testing.T) { storetest.TestFaults(t, faulty) })
}

// fault is a hook that makes the calls of one side of a port fail.
type fault struct {
	port  memory.Port
	write bool
	kind  storetest.Fault
	held  chan struct{}
}

func (f *fault) hook(op memory.Op) error {
	if op.Port != f.port || op.Write != f.write {
		return nil
	}
	after := f.kind == storetest.LoseAnswer || f.kind == storetest.HangAfter
	if after != (op.Phase == memory.After) {
		return nil
	}
	if f.kind == storetest.Hang || f.kind == storetest.HangAfter {
		close(f.held)
		<-op.Context.Done()
	}
	if op.Write && after {
		return store.ErrIndeterminate
	}
	return store.ErrUnavailable
}

func faulty(*testing.T) storetest.FaultyPlatform {
	var now atomic.Pointer[fault]
	held := make(chan struct{})
	p := memory.New(memory.Options{Hook: func(op memory.Op) error {
		if f := now.Load(); f != nil {
			return f.hook(op)
		}
		return nil
	}})
	p.SetPatternWeights(storetest.SeedModel, storetest.SeedVersion, storetest.SeedWeightBytes)
	return storetest.FaultyPlatform{
		Table: p.Table(), Objects: p.Objects(), VMs: p.VMs(), Weights: p.Weights(),
		Inject: func(port memory.Port, write bool, kind storetest.Fault) {
			now.Store(&fault{port: port, write: write, kind: kind, held: held})
		},
		Clear:        func() { now.Store(nil) },
		AwaitBlocked: func() { <-held },
	}
}

func TestVMLag(t *testing.T) {
	now := time.Unix(1000, 0)
	p := memory.New(memory.Options{VMLag: 5 * time.Second, Now: func() time.Time { return now }})
	assert.NilError(t, p.SetVM(store.VM{ID: "a", State: store.VMLive}))
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {4999 * time.Millisecond, 0}, {5 * time.Second, 1}} {
		now = time.Unix(1000, 0).Add(c.after)
		vms, _, err := p.VMs().List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(vms), c.want, "after %v", c.after)
	}
}
