package lab

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/load"
	"github.com/hibiscusspur/hibiscusspur/standin/engine"
)

// Experiment is one load on fresh deployments.
type Experiment struct {
	Deployments []Deployment
	Variant     Variant
	Load        float64
	Seed        uint64
	// Warm is the time before the Window that is counted.
	Warm, Window time.Duration
	// Bin is the directory of the programs.
	Bin string
	// Check, if set, watches every request.
	Check *Checker
	// Solo names pools, as model and role, whose engines get a process each.
	Solo []string
	// Fault, if set, is called for each deployment when arrivals begin, and
	// must return when ctx ends.
	Fault func(ctx context.Context, l *Lab)

	// ports are shared by experiments that run at the same time.
	ports *ports
}

// Run starts the deployments, offers the load to all of them at once and reports
// on them together. Everything is stopped when it returns.
func (e Experiment) Run(ctx context.Context) (*load.Report, error) {
	labs, err := e.start(ctx)
	defer func() { stopAll(labs) }()
	if err != nil {
		return nil, err
	}
	parts := make([]*load.Report, len(labs))
	failed := make([]error, len(labs))
	var wg sync.WaitGroup
	for i, l := range labs {
		wg.Go(func() {
			parts[i] = e.offer(ctx, l, uint64(i))
			if e.Check != nil {
				failed[i] = e.Check.finish(ctx, l)
			}
		})
	}
	wg.Wait()
	if err := errors.Join(append(failed, ctx.Err())...); err != nil {
		return nil, err
	}
	return load.Join(parts), nil
}

func (e Experiment) start(ctx context.Context) ([]*Lab, error) {
	var labs []*Lab
	next := e.ports
	if next == nil {
		next = newPorts()
	}
	for _, d := range e.Deployments {
		l, err := Start(ctx, d, Options{Bin: e.Bin, Variant: e.Variant, Solo: e.Solo, ports: next})
		if err != nil {
			return labs, err
		}
		labs = append(labs, l)
	}
	return labs, nil
}

func stopAll(labs []*Lab) {
	var wg sync.WaitGroup
	for _, l := range labs {
		wg.Go(l.Stop)
	}
	wg.Wait()
}

// offer loads one deployment. The prefill work is read before the first and
// after the last request, since work of the window ends after it.
func (e Experiment) offer(ctx context.Context, l *Lab, n uint64) *load.Report {
	run := load.Run{
		Flows: l.Deployment.Flows, Load: e.Load, Length: e.Warm + e.Window, Seed: e.Seed<<8 | n,
		Tag: l.Deployment.Name,
	}
	if e.Check != nil {
		run.Observe = e.Check
	}
	c := load.NewClient(l.Targets)
	defer c.Close()
	before := l.Counters(ctx)
	stopFault := e.beginFault(ctx, l)
	results := run.Do(ctx, c)
	stopFault()
	rep := run.Summarise(e.Variant.Name, results, e.Warm, run.Length)
	rep.Seed = e.Seed
	rep.Prefill = l.Prefill(before, l.settled(ctx))
	rep.Inside = l.inside(ctx)
	return rep
}

// inside returns the retries and refusals that callers do not see.
func (l *Lab) inside(ctx context.Context) []load.Inside {
	out := []load.Inside{{Where: l.Deployment.Name + " retries of entries", Reasons: l.Retries(ctx)}}
	for _, role := range []string{"prefill", "decode", "mixed"} {
		out = append(out, load.Inside{Where: l.Deployment.Name + " refusals of " + role + " sidecars", Reasons: l.Refusals(ctx, role)})
	}
	return out
}

func (e Experiment) beginFault(ctx context.Context, l *Lab) (stop func()) {
	if e.Fault == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Fault(ctx, l)
	}()
	return func() {
		cancel()
		<-done
	}
}

// settleTime is longer than an exported KV cache is kept.
const settleTime = time.Second

// settled reads the counters when what is left has expired.
func (l *Lab) settled(ctx context.Context) map[string]engine.Counters {
	pause(ctx, settleTime)
	return l.Counters(ctx)
}
