package sidecar

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/metrics"
)

// orderRetryInterval is the delay before a failed order is retried.
const orderRetryInterval = time.Second

// target is the role and models that the engine is to have by the backend record. The
// revision of the record is the fencing number of the orders.
type target struct {
	revision uint64
	models   []string
	role     engine.Role
}

// targetOf decodes the target from a backend record.
func targetOf(revision uint64, value []byte) (target, error) {
	var b contract.Backend
	if err := yaml.Unmarshal(value, &b); err != nil {
		return target{}, err
	}
	return target{revision: revision, models: b.Models, role: engine.Role(b.Role)}, nil
}

// ordersFor returns the orders that bring an engine to the target, in the sequence in
// which they must be given: models that are no longer needed are unloaded first, to
// free memory.
func ordersFor(t target, have engine.Info) []engine.Order {
	var out []engine.Order
	for _, m := range have.Models {
		if !slices.Contains(t.models, m) {
			out = append(out, engine.Order{Fence: t.revision, Kind: engine.OrderUnloadModel, Model: m})
		}
	}
	for _, m := range t.models {
		if !slices.Contains(have.Models, m) {
			out = append(out, engine.Order{Fence: t.revision, Kind: engine.OrderLoadModel, Model: m})
		}
	}
	if t.role != have.Role {
		out = append(out, engine.Order{Fence: t.revision, Kind: engine.OrderRole, Role: t.role})
	}
	return out
}

// orderLoop reconciles the engine with each new target until Close. No other code
// gives orders, so that an engine that ignores fencing numbers has a single writer.
func (s *Server) orderLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.newTarget:
		}
		for !s.reconcile() {
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(orderRetryInterval):
			}
		}
	}
}

func (s *Server) setTarget(t target) {
	s.mu.Lock()
	s.target = t
	s.mu.Unlock()
	notify.Send(s.newTarget)
}

// reconcile gives the orders for the latest target. It reports whether the target is
// reached, or fenced off by a newer one that this sidecar has not received yet.
func (s *Server) reconcile() bool {
	ctx, cancel := context.WithTimeout(s.ctx, s.set.Timing.EngineCall)
	defer cancel()
	s.mu.Lock()
	t := s.target
	s.mu.Unlock()
	have, err := s.eng.Info(ctx)
	if err != nil {
		s.recordOrderFailure(err)
		return false
	}
	for _, o := range ordersFor(t, have) {
		err := s.eng.Order(ctx, o)
		if errors.Is(err, engine.ErrFenced) {
			s.recordOrderFailure(err)
			return true
		}
		if err != nil {
			s.recordOrderFailure(err)
			return false
		}
		s.met.Counter(metrics.OrdersGiven).Inc(1)
		event.OrderGiven.Log(s.log).Str("kind", string(o.Kind)).Str("model", o.Model).Uint64("fence", o.Fence).Msg("")
	}
	return s.refreshInfo(ctx)
}

func (s *Server) recordOrderFailure(err error) {
	s.met.Counter(metrics.OrdersFailed).Inc(1)
	event.OrderFailed.Log(s.log).Err(err).Msg("")
}

// refreshInfo stores the engine's present properties.
func (s *Server) refreshInfo(ctx context.Context) bool {
	info, err := s.eng.Info(ctx)
	if err != nil {
		s.recordOrderFailure(err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info = info
	return true
}

// serves reports whether the engine has the model. The caller holds mu.
func (s *Server) serves(model string) bool {
	return slices.Contains(s.info.Models, model)
}
