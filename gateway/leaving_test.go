package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// A server said in its answers that it leaves while the store was silent: no list said so, and no gateway heeded it.
func TestLeavingInAnswersHoldsWithoutTheStore(t *testing.T) {
	store, calls := site.NewStore(t), site.NewLog()
	leaving := site.NewServer(t, "a", calls)
	store.Put("servers", "a", entry(leaving, "one", "ready"))
	store.Put("op", "config", manifest(3, "one"))
	first := start(t, store, "g1")
	gateways := []*process{first, start(t, store, "g2", first.set.Control)}
	for _, p := range gateways {
		p.ready(t, http.StatusOK)
	}
	leaving.SetLeaving()
	status, _ := first.ask(t, "/a/1")
	assert.Equal(t, status, http.StatusOK)
	store.Put("servers", "b", entry(site.NewServer(t, "b", calls), "one", "ready"))
	for _, p := range gateways {
		until(t, "only the server that stays answers", func() bool {
			_, body := p.ask(t, "/a/1")
			return strings.HasPrefix(body, "answer of b ")
		})
	}
	// Its entry, renewed as ready, does not bring it back.
	store.Put("servers", "a", entry(leaving, "one", "ready"))
	store.SetFault(site.Unavailable)
	before := len(calls.Calls())
	for range 200 {
		for _, p := range gateways {
			status, _ := p.ask(t, "/a/1")
			assert.Equal(t, status, http.StatusOK)
		}
	}
	for _, c := range calls.Calls()[before:] {
		assert.Equal(t, c.Server, "b")
	}
}
