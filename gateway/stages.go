package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fencing"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/stages"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// Orders gives orders to engines. Calls return promptly when their context ends.
type Orders interface {
	// OrdersAccepted is the number of orders that an engine has accepted since its start, and the start;
	// zero if it tells none.
	OrdersAccepted(ctx context.Context, s registry.Server) (accepted, born int64, err error)
	// SetStage orders an engine to another stage if it has taken no order since.
	SetStage(ctx context.Context, s registry.Server, to registry.Stage, holder string, fence, taken int64) error
}

const (
	// planInterval is the pause between two looks at the split of engines.
	planInterval = 500 * time.Millisecond
	// planWarmup is how long a process has to be up before it plans: what it knows of
	// load and of other gateways takes some seconds to become true.
	planWarmup = 3 * time.Second
)

// errOtherStart means that an engine has started again since its order was planned: its count of
// orders is of another start, and so is the load that the order answers.
var errOtherStart = errors.New("the engine has started again")

// planStages keeps the split of engines into prefill and decode in line with the load.
// Only the first of the live gateways plans; the lease sees to it that two that can't
// hear each other do not both give orders.
func (s *Service) planStages(ctx context.Context) {
	planners := map[string]*stages.Planner{}
	pause(ctx, planWarmup)
	for ctx.Err() == nil {
		now := time.Now()
		s.view.settle(now)
		t := s.view.Table()
		if t != nil && s.plans() {
			for name, service := range t.Services {
				if service.Engine == nil {
					continue
				}
				p, ok := planners[name]
				if !ok {
					p = stages.New(stages.DefaultConfig())
					planners[name] = p
				}
				s.planService(ctx, p, service, now)
			}
		}
		pause(ctx, planInterval)
	}
}

// plans reports whether this process is the one that gives orders.
func (s *Service) plans() bool {
	return s.peers.Rank() == 0 && !s.draining.Load() && !s.set.Off.Has(mechanism.StageOrders)
}

// planService moves the engines of a service that are to change their stage now.
func (s *Service) planService(ctx context.Context, p *stages.Planner, service route.Service, now time.Time) {
	load := s.serviceLoad(service)
	moved := false
	for ctx.Err() == nil {
		servers, moving := s.view.all(service.Name)
		m, ok := p.Next(servers, moving, load, now)
		if !ok || s.fwd.CoolingDown(m.Server.ID) {
			break
		}
		fence, err := s.order(ctx, m)
		if err != nil {
			if !errors.Is(err, fencing.ErrHeld) {
				event.StageFailed.Log(s.log).Str("server", m.Server.ID).Str("to", m.To.String()).Int64("fence", fence).Err(err).Msg("")
			}
			pause(ctx, planInterval)
			break
		}
		p.RecordMove(m, now)
		moved = true
		s.view.switchTo(m.Server.ID, m.To, 0, time.Now())
		event.StageOrdered.Log(s.log).Str("server", m.Server.ID).Str("to", m.To.String()).Int64("fence", fence).
			Float64("read", load.PromptRate/load.EnginePrefillRate).Float64("held", load.MemoryDemand/load.EngineMemory).Msg("")
	}
	if moved {
		s.peers.Announce()
	}
}

// serviceLoad is the use of a service's engines by all gateways.
func (s *Service) serviceLoad(service route.Service) stages.Load {
	load := s.fwd.ServiceLoad(service.Name)
	arriving, wanted, rates := s.placed.reading(service.Name)
	load.PromptRate += arriving
	load.MemoryDemand = max(load.MemoryDemand+wanted, float64(s.fwd.MemoryInUse(service.Name)))
	load.EnginePrefillRate = median(append(rates, load.EnginePrefillRate))
	load.EngineMemory = float64(service.Engine.KVTokens)
	return load
}

// median is the middle one of the rates that are known, or zero.
func median(rates []float64) float64 {
	rates = slices.DeleteFunc(rates, func(r float64) bool { return r <= 0 })
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// order gives one order under the lease.
func (s *Service) order(ctx context.Context, m stages.Move) (int64, error) {
	if _, held := s.lease.Fence(); !held {
		if err := s.lease.Acquire(ctx); err != nil {
			return 0, err
		}
	}
	taken, born, err := s.orders.OrdersAccepted(ctx, m.Server)
	if err != nil {
		return 0, err
	}
	if born != m.Server.Born {
		return 0, errOtherStart
	}
	fence, held := s.lease.Fence()
	if !held {
		return fence, fencing.ErrHeld
	}
	return fence, s.orders.SetStage(ctx, m.Server, m.To, s.set.VM, fence, taken)
}
