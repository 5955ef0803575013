package proofs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
)

// Bounds of point 1: closeBound if the caller's connection is seen to close, leaseBound if only the expiry
// of a lease reveals that the caller is gone.
const (
	closeBound = time.Second
	leaseBound = 4 * time.Second
)

// longKVTTL makes engines keep an exported KV cache far longer than the bounds, so that its expiry does not
// hide a missing release.
var longKVTTL = []string{"--kv-ttl", "30s"}

// singleSlot is one prefill and one decode server with one decode slot.
var singleSlot = options{prefills: 1, decodes: 1, engineArgs: append([]string{"--places", "1"}, longKVTTL...)}

// longRequest is a request that decodes for about ten seconds.
func longRequest(stream bool) modelRequest {
	return modelRequest{model: "drafting", prompt: promptForTokens(1000, 10, "long"), stream: stream}
}

// memoryRow brings a request to a stage, injects a fault and requires that the engines hold no memory once
// bound has passed.
type memoryRow struct {
	fault string
	opts  options
	bound time.Duration
	// act returns once the caller is gone.
	act func(c *cluster)
}

var memoryRows = []memoryRow{
	{"caller closes before prefill", slowPrefill, closeBound, func(c *cluster) {
		first := c.entries[0].begin(modelRequest{model: "drafting", prompt: promptForTokens(20, 200, "first")})
		c.awaitPhase("p1", engine.PhasePrefill)
		second := c.entries[0].begin(modelRequest{model: "drafting", prompt: promptForTokens(20, 200, "second")})
		eventually(c.t, startBound, "second request queued", func() bool { return c.slotsUsed("d1") == 2 })
		second.cancel()
		first.cancel()
		<-first.done
		<-second.done
	}},
	{"caller closes during prefill", slowPrefill, closeBound, func(c *cluster) {
		q := c.entries[0].begin(modelRequest{model: "drafting", prompt: promptForTokens(20, 200, "x")})
		c.awaitPhase("p1", engine.PhasePrefill)
		q.cancel()
		<-q.done
	}},
	{"caller closes during hand-off", singleSlot, closeBound, func(c *cluster) {
		c.fault(c.backend("d1"), fault.Rule{Kind: fault.Link, Factor: 0})
		q := c.entries[0].begin(modelRequest{model: "drafting", prompt: promptForTokens(20, 200, "x")})
		c.awaitPhase("d1", engine.PhaseImport)
		q.cancel()
		<-q.done
	}},
	{"caller closes during decode", singleSlot, closeBound, func(c *cluster) {
		q := c.entries[0].begin(longRequest(true))
		c.awaitPhase("d1", engine.PhaseDecode)
		q.cancel()
		<-q.done
	}},
	{"caller closes during decode, not streamed", singleSlot, closeBound, func(c *cluster) {
		q := c.entries[0].begin(longRequest(false))
		c.awaitPhase("d1", engine.PhaseDecode)
		q.cancel()
		<-q.done
	}},
	{"caller stalls without closing", fastDecode, leaseBound, func(c *cluster) {
		conn, err := c.entries[0].sendWithoutReading(modelRequest{model: "drafting", prompt: promptForTokens(90000, 10, "x")})
		assert.NilError(c.t, err)
		c.t.Cleanup(func() { _ = conn.Close() })
		c.awaitPhase("d1", engine.PhaseDecode)
		eventually(c.t, 20*time.Second, "decode far ahead of the stalled caller", func() bool {
			return c.heldCount() == 0 || c.position("d1") > 20000
		})
		s, err := c.backend("d1").state()
		assert.NilError(c.t, err)
		assert.Equal(c.t, s.Counters.Completed, 0, "the whole answer was decoded for a caller that does not read")
	}},
	{"entry killed during prefill", slowPrefill, leaseBound, func(c *cluster) {
		c.entries[0].begin(modelRequest{model: "drafting", prompt: promptForTokens(20, 200, "x")})
		c.awaitPhase("p1", engine.PhasePrefill)
		c.entries[0].proc.kill()
	}},
	{"entry killed during hand-off", singleSlot, leaseBound, func(c *cluster) {
		c.fault(c.backend("d1"), fault.Rule{Kind: fault.Link, Factor: 0})
		c.entries[0].begin(modelRequest{model: "drafting", prompt: promptForTokens(20, 200, "x")})
		c.awaitPhase("d1", engine.PhaseImport)
		c.entries[0].proc.kill()
	}},
	{"entry killed during decode", singleSlot, leaseBound, func(c *cluster) {
		c.entries[0].begin(longRequest(true))
		c.awaitPhase("d1", engine.PhaseDecode)
		c.entries[0].proc.kill()
	}},
	{"entry frozen past its lease", singleSlot, leaseBound, func(c *cluster) {
		c.entries[0].begin(longRequest(true))
		c.awaitPhase("d1", engine.PhaseDecode)
		c.entries[0].proc.freeze()
		c.t.Cleanup(c.entries[0].proc.thaw)
	}},
	{"link entry-sidecar silent for good", singleSlot, leaseBound, func(c *cluster) {
		c.entries[0].begin(longRequest(true))
		c.awaitPhase("d1", engine.PhaseDecode)
		c.backend("d1").relay.block()
	}},
	{"caller closes while the link is silent", singleSlot, leaseBound, func(c *cluster) {
		q := c.entries[0].begin(longRequest(true))
		c.awaitPhase("d1", engine.PhaseDecode)
		c.backend("d1").relay.drop(true, true)
		q.cancel()
		<-q.done
	}},
	{"sidecar killed and restarted while its engine goes on", singleSlot, leaseBound, func(c *cluster) {
		q := c.entries[0].begin(modelRequest{model: "ruling", prompt: promptForTokens(1000, 10, "x")})
		c.awaitPhase("d1", engine.PhaseDecode)
		c.backend("d1").sidecar.kill()
		assert.Assert(c.t, c.heldCount() > 0, "engine stopped with its sidecar")
		c.backend("d1").sidecar.restart()
		<-q.done
	}},
	{"sidecar frozen until its request is given up, thawed", singleSlot, leaseBound, func(c *cluster) {
		q := c.entries[0].begin(modelRequest{model: "ruling", prompt: promptForTokens(1000, 10, "x")})
		c.awaitPhase("d1", engine.PhaseDecode)
		c.backend("d1").sidecar.freeze()
		<-q.done
		c.backend("d1").sidecar.thaw()
	}},
	{"prefill sidecar killed and restarted, KV cache exported", singleSlot, leaseBound, func(c *cluster) {
		c.fault(c.backend("d1"), fault.Rule{Kind: fault.Link, Factor: 0})
		q := c.entries[0].begin(modelRequest{model: "drafting", prompt: promptForTokens(20, 200, "x")})
		c.awaitPhase("d1", engine.PhaseImport)
		c.backend("p1").sidecar.kill()
		q.cancel()
		<-q.done
		c.backend("p1").sidecar.restart()
	}},
	{"answer of the engine's cancel lost, three times", singleSlot, leaseBound, func(c *cluster) {
		c.fault(c.backend("d1"), fault.Rule{Kind: fault.LoseAnswer, Op: "cancel", Count: 3})
		q := c.entries[0].begin(longRequest(true))
		c.awaitPhase("d1", engine.PhaseDecode)
		q.cancel()
		<-q.done
	}},
	{"engine's cancel hangs without effect, once", singleSlot, leaseBound, func(c *cluster) {
		c.fault(c.backend("d1"), fault.Rule{Kind: fault.Hang, Op: "cancel", Count: 1})
		q := c.entries[0].begin(longRequest(true))
		c.awaitPhase("d1", engine.PhaseDecode)
		q.cancel()
		<-q.done
	}},
	{"engine's listing refused for two sweeps, caller closes", singleSlot, leaseBound, func(c *cluster) {
		q := c.entries[0].begin(longRequest(true))
		c.awaitPhase("d1", engine.PhaseDecode)
		c.fault(c.backend("d1"), fault.Rule{Kind: fault.Refuse, Op: "runs", Count: 2})
		q.cancel()
		<-q.done
	}},
}

