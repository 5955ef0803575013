package lab

import (
	"context"
	"sync"

	"github.com/hibiscusspur/hibiscusspur/load"
)

// Comparison runs every variant at every load under every seed.
type Comparison struct {
	Base     Experiment
	Variants []Variant
	Loads    []float64
	Seeds    []uint64
	// Parallel is how many experiments run at the same time. The variants of one load and
	// seed run side by side, so that other work on the machine affects all of them.
	Parallel int
	// Done, if set, is called with each report, one at a time.
	Done func(*load.Report)
}

// Run runs all experiments and returns their reports. After an error no process is left
// running.
func (c Comparison) Run(ctx context.Context) ([]*load.Report, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	cells := c.cells()
	reports := make([]*load.Report, len(cells))
	slots := make(chan struct{}, max(c.Parallel, 1))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, e := range cells {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-slots }()
			rep, err := e.Run(ctx)
			if err != nil {
				cancel(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[i] = rep
			if c.Done != nil {
				c.Done(rep)
			}
		})
	}
	wg.Wait()
	return reports, context.Cause(ctx)
}

// cells lists the experiments; the order of the variants rotates from one load and seed to
// the next.
func (c Comparison) cells() []Experiment {
	shared := newPorts()
	var out []Experiment
	rotation := 0
	for _, seed := range c.Seeds {
		for _, l := range c.Loads {
			for i := range c.Variants {
				e := c.Base
				e.Variant = c.Variants[(i+rotation)%len(c.Variants)]
				e.Load, e.Seed, e.ports = l, seed, shared
				out = append(out, e)
			}
			rotation++
		}
	}
	return out
}
