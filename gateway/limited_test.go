package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// eventually reports whether cond holds within a bounded number of checks.
func eventually(cond func() bool) bool {
	const maxTries = 5000
	for range maxTries {
		if cond() {
			return true
		}
	}
	return false
}

// Guards against a server's limit for all gateways together being used by each of them, which sent the server far
// more than the limit.
func TestServerLimitIsSharedByGateways(t *testing.T) {
	store, calls := site.NewStore(t), site.NewLog()
	limited := site.NewServer(t, "c", calls)
	limited.SetLimit("0.01")
	store.Put("servers", "c", entry(limited, "one", "ready"))
	store.Put("op", "config", manifest(3, "one"))
	gateways := []*process{start(t, store, "g1")}
	for _, vm := range []string{"g2", "g3"} {
		gateways = append(gateways, start(t, store, vm, gateways[0].settings.ControlAddr))
	}
	for _, p := range gateways {
		p.waitReady(t, http.StatusOK)
	}
	reached := func() int {
		n := 0
		for _, c := range calls.Calls() {
			if c.Server == "c" {
				n++
			}
		}
		return n
	}
	status, _ := gateways[0].get(t, "/a/1")
	assert.Equal(t, status, http.StatusOK)
	for _, name := range []string{"a", "b"} {
		store.Put("servers", name, entry(site.NewServer(t, name, calls), "one", "ready"))
	}
	for _, p := range gateways {
		waitUntil(t, "another server answers", func() bool {
			_, body := p.get(t, "/a/1")
			return strings.HasPrefix(body, "answer of ") && !strings.HasPrefix(body, "answer of c ")
		})
		assert.Assert(t, eventually(func() bool { return p.gauge(t, metrics.ServersLimited) == 1 }), "%s has no limit", p.settings.VM)
	}
	before := reached()
	const requests = 30
	for range requests {
		for _, p := range gateways {
			status, _ := p.get(t, "/a/1")
			assert.Equal(t, status, http.StatusOK)
		}
	}
	got := reached() - before
	assert.Check(t, got <= len(gateways), "%d of %d", got, requests*len(gateways))
}
