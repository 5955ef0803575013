package lab

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/load"
	"github.com/hibiscusspur/hibiscusspur/standin/engine"
)

// Experiment is one load on newly started deployments.
type Experiment struct {
	Deployments []Deployment
	Variant     Variant
	Load        float64
	Seed        uint64
	// Warm is the warm-up time before Window, the measured part of the run.
	Warm, Window time.Duration
	// Bin is the directory of the programs.
	Bin string
	// Check, if set, checks every request.
	Check *Checker
	// OwnProcess names pools, as model and role, whose engines each run in a process of
	// their own.
	OwnProcess []string
	// Fault, if set, is called for each deployment when arrivals begin, and must return
	// when ctx is done.
	Fault func(ctx context.Context, l *Lab)

	// ports are shared by experiments that run at the same time.
	ports *ports
}

// Run starts the deployments, offers the load to all of them at once and returns a joint
// report. All processes have stopped when it returns.
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
			parts[i] = e.run(ctx, l, uint64(i))
			if e.Check != nil {
				failed[i] = e.Check.readStandIns(ctx, l)
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
		l, err := Start(ctx, d, Options{Bin: e.Bin, Variant: e.Variant, OwnProcess: e.OwnProcess, ports: next})
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

// run offers the load to one deployment. The prefill counters are read before the first
// and after the last request, since work of the window may end after it.
func (e Experiment) run(ctx context.Context, l *Lab, index uint64) *load.Report {
	run := load.Run{
		Flows: l.Deployment.Flows, Load: e.Load, Length: e.Warm + e.Window, Seed: e.Seed<<8 | index,
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
	rep.Prefill = l.Prefill(before, l.finalCounters(ctx))
	rep.Internal = l.internalCounts(ctx)
	return rep
}

// internalCounts returns the retries and rejections that callers do not see.
func (l *Lab) internalCounts(ctx context.Context) []load.InternalCounts {
	out := []load.InternalCounts{{Where: l.Deployment.Name + " retries of entries", Reasons: l.Retries(ctx)}}
	for _, role := range []string{"prefill", "decode", "mixed"} {
		out = append(out, load.InternalCounts{Where: l.Deployment.Name + " refusals of " + role + " sidecars", Reasons: l.Refusals(ctx, role)})
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

// settleTime is longer than the time to live of an exported KV cache.
const settleTime = time.Second

// finalCounters reads the counters after the remaining KV caches have expired.
func (l *Lab) finalCounters(ctx context.Context) map[string]engine.Counters {
	sleep.For(ctx, settleTime)
	return l.Counters(ctx)
}
