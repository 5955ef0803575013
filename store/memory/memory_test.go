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
	newPlatform := func() *memory.Platform { return memory.New(memory.Options{}) }
	t.Run("table", func(t *testing.T) {
		storetest.TestTable(t, func(*testing.T) store.Table { return newPlatform().Table() })
	})
	t.Run("objects", func(t *testing.T) {
		storetest.TestObjects(t, func(*testing.T) store.Objects { return newPlatform().Objects() })
	})
	t.Run("vms", func(t *testing.T) {
		storetest.TestVMs(t, func(*testing.T) storetest.VMList {
			p := newPlatform()
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
			p := newPlatform()
			return storetest.WeightStore{Weights: p.Weights(), Put: func(model, version string, body []byte) error {
				p.SetWeights(model, version, body)
				return nil
			}}
		})
	})
	t.Run("faults", func(t *testing.T) { storetest.TestFaults(t, faulty) })
}

// fault is a hook that makes the reads or the writes of a port fail.
type fault struct {
	port    memory.Port
	write   bool
	kind    storetest.Fault
	blocked chan struct{}
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
		close(f.blocked)
		<-op.Context.Done()
	}
	if op.Write && after {
		return store.ErrIndeterminate
	}
	return store.ErrUnavailable
}

func faulty(*testing.T) storetest.FaultyPlatform {
	var injected atomic.Pointer[fault]
	blocked := make(chan struct{})
	p := memory.New(memory.Options{Hook: func(op memory.Op) error {
		if f := injected.Load(); f != nil {
			return f.hook(op)
		}
		return nil
	}})
	p.SetPatternWeights(storetest.SeedModel, storetest.SeedVersion, storetest.SeedWeightBytes)
	return storetest.FaultyPlatform{
		Table: p.Table(), Objects: p.Objects(), VMs: p.VMs(), Weights: p.Weights(),
		Inject: func(port memory.Port, write bool, kind storetest.Fault) {
			injected.Store(&fault{port: port, write: write, kind: kind, blocked: blocked})
		},
		Clear:        func() { injected.Store(nil) },
		AwaitBlocked: func() { <-blocked },
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
