package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fencing"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/stages"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// Orders sends orders to engines. Calls return promptly when their context ends.
type Orders interface {
	// OrdersAccepted returns the number of orders that an engine has accepted since its start, and the time of the
	// start; zero if it states none.
	OrdersAccepted(ctx context.Context, s registry.Server) (accepted, born int64, err error)
	// SetStage orders an engine to another stage if it has accepted no order since.
	SetStage(ctx context.Context, s registry.Server, to registry.Stage, holder string, fence, accepted int64) error
}

const (
	// planInterval is the interval between two checks of the split of engines.
	planInterval = 500 * time.Millisecond
	// planWarmup is how long a process has to be up before it plans: its local state of load and of other gateways
	// takes some seconds to become accurate.
	planWarmup = 3 * time.Second
)

// errOtherIncarnation means that an engine has restarted since its order was planned: its count of orders belongs to
// another incarnation, and so does the load that the order answers.
var errOtherIncarnation = errors.New("the engine has restarted")

// planStages adapts the split of engines into prefill and decode to the load. Only the first of the live gateways
// plans; the lease prevents two gateways that can't reach each other from both giving orders.
func (s *Service) planStages(ctx context.Context) {
	planners := map[string]*stages.Planner{}
	sleep.For(ctx, planWarmup)
	for ctx.Err() == nil {
		now := time.Now()
		s.view.expire(now)
		t := s.view.Table()
		if t != nil && s.isPlanner() {
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
		sleep.For(ctx, planInterval)
	}
}

// isPlanner reports whether this process is the one that gives orders.
func (s *Service) isPlanner() bool {
	return s.peers.Rank() == 0 && !s.draining.Load() && !s.settings.Off.Has(mechanism.StageOrders)
}

// planService orders the stage changes that are due in a service.
func (s *Service) planService(ctx context.Context, p *stages.Planner, service route.Service, now time.Time) {
	load := s.serviceLoad(service)
	moved := false
	for ctx.Err() == nil {
		servers, moving := s.view.allServers(service.Name)
		m, ok := p.Next(servers, moving, load, now)
		if !ok || s.fwd.CoolingDown(m.Server.ID) {
			break
		}
		fence, err := s.orderStage(ctx, m)
		if err != nil {
			if !errors.Is(err, fencing.ErrHeld) {
				event.StageFailed.Log(s.log).Str("server", m.Server.ID).Str("to", m.To.String()).Int64("fence", fence).Err(err).Msg("")
			}
			sleep.For(ctx, planInterval)
			break
		}
		p.RecordMove(m, now)
		moved = true
		s.view.recordSwitch(m.Server.ID, m.To, 0, time.Now())
		event.StageOrdered.Log(s.log).Str("server", m.Server.ID).Str("to", m.To.String()).Int64("fence", fence).
			Float64("read", load.PromptRate/load.EnginePrefillRate).Float64("held", load.MemoryDemand/load.EngineMemory).Msg("")
	}
	if moved {
		s.peers.Announce()
	}
}

// serviceLoad returns the load of all gateways on a service's engines.
func (s *Service) serviceLoad(service route.Service) stages.Load {
	load := s.fwd.ServiceLoad(service.Name)
	arriving, demand, rates := s.peerLoads.prefillUse(service.Name)
	load.PromptRate += arriving
	load.MemoryDemand = max(load.MemoryDemand+demand, float64(s.fwd.MemoryInUse(service.Name)))
	load.EnginePrefillRate = median(append(rates, load.EnginePrefillRate))
	load.EngineMemory = float64(service.Engine.KVTokens)
	return load
}

// median returns the median of the known (positive) rates, or zero.
func median(rates []float64) float64 {
	rates = slices.DeleteFunc(rates, func(r float64) bool { return r <= 0 })
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// orderStage gives one order under the lease.
func (s *Service) orderStage(ctx context.Context, m stages.Move) (int64, error) {
	if _, held := s.lease.Fence(); !held {
		if err := s.lease.Acquire(ctx); err != nil {
			return 0, err
		}
	}
	accepted, born, err := s.orders.OrdersAccepted(ctx, m.Server)
	if err != nil {
		return 0, err
	}
	if born != m.Server.Born {
		return 0, errOtherIncarnation
	}
	fence, held := s.lease.Fence()
	if !held {
		return fence, fencing.ErrHeld
	}
	return fence, s.orders.SetStage(ctx, m.Server, m.To, s.settings.VM, fence, accepted)
}
