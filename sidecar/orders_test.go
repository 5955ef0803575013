package sidecar

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"

	"github.com/phuslu/log"
)

func TestOrdersFor(t *testing.T) {
	load := func(m string) engine.Order { return engine.Order{Fence: 7, Kind: engine.OrderLoadModel, Model: m} }
	unload := func(m string) engine.Order { return engine.Order{Fence: 7, Kind: engine.OrderUnloadModel, Model: m} }
	for _, c := range []struct {
		name   string
		models []string
		role   engine.Role
		want   []engine.Order
	}{
		{"nothing to do", []string{"a", "b"}, engine.RoleDecode, nil},
		{"unload before load", []string{"b", "c"}, engine.RoleDecode, []engine.Order{unload("a"), load("c")}},
		{"role", []string{"a", "b"}, engine.RoleMixed, []engine.Order{{Fence: 7, Kind: engine.OrderRole, Role: engine.RoleMixed}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			have := engine.Info{Models: []string{"a", "b"}, Role: engine.RoleDecode}
			assert.DeepEqual(t, ordersFor(target{revision: 7, models: c.models, role: c.role}, have), c.want)
		})
	}
}

// orderEngine accepts orders and, if checks is set, checks their fencing numbers.
type orderEngine struct {
	engine.Engine
	info   engine.Info
	fence  uint64
	checks bool
	fail   []error
	given  int
}

func (e *orderEngine) Info(context.Context) (engine.Info, error) { return e.info, nil }

func (e *orderEngine) Order(_ context.Context, o engine.Order) error {
	if len(e.fail) > 0 {
		err := e.fail[0]
		e.fail = e.fail[1:]
		return err
	}
	if e.checks && o.Fence < e.fence {
		return engine.ErrFenced
	}
	e.fence = o.Fence
	e.given++
	e.info.Models = []string{o.Model}
	return nil
}

func TestReconcile(t *testing.T) {
	for _, c := range []struct {
		name    string
		eng     orderEngine
		reached bool
		given   int
	}{
		{"given", orderEngine{}, true, 1},
		{"engine rejects the order", orderEngine{fail: []error{engine.ErrUnavailable}}, false, 0},
		{"fenced off by a newer order", orderEngine{fence: 9, checks: true}, true, 0},
		{"old order at an engine that ignores fences", orderEngine{fence: 9}, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.eng.info = engine.Info{Role: engine.RoleDecode}
			s := NewServer(DefaultSettings(), &c.eng, c.eng.info, "i", event.New("test", "t", log.PanicLevel), metrics.NewSet())
			s.setTarget(target{revision: 7, models: []string{"m"}, role: engine.RoleDecode})
			assert.Equal(t, s.reconcile(), c.reached)
			assert.Equal(t, c.eng.given, c.given)
			assert.Equal(t, s.serves("m"), c.given == 1)
		})
	}
}
