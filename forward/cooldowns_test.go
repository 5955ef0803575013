package forward_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// longCooldown is a cooldown, in seconds, that outlasts every test.
const longCooldown = "600"

// A model server that had asked a gateway for a cooldown of three seconds got four requests from it in that time, two
// of them four milliseconds apart: each run that it refused was sent to it once more.
func TestServerInCooldownGetsNoRequests(t *testing.T) {
	const requests = 6
	for _, c := range []struct {
		name, cooling, path, kind string
		stage                     registry.Stage
	}{
		{"calls", "p1", "/unsafe/", site.Plain, registry.Whole},
		{"prefill engine", "pre", "/draft/", site.Prefill, registry.Prefill},
		{"generates", "d1", "/resume/", site.Decode, registry.Decode},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestEnv(t)
			if c.stage == registry.Whole {
				w.add(t, "p1", "plain", registry.Whole)
				w.add(t, "p2", "plain", registry.Whole)
			} else {
				w.add(t, "pre", "llm", registry.Prefill)
				w.add(t, "pre2", "llm", registry.Prefill)
				w.add(t, "d1", "llm", registry.Decode)
			}
			before := 0
			if c.stage == registry.Prefill {
				// The engine in cooldown has to be the one that this gateway prefers.
				assert.Equal(t, w.post(t, c.path).status, 200)
				if w.sent(c.cooling, c.kind) == 0 {
					c.cooling = "pre2"
				}
				before = 1
			}
			w.servers[c.cooling].Behave(site.Shed)
			w.servers[c.cooling].SetRetryAfter(longCooldown)
			if c.stage == registry.Decode {
				assert.Equal(t, w.post(t, c.path).status, 503)
				w.add(t, "d2", "llm", registry.Decode)
			}
			for i := range requests {
				assert.Equal(t, w.post(t, fmt.Sprint(c.path, i)).status, 200)
			}
			assert.Equal(t, w.sent(c.cooling, c.kind)-before, 1, "of %d", requests)
		})
	}
}

// An engine that refused a run and asked for a cooldown was mistaken for one that could not fetch the KV cache, and
// the prefill engine was blamed.
func TestPrefillEngineIsNotBlamedForACooldown(t *testing.T) {
	w := newTestEnv(t)
	w.add(t, "pre", "llm", registry.Prefill)
	w.add(t, "d1", "llm", registry.Decode)
	w.servers["d1"].Behave(site.Shed)
	w.servers["d1"].SetRetryAfter(longCooldown)
	assert.Equal(t, w.post(t, "/draft/1").status, 503)
	assert.Equal(t, w.sent("d1", site.Decode), 1)
	w.add(t, "d2", "llm", registry.Decode)
	assert.Equal(t, w.post(t, "/draft/2").status, 200)
	assert.Equal(t, w.sent("pre", site.Prefill), 2, "it prefills the next prompt")
}

// A refused reservation can ask for a cooldown too; no further one is requested until it is over.
func TestEngineInCooldownGetsNoReservation(t *testing.T) {
	w := newEngineEnv(t)
	for _, id := range []string{"d1", "d2"} {
		w.servers[id].SetFull(true)
		w.servers[id].SetRetryAfter(longCooldown)
	}
	for range 4 {
		assert.Equal(t, w.post(t, "/draft/1").status, 503)
	}
	assert.Check(t, w.sent("d1", site.Hold) <= 1, "%d", w.sent("d1", site.Hold))
	assert.Check(t, w.sent("d2", site.Hold) <= 1, "%d", w.sent("d2", site.Hold))
}

// Callers are rejected at once, with a Retry-After; after the cooldown the server is used again.
func TestCallersAreRejectedWhenAllServersCoolDown(t *testing.T) {
	w := newTestEnv(t)
	w.add(t, "p1", "plain", registry.Whole)
	w.servers["p1"].Behave(site.Answer, site.Shed)
	w.servers["p1"].SetRetryAfter("0.3")
	assert.Equal(t, w.post(t, "/once/1").status, 503)
	began := time.Now()
	refused := w.post(t, "/once/2")
	assert.Equal(t, refused.status, 503)
	after, err := time.ParseDuration(refused.header.Get("Retry-After") + "s")
	assert.NilError(t, err)
	assert.Check(t, after > 0 && after < time.Second, "%s", after)
	served := false
	for !served && time.Since(began) < 10*time.Second {
		served = w.post(t, "/once/3").status == 200
	}
	assert.Check(t, served)
	assert.Check(t, time.Since(began) >= 200*time.Millisecond, "the server was called during its cooldown")
	assert.Equal(t, w.sent("p1", site.Plain), 2)
}