var (
	slowPrefill = options{prefills: 1, decodes: 1, engineArgs: append([]string{"--places", "4", "--prefill-rate", "50"}, longKVTTL...)}
	fastDecode  = options{prefills: 1, decodes: 1, engineArgs: append([]string{"--step-base", "10us", "--step-per-run", "10us"}, longKVTTL...)}
)

func TestMemoryIsFreed(t *testing.T) {
	for _, r := range memoryRows {
		t.Run(r.fault, func(t *testing.T) {
			took := time.Duration(-1)
			row(t, 1, r.fault, func() string { return fmt.Sprintf("freed after %v of %v", took.Round(time.Millisecond), r.bound) })
			c := newCluster(t, r.opts)
			r.act(c)
			took = eventually(t, r.bound, "engines hold nothing", func() bool { return c.heldCount() == 0 && c.enginesReachable() })
		})
	}
}

// TestReservationIsFreed: a reserved decode slot that is not used is released, so that the only slot serves
// another caller.
func TestReservationIsFreed(t *testing.T) {
	const bound = leaseBound
	for _, r := range []struct {
		fault string
		act   func(c *cluster, q *pendingRequest)
	}{
		{"caller closes with a place reserved", func(_ *cluster, q *pendingRequest) { q.cancel() }},
		{"entry killed with a place reserved", func(c *cluster, _ *pendingRequest) { c.entries[0].proc.kill() }},
	} {
		t.Run(r.fault, func(t *testing.T) {
			took := time.Duration(-1)
			row(t, 1, r.fault, func() string { return fmt.Sprintf("served after %v of %v", took.Round(time.Millisecond), bound) })
			c := newCluster(t, options{prefills: 1, decodes: 1, entries: 2, engineArgs: append([]string{"--places", "1", "--prefill-rate", "50"}, longKVTTL...)})
			q := c.entries[0].begin(modelRequest{model: "drafting", prompt: promptForTokens(20, 200, "x")})
			c.awaitPhase("p1", engine.PhasePrefill)
			r.act(c, q)
			took = eventually(t, bound, "another caller served", func() bool {
				return c.entries[1].do(t.Context(), modelRequest{model: "drafting", prompt: promptForTokens(1, 0, "y")}).whole
			})
		})
	}
}

func (c *cluster) awaitPhase(id string, p engine.Phase) {
	c.t.Helper()
	eventually(c.t, startBound, id+" in "+string(p), func() bool { return c.backend(id).phase(p) })
}

// slotsUsed is the number of decode slots in use as counted by the sidecar.
func (c *cluster) slotsUsed(id string) int {
	var m map[string]struct {
		Value float64 `json:"value"`
	}
	_ = getJSON(c.backend(id).adminURL+"/metrics", &m)
	return int(m["places_used"].Value)
}

func (c *cluster) position(id string) int {
	s, _ := c.backend(id).state()
	for _, r := range s.Runs {
		return r.Position
	}
	return 0
}
