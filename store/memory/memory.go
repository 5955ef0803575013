// Package memory implements the platform in the memory of one process, for unit
// tests and as the storage of the platform stand-in. Every port is safe for
// concurrent use. A hook injects faults.
package memory

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// Port identifies a port of the platform.
type Port string

// The ports.
const (
	PortTable   Port = "table"
	PortObjects Port = "objects"
	PortVMs     Port = "vms"
	PortWeights Port = "weights"
)

// Phase is whether a hook runs before or after the effect of a call.
type Phase int

// Phases of a call.
const (
	// Before: if the hook returns an error, the call has no effect.
	Before Phase = iota
	// After: the call took effect; an error of the hook replaces its result.
	After
)

// Op describes a call for a hook. Key is the first key in its arguments.
type Op struct {
	// Context is the context of the call, for hooks that block until it ends.
	Context context.Context
	Port    Port
	Name    string
	Key     string
	Write   bool
	Phase   Phase
}

// Hook is called in both phases of each call, without locks held, and may block. The
// After phase is skipped if the call itself failed.
type Hook func(op Op) error

// Options of a Platform; the zero value has no hook, no lag and the system's clock.
type Options struct {
	Hook Hook
	// Now is the clock of the list of VMs.
	Now func() time.Time
	// VMLag is the delay until the list of VMs shows a change.
	VMLag time.Duration
}

// Platform is an in-memory platform with four ports.
type Platform struct {
	opts    Options
	table   table
	objects objects
	vms     vms
	weights weights
}

// New returns an empty platform.
func New(o Options) *Platform {
	if o.Now == nil {
		o.Now = time.Now
	}
	p := &Platform{opts: o}
	p.table = newTable(p)
	p.objects = objects{p: p, bodies: make(map[string][]byte)}
	p.vms = vms{p: p, lag: o.VMLag}
	p.weights = weights{p: p, content: make(map[string]blob)}
	return p
}

// Table returns the transactional table.
func (p *Platform) Table() store.Table { return &p.table }

// Objects returns the object store.
func (p *Platform) Objects() store.Objects { return &p.objects }

// VMs returns the lagging list of VMs.
func (p *Platform) VMs() store.VMs { return &p.vms }

// Weights returns the weight store.
func (p *Platform) Weights() store.Weights { return &p.weights }

// call runs effect under mu between the two phases of the hook.
func (p *Platform) call(ctx context.Context, op Op, mu sync.Locker, effect func() error) error {
	op.Context = ctx
	if err := p.hook(op, Before); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return merry.Wrap(store.ErrUnavailable, merry.WithCause(err), merry.NoCaptureStack())
	}
	if err := withLock(mu, effect); err != nil {
		return err
	}
	return p.hook(op, After)
}

func (p *Platform) hook(op Op, phase Phase) error {
	if p.opts.Hook == nil {
		return nil
	}
	op.Phase = phase
	return p.opts.Hook(op)
}

func withLock(mu sync.Locker, f func() error) error {
	mu.Lock()
	defer mu.Unlock()
	return f()
}