// A run that an engine refuses with a cooldown, or that is not sent to it because of one, goes to another engine with
// the KV cache already prefilled.
func TestPromptIsPrefilledOnceDespiteACooldown(t *testing.T) {
	w := newTestEnv(t)
	w.add(t, "pre", "llm", registry.Prefill)
	w.add(t, "d1", "llm", registry.Decode)
	w.add(t, "d2", "llm", registry.Decode)
	// d1 has the most free memory as soon as the state of the service exists.
	w.fwd.ServiceLoad("llm")
	w.fwd.SetPeerLoads(map[string]kvmemory.Load{"d2": {Tokens: 4000, Runs: 1, Forecast: kvmemory.Constant(4000)}})
	w.servers["d1"].Behave(site.Shed)
	w.servers["d1"].SetRetryAfter(longCooldown)
	assert.Equal(t, w.post(t, "/resume/1").status, 200)
	assert.Equal(t, w.sent("d1", site.Decode), 1)
	assert.Equal(t, w.sent("pre", site.Prefill), 1)
	for _, c := range w.log.Calls() {
		assert.Check(t, c.Kind != site.Decode || c.KVFrom != "", "%s prefills the prompt", c.Server)
	}
}

// Guards against a server that gets no requests for seconds after the cooldown that it asked for: its truthful refusal
// counted as a failure.
func TestServerIsUsedAfterItsCooldown(t *testing.T) {
	for _, c := range []struct {
		name, path, kind, service string
		stage                     registry.Stage
		refusals                  int
	}{
		{"calls", "/safe/", site.Plain, "plain", registry.Whole, 1},
		{"calls, refused repeatedly", "/safe/", site.Plain, "plain", registry.Whole, 4},
		{"prefill engine", "/draft/", site.Prefill, "llm", registry.Prefill, 1},
		{"prefill engine, refused repeatedly", "/draft/", site.Prefill, "llm", registry.Prefill, 4},
		{"decode engine", "/resume/", site.Decode, "llm", registry.Decode, 1},
		{"decode engine, refused repeatedly", "/resume/", site.Decode, "llm", registry.Decode, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestEnv(t)
			if c.stage != registry.Whole {
				other := map[registry.Stage]registry.Stage{registry.Prefill: registry.Decode, registry.Decode: registry.Prefill}[c.stage]
				w.add(t, "other", c.service, other)
			}
			ids := []string{"p1", "p2", "p3"}
			for _, id := range ids {
				w.add(t, id, c.service, c.stage)
			}
			testUseAfterCooldown(t, w, ids, c.path, c.kind, c.refusals)
		})
	}
}

// testUseAfterCooldown has the server that the gateway prefers ask for some cooldowns, one after the other, and checks
// that it is used again after the last one.
func testUseAfterCooldown(t *testing.T, w *testEnv, ids []string, path, kind string, refusals int) {
	const (
		seconds  = "0.05"
		cooldown = 50 * time.Millisecond
		requests = 60
	)
	send := func() { assert.Equal(t, w.post(t, path+"1").status, 200) }
	sendFor := func(d time.Duration) {
		for start := time.Now(); time.Since(start) < d; {
			send()
		}
	}
	send()
	// With one request at a time, the gateway sends all to the server that it prefers.
	preferred := ids[slices.IndexFunc(ids, func(id string) bool { return w.sent(id, kind) == 1 })]
	w.servers[preferred].SetRetryAfter(seconds)
	w.servers[preferred].Behave(site.Shed)
	for refused := w.sent(preferred, kind) + refusals; w.sent(preferred, kind) < refused; {
		send()
	}
	w.servers[preferred].Behave(site.Answer)
	sendFor(cooldown)
	before := w.sent(preferred, kind)
	for range requests {
		send()
	}
	got := w.sent(preferred, kind) - before
	assert.Assert(t, got >= requests/2, "%d of %d requests", got, requests)
}
