package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// vmChange is a change of the list that becomes visible after the lag.
type vmChange struct {
	at     time.Time
	vm     store.VM
	remove bool
}

type vms struct {
	p       *Platform
	mu      sync.Mutex
	lag     time.Duration
	visible []store.VM // sorted by ID
	pending []vmChange // oldest first
}

// SetVM adds a VM or changes its state; the list shows it after the lag.
func (p *Platform) SetVM(vm store.VM) error {
	if err := store.ValidateKey(vm.ID); err != nil {
		return err
	}
	if vm.State != store.VMLive && vm.State != store.VMLeaving {
		return store.Invalid("unknown state of a VM")
	}
	p.vms.add(vmChange{at: p.opts.Now(), vm: vm})
	return nil
}

// RemoveVM removes a VM; the list shows it until the lag has passed.
func (p *Platform) RemoveVM(id string) {
	p.vms.add(vmChange{at: p.opts.Now(), vm: store.VM{ID: id}, remove: true})
}

// SetVMLag changes the lag of the list, also for changes that are not yet visible.
func (p *Platform) SetVMLag(lag time.Duration) {
	p.vms.mu.Lock()
	defer p.vms.mu.Unlock()
	p.vms.lag = lag
}

func (v *vms) add(c vmChange) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pending = append(v.pending, c)
}

// List implements store.VMs. The VMs are sorted by ID; the age is the lag.
func (v *vms) List(ctx context.Context) ([]store.VM, time.Duration, error) {
	var list []store.VM
	var age time.Duration
	err := v.p.call(ctx, Op{Port: PortVMs, Name: "list"}, &v.mu, func() error {
		v.applyDue(v.p.opts.Now())
		list = slices.Clone(v.visible)
		age = v.lag
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return list, age, nil
}

func (v *vms) applyDue(now time.Time) {
	for len(v.pending) > 0 && now.Sub(v.pending[0].at) >= v.lag {
		v.apply(v.pending[0])
		v.pending = v.pending[1:]
	}
}

func (v *vms) apply(c vmChange) {
	i, found := slices.BinarySearchFunc(v.visible, c.vm.ID, func(vm store.VM, id string) int {
		return strings.Compare(vm.ID, id)
	})
	switch {
	case c.remove && found:
		v.visible = slices.Delete(v.visible, i, i+1)
	case c.remove:
	case found:
		v.visible[i] = c.vm
	default:
		v.visible = slices.Insert(v.visible, i, c.vm)
	}
}
