package forward

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/enginepace"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// TestPacesAreReported: an operator must see the speed that other gateways observed at engines where this one has no
// runs, and one event each when an engine becomes several times slower and when it recovers.
func TestPacesAreReported(t *testing.T) {
	for _, c := range []struct {
		name   string
		off    []string
		events int
	}{{"on", nil, 2}, {"off", []string{mechanism.Pace.String()}, 0}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				old, j := benchForwarder(4, registry.Decode)
				cfg, logged := old.Config, &bytes.Buffer{}
				cfg.Log = &log.Logger{Writer: &log.IOWriter{Writer: logged}}
				off, err := mechanism.Parse(c.off)
				assert.NilError(t, err)
				cfg.Off = off
				f := New(cfg)
				list := f.View.Servers(j.service)
				f.service(j.service).engines.sync(list, 40_000, 48)
				report := func(millis ...int) {
					for range 10 {
						loads := map[string]kvmemory.Load{}
						for i, ms := range millis {
							loads[list[i].ID] = kvmemory.Load{Pace: enginepace.Evidence{Tokens: 3000 / ms, Micros: 3_000_000}}
						}
						f.SetPeerLoads(loads)
						f.RecordPaces()
						time.Sleep(time.Second)
					}
				}
				gauge := func(name string) int64 { return f.Metrics.Gauge(name).Value() }
				report(5, 10, 10)
				report(5, 50, 10)
				perToken, slow := f.Pace(list[1])
				assert.Equal(t, slow, c.events > 0)
				assert.Equal(t, gauge(metrics.EnginesSlow), int64(c.events/2))
				if c.events > 0 {
					assert.Equal(t, perToken, 50*time.Millisecond)
					assert.Equal(t, gauge(metrics.EnginePacesKnown), int64(3))
					assert.Equal(t, gauge(metrics.EnginePaceFastest), int64(5000))
				}
				report(5, 10, 10)
				assert.Equal(t, strings.Count(logged.String(), `"event":748`), c.events, "%s", logged)
				unknown, _ := f.Pace(list[3])
				assert.Equal(t, unknown, time.Duration(0))
			})
		})
	}
}

// TestPaceOfRunsIsShared: the events of a run that this process carries must show in what it reports of the engine, and
// a process that takes the reports must know the engine's speed.
func TestPaceOfRunsIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, j, _ := conditionsEnv(registry.Decode)
		there, _, _ := conditionsEnv(registry.Decode)
		list := here.View.Servers(j.service)
		for _, f := range []*Forwarder{here, there} {
			f.service(j.service).engines.sync(list, 40_000, 48)
		}
		e := here.service(j.service).engines
		run, _ := e.newRun("r", &Meta{PromptTokens: 5000, LengthHint: 800, MaxTokens: 1000}, 5800)
		w := &waitqueue.Waiter{Need: 5800, Arrived: time.Now(), GiveUpAt: time.Now().Add(time.Second)}
		entry := queueEntry{run: run, deadline: time.Now().Add(14 * time.Second), quarantined: func() bool { return false }, reserve: func(string) bool { return true }}
		id, ok := e.await(t.Context(), w, entry, 40_000, 48)
		assert.Assert(t, ok)
		time.Sleep(300 * time.Millisecond)
		for event := range 100 {
			run.Generated(7 * (event + 1))
			if event%5 == 0 {
				for _, share := range here.Placements() {
					there.SetPeerLoads(map[string]kvmemory.Load{share.ID: share.Load})
				}
			}
			time.Sleep(56 * time.Millisecond)
		}
		for _, f := range []*Forwarder{here, there} {
			perToken, slow := f.Pace(list[0])
			assert.Assert(t, !slow && perToken > 7500*time.Microsecond && perToken < 8500*time.Microsecond, "%s", perToken)
		}
		e.release(id, run)
		assert.Equal(t, here.TakeChangedPlacements()[0].Pace, enginepace.Evidence{}, "an engine without runs has no share")
	})
}
