package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// restoredCluster is a set of gateways whose store is restored from a copy.
type restoredCluster struct {
	store    *site.Store
	calls    *site.Log
	gateways []*process
}

// lostWrites is the number of writes that the copy lacks.
const lostWrites = 400

// newRestoredCluster starts gateways in front of servers a and b, and has the store go back by lostWrites versions.
func newRestoredCluster(t *testing.T) (c *restoredCluster, a, b *site.Server) {
	c = &restoredCluster{store: site.NewStore(t), calls: site.NewLog()}
	a, b = site.NewServer(t, "a", c.calls), site.NewServer(t, "b", c.calls)
	c.store.Put("servers", "a", entry(a, "one", "ready"))
	c.store.Put("servers", "b", entry(b, "one", "ready"))
	c.store.Put("op", "config", manifest(3, "one"))
	for i := range lostWrites {
		c.store.Put("others", fmt.Sprint(i), []byte("lost"))
	}
	first := start(t, c.store, "g1")
	c.gateways = []*process{first}
	for i := range 2 {
		c.gateways = append(c.gateways, start(t, c.store, fmt.Sprint("g", i+2), first.settings.ControlAddr))
	}
	for _, p := range c.gateways {
		p.waitReady(t, http.StatusOK)
	}
	c.awaitReadings(t)
	c.store.Restore(lostWrites)
	return c, a, b
}

// awaitReadings waits until each gateway that reads the list for all has read it anew.
func (c *restoredCluster) awaitReadings(t *testing.T) {
	const readings = 8
	before := c.store.Reads("servers")
	waitUntil(t, "readings of the list", func() bool { return c.store.Reads("servers") >= before+readings })
}

// reached returns the servers that requests through each gateway reach.
func (c *restoredCluster) reached(t *testing.T) string {
	before := len(c.calls.Calls())
	const requests = 40
	for _, p := range c.gateways {
		for i := range requests {
			status, _ := p.get(t, fmt.Sprint("/a/", i))
			assert.Equal(t, status, http.StatusOK)
		}
	}
	all := map[string]bool{}
	for _, call := range c.calls.Calls()[before:] {
		all[call.Server] = true
	}
	var out []string
	for _, server := range []string{"a", "b", "c"} {
		if all[server] {
			out = append(out, server)
		}
	}
	return strings.Join(out, " ")
}

// Guards against requests at a server whose notice that it leaves has a lower version than the list in force, since the
// store was restored from a copy.
func TestLeavingServerAfterRestore(t *testing.T) {
	c, a, _ := newRestoredCluster(t)
	c.store.Put("servers", "a", entry(a, "one", "draining"))
	c.awaitReadings(t)
	assert.Equal(t, c.reached(t), "b")
	for _, p := range c.gateways {
		assert.Equal(t, p.gauge(t, metrics.StoreEra), 2.0)
	}
}

// Guards against gateways that do not use a server whose entry has a lower version than the list in force.
func TestNewServerAfterRestore(t *testing.T) {
	c, _, _ := newRestoredCluster(t)
	c.store.Put("servers", "c", entry(site.NewServer(t, "c", c.calls), "one", "ready"))
	c.awaitReadings(t)
	assert.Assert(t, strings.Contains(c.reached(t), "c"))
}
