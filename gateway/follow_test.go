package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// TestStoreRetryDelay: in an outage of the store the few store readers keep a constant retry delay, the other
// gateways back off.
func TestStoreRetryDelay(t *testing.T) {
	for _, c := range []struct {
		urgent   bool
		failures int
		want     time.Duration
	}{
		{true, 1, storeRetryDelay}, {true, 100, storeRetryDelay},
		{false, 0, storeRetryDelay}, {false, 1, storeRetryDelay}, {false, 2, 2 * storeRetryDelay}, {false, 3, 4 * storeRetryDelay},
		{false, 4, maxStoreRetryDelay}, {false, 1000, maxStoreRetryDelay},
	} {
		assert.Equal(t, retryDelay(c.urgent, c.failures), c.want, "%+v", c)
	}
	calls := 0
	for failures, at := 1, time.Duration(0); at < 8*time.Second; failures++ {
		calls++
		at += retryDelay(false, failures)
	}
	assert.Assert(t, calls <= 8, "at most one call a second in an outage of eight seconds: %d", calls)
}

// TestListWithoutVersionsIsRead: a gateway that is told of engines by gateways of an earlier release, which report no
// versions, reads the list itself.
func TestListWithoutVersionsIsRead(t *testing.T) {
	v, now := newView(), time.Now()
	engine := registry.Server{ID: "i-1", Service: "llm", Addr: "10.0.0.1:80", Stage: registry.Decode}
	plain := registry.Server{ID: "i-2", Service: "web", Addr: "10.0.0.2:80"}
	v.applyServersUpdate(serversUpdate{version: 5, servers: []registry.Server{plain}}, now)
	assert.Assert(t, !v.lacksVersions(), "no engine")
	v.applyServersUpdate(serversUpdate{version: 6, servers: []registry.Server{engine, plain}}, now)
	assert.Assert(t, v.lacksVersions())
	v.applyServers(6, []registry.Server{engine, plain}, now.Add(1))
	v.recordRead(now.Add(1))
	assert.Assert(t, !v.lacksVersions(), "the store has none either")
	engine.Version = "v1"
	v.applyServers(7, []registry.Server{engine, plain}, now.Add(2))
	engine.Version = ""
	v.applyServersUpdate(serversUpdate{version: 8, servers: []registry.Server{engine, plain}}, now.Add(3))
	assert.Assert(t, !v.lacksVersions(), "versions once known stay")
}
