package gateway_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// count returns the value of a counter of the process.
func (p *process) count(t *testing.T, name string) float64 { return p.metric(t, name).Count }

// gauge returns the value of a gauge of the process.
func (p *process) gauge(t *testing.T, name string) float64 { return p.metric(t, name).Value }

// shown is one metric as it is served.
type shown struct {
	Count float64 `json:"count"`
	Value float64 `json:"value"`
}

func (p *process) metric(t *testing.T, name string) shown {
	res, err := http.Get("http://" + p.settings.MetricsAddr + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	var all map[string]shown
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&all))
	return all[name]
}

// pending sends a request and returns once it has reached a server that does not answer it.
func (p *process) pending(t *testing.T, path string, calls *site.Log) <-chan string {
	answered := make(chan string, 1)
	go func() {
		_, body := p.get(t, path)
		answered <- body
	}()
	calls.Wait(t, false, func(c site.Call) bool { return c.Path == path })
	return answered
}

const firstIncarnation, secondIncarnation = 1764720000123, 1764720009000

// TestServerRestarts: a server crashes without closing its connections and restarts under its name. Requests in
// progress there end at once, the state of the earlier incarnation is dropped, and a late entry of it changes
// nothing.
func TestServerRestarts(t *testing.T) {
	store, calls := site.NewStore(t), site.NewLog()
	a := site.NewServer(t, "a", calls)
	a.Restart(firstIncarnation, false)
	earlier := a.Entry("one", "ready")
	store.Put("servers", "a", earlier.Encode())
	store.Put("op", "config", manifest(3, "one"))
	p := start(t, store, "g1")
	p.waitReady(t, http.StatusOK)
	a.Behave(site.Answer, site.NeverAnswer)
	answered := p.pending(t, "/a/1", calls)
	a.Restart(secondIncarnation, true)
	store.Put("servers", "a", a.Entry("one", "ready").Encode())
	assert.Equal(t, <-answered, "answer of a to /a/1")
	assert.Equal(t, p.count(t, metrics.ServerRestarts), 1.0)

	earlier.Service = "two"
	store.Put("servers", "a", earlier.Encode())
	store.Put("servers", "b", a.Entry("two", "draining").Encode())
	waitUntil(t, "the list with b", func() bool { _, body := p.get(t, "/a/2"); return body == "answer of a to /a/2" })

	store.Put("servers", "a", a.Entry("one", "draining").Encode())
	waitUntil(t, "the server leaves", func() bool { status, _ := p.get(t, "/a/3"); return status == http.StatusServiceUnavailable })
	a.Restart(secondIncarnation+1, false)
	store.Put("servers", "a", a.Entry("one", "ready").Encode())
	waitUntil(t, "the third incarnation", func() bool { _, body := p.get(t, "/a/4"); return body == "answer of a to /a/4" })
}

// TestEntryCorrupted: another writer corrupts the entry of a server. The server gets no new work, its requests in
// progress continue, the other entries of the same reading apply, and it is used again once its entry is valid.
func TestEntryCorrupted(t *testing.T) {
	for name, corrupt := range map[string]func(site.Entry) []byte{
		"bytes":   func(site.Entry) []byte { return []byte("{\xff") },
		"missing": func(e site.Entry) []byte { e.Born = 0; return e.Encode() },
		"type": func(e site.Entry) []byte {
			return []byte(strings.Replace(string(e.Encode()), `"slots":6`, `"slots":"six"`, 1))
		},
		"value": func(e site.Entry) []byte { e.State = "warming"; return e.Encode() },
	} {
		store, calls := site.NewStore(t), site.NewLog()
		a, b := site.NewServer(t, "a", calls), site.NewServer(t, "b", calls)
		a.Restart(firstIncarnation, false)
		b.Restart(firstIncarnation, false)
		store.Put("servers", "a", a.Entry("one", "ready").Encode())
		store.Put("op", "config", manifest(3, "one"))
		p := start(t, store, "g1")
		p.waitReady(t, http.StatusOK)
		a.Behave(site.Answer, site.NeverAnswer)
		answered := p.pending(t, "/a/1", calls)
		store.Put("servers", "a", corrupt(a.Entry("one", "ready")))
		store.Put("servers", "b", b.Entry("one", "ready").Encode())
		store.Put("servers", "c", []byte("[]"))
		store.Put("servers", "d", nil)
		waitUntil(t, "b gets new work", func() bool { _, body := p.get(t, "/a/2"); return body == "answer of b to /a/2" })
		waitUntil(t, "a gets no new work", func() bool { _, body := p.get(t, "/a/3"); return body == "answer of b to /a/3" })
		assert.Equal(t, a.Active(), 1, "the request in progress continues")
		assert.Equal(t, len(answered), 0)
		assert.Assert(t, p.count(t, metrics.EntryUnreadablePrefix+name) > 0)
		store.Put("servers", "b", b.Entry("one", "draining").Encode())
		store.Put("servers", "a", a.Entry("one", "ready").Encode())
		waitUntil(t, "a again", func() bool { _, body := p.get(t, "/a/5"); return body == "answer of a to /a/5" })
		a.Restart(firstIncarnation, false)
		<-answered
	}
}
