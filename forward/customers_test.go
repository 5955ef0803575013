package forward_test

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/customershare"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
)

const authorization = "Authorization"

// fill lets the other gateways hold so many tokens of each decode engine.
func (w *testEnv) fill(tokens int) {
	load := kvmemory.Load{Tokens: tokens, Runs: 1, Forecast: kvmemory.Constant(tokens)}
	w.fwd.SetPeerLoads(map[string]kvmemory.Load{"d1": load, "d2": load})
}

// competingCustomers are figures of other gateways: customer a holds most, and a request of customer b waits.
func competingCustomers() customershare.Figures {
	return customershare.Figures{
		{Pool: "llm", Customer: "a"}:                50_000,
		{Pool: "llm", Customer: "b"}:                1000,
		{Pool: "llm", Customer: "b", Waiting: true}: 6000,
	}
}

// awaitCustomerMemory returns once there are so many figures of customers' memory.
func (w *testEnv) awaitCustomerMemory(t *testing.T, n int) {
	for len(w.fwd.CustomerMemory()) != n {
		assert.NilError(t, t.Context().Err())
	}
}

// waitingForMemory starts a request of customer a that waits for memory, and returns its answer's channel. The gateway has
// learned how long runs are, and engines are full.
func waitingForMemory(t *testing.T, path string) (*testEnv, <-chan answer) {
	t.Helper()
	w := newEngineEnv(t)
	w.withTenants(t, tenant("a", ownKey))
	assert.Equal(t, w.post(t, "/draft/1", authorization, scheme+ownKey).status, 200)
	w.awaitCustomerMemory(t, 0)
	w.fill(10_000)
	done := make(chan answer, 1)
	go func() { done <- w.post(t, path, authorization, scheme+ownKey) }()
	w.awaitCustomerMemory(t, 1)
	<-w.fwd.PlacementChanged()
	return w, done
}

// TestCustomerMemoryIsReported guards against figures that remain after the request that they count.
func TestCustomerMemoryIsReported(t *testing.T) {
	w, done := waitingForMemory(t, "/draft/patient/1")
	waits := customershare.Key{Pool: "llm", Customer: "a", Waiting: true}
	assert.DeepEqual(t, w.fwd.TakeChangedCustomerMemory(), []customershare.Figure{{Key: waits, Tokens: 1100}})
	assert.DeepEqual(t, w.fwd.CustomerMemory(), []customershare.Figure{{Key: waits, Tokens: 1100}})
	assert.Equal(t, w.fwd.CustomerHolding("a").Waiting, 1100)
	w.fill(0)
	assert.Equal(t, (<-done).status, 200)
	w.awaitCustomerMemory(t, 0)
	assert.DeepEqual(t, w.fwd.TakeChangedCustomerMemory(), []customershare.Figure{{Key: waits}})
}

// TestEndOfWaitIsReported guards against requests of other gateways that yield to one that has given up, until the next
// full report: at 400 gateways that is 10 s later.
func TestEndOfWaitIsReported(t *testing.T) {
	w, done := waitingForMemory(t, "/draft/1")
	assert.Equal(t, len(w.fwd.TakeChangedCustomerMemory()), 1)
	assert.Equal(t, (<-done).status, 503)
	select {
	case <-w.fwd.PlacementChanged():
	default:
		t.Fatal("the end of the wait is not announced")
	}
	waits := customershare.Key{Pool: "llm", Customer: "a", Waiting: true}
	assert.DeepEqual(t, w.fwd.TakeChangedCustomerMemory(), []customershare.Figure{{Key: waits}})
}

// TestCustomerOverShareYields guards against a customer over its share that doesn't yield to requests that wait at other
// gateways, that retries before customers within theirs, or that isn't named in the log.
func TestCustomerOverShareYields(t *testing.T) {
	w := newEngineEnv(t)
	w.withTenants(t, tenant("a", ownKey), tenant("b", otherKey))
	assert.Equal(t, w.post(t, "/draft/1", authorization, scheme+otherKey).status, 200)
	w.fill(10_000)
	w.fwd.SetPeerCustomerMemory(competingCustomers())
	for range 2 {
		got := w.post(t, "/draft/1", authorization, scheme+ownKey)
		assert.Equal(t, got.status, 503)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after >= 4 && after <= 4.7, "in the second half of the interval: %v", after)
	}
	got := w.post(t, "/draft/1", authorization, scheme+otherKey)
	assert.Equal(t, got.status, 503)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after >= 3.4 && after <= 4.1, "in the first half: %v", after)
	for name, want := range map[string]int64{
		metrics.ShareYields: 2, metrics.MemoryWaitsPrefix + string(metrics.MemoryOverShare): 2,
		metrics.MemoryRejectionsPrefix + string(metrics.MemoryWaited+metrics.OverShareSuffix): 2,
		metrics.MemoryWaitsPrefix + string(metrics.MemoryShort):                               1, metrics.MemoryRejectionsPrefix + string(metrics.MemoryWaited): 1,
	} {
		assert.Equal(t, w.met.Counter(name).Count(), want, name)
	}
	assert.Equal(t, strings.Count(w.logged.String(), "customer is short of engine memory"), 2, "once for each customer")
	w.fill(0)
	w.fwd.SetPeerCustomerMemory(nil)
	assert.Equal(t, w.post(t, "/draft/1", authorization, scheme+ownKey).status, 200, "the figures have expired")
}

// TestWithoutCustomersNothingYields guards against another choice than before where the configuration has no customers
// or the mechanism is off.
func TestWithoutCustomersNothingYields(t *testing.T) {
	for _, customers := range []bool{false, true} {
		w := newEngineEnv(t)
		if customers {
			off, err := mechanism.Parse([]string{mechanism.CustomerShares.String()})
			assert.NilError(t, err)
			w.fwd.Off = off
			w.withTenants(t, tenant("a", ownKey), tenant("b", otherKey))
		}
		assert.Equal(t, w.post(t, "/draft/1", authorization, scheme+ownKey).status, 200)
		w.fill(10_000)
		w.fwd.SetPeerCustomerMemory(competingCustomers())
		assert.Equal(t, w.post(t, "/draft/1", authorization, scheme+ownKey).status, 503)
		assert.Equal(t, w.met.Counter(metrics.ShareYields).Count(), int64(0))
		assert.Assert(t, !strings.Contains(w.logged.String(), "customer is short of engine memory"))
		assert.Equal(t, len(w.fwd.TakeChangedCustomerMemory()), 0)
	}
}
