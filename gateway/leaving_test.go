package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// Guards against gateways that ignored a server's announcement in its answers that it is leaving while the store was
// unresponsive and no server list said so.
func TestLeavingInAnswersAppliesWithoutStore(t *testing.T) {
	store, calls := site.NewStore(t), site.NewLog()
	leaving := site.NewServer(t, "a", calls)
	store.Put("servers", "a", entry(leaving, "one", "ready"))
	store.Put("op", "config", manifest(3, "one"))
	first := start(t, store, "g1")
	gateways := []*process{first, start(t, store, "g2", first.settings.ControlAddr)}
	for _, p := range gateways {
		p.waitReady(t, http.StatusOK)
	}
	leaving.SetLeaving()
	status, _ := first.get(t, "/a/1")
	assert.Equal(t, status, http.StatusOK)
	store.Put("servers", "b", entry(site.NewServer(t, "b", calls), "one", "ready"))
	for _, p := range gateways {
		waitUntil(t, "only the remaining server answers", func() bool {
			_, body := p.get(t, "/a/1")
			return strings.HasPrefix(body, "answer of b ")
		})
	}
	// Its entry, renewed as ready, does not make it usable again.
	store.Put("servers", "a", entry(leaving, "one", "ready"))
	store.SetFault(site.Unavailable)
	before := len(calls.Calls())
	for range 200 {
		for _, p := range gateways {
			status, _ := p.get(t, "/a/1")
			assert.Equal(t, status, http.StatusOK)
		}
	}
	for _, c := range calls.Calls()[before:] {
		assert.Equal(t, c.Server, "b")
	}
}
