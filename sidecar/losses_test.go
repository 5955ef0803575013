package sidecar

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// TestLossesAreCountedOnce: runs that end with one loss of the engine share its number; the next loss after the engine
// has worked again has another one.
func TestLossesAreCountedOnce(t *testing.T) {
	var l losses
	l.workBegan()
	assert.Equal(t, l.lost(), uint32(1))
	assert.Equal(t, l.lost(), uint32(1))
	l.workBegan()
	l.workBegan()
	assert.Equal(t, l.lost(), uint32(2))
}

// TestLostInProgress checks which ends of an attempt count as a termination of the engine or service: a run whose stream
// could not be opened again, and a prefill or a call only if nothing listens any more.
func TestLostInProgress(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listening := "http://" + lis.Addr().String()
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gone := "http://" + unused.Addr().String()
	assert.NilError(t, unused.Close())
	t.Cleanup(func() { _ = lis.Close() })
	for _, c := range []struct {
		name  string
		stage wire.Stage
		o     outcome.Outcome
		base  string
		want  bool
	}{
		{"run", wire.Stage_STAGE_DECODE, outcome.Fail(outcome.EngineLost, ""), listening, true},
		{"start without an answer", wire.Stage_STAGE_START, outcome.Indeterminate(outcome.EngineLost, ""), listening, true},
		{"refused start", wire.Stage_STAGE_START, outcome.Refuse(outcome.EngineError, 0), gone, false},
		{"prefill, engine gone", wire.Stage_STAGE_PREFILL, outcome.Refuse(outcome.EngineLost, 0), gone, true},
		{"prefill, engine listens", wire.Stage_STAGE_PREFILL, outcome.Refuse(outcome.EngineLost, 0), listening, false},
		{"prefill failed", wire.Stage_STAGE_PREFILL, outcome.Refuse(outcome.EngineError, 0), gone, false},
		{"call, service gone", wire.Stage_STAGE_CALL, outcome.Indeterminate(outcome.EngineLost, ""), gone, true},
		{"call, service listens", wire.Stage_STAGE_CALL, outcome.Indeterminate(outcome.EngineLost, ""), listening, false},
		{"call that was never sent", wire.Stage_STAGE_CALL, outcome.Refuse(outcome.EngineLost, 0), gone, false},
	} {
		set := DefaultSettings()
		set.Engine, set.Service = c.base, c.base
		w := &worker{s: &Server{set: set}, ctx: t.Context()}
		assert.Equal(t, w.lost(c.stage, c.o), c.want, c.name)
	}
}
