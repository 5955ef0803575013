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

// count is the value of a counter of the process.
func (p *process) count(t *testing.T, name string) float64 { return p.metric(t, name).Count }

// gauge is the value of a gauge of the process.
func (p *process) gauge(t *testing.T, name string) float64 { return p.metric(t, name).Value }

// shown is one metric as it is served.
type shown struct {
	Count float64 `json:"count"`
	Value float64 `json:"value"`
}

func (p *process) metric(t *testing.T, name string) shown {
	res, err := http.Get("http://" + p.set.Metrics + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	var all map[string]shown
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&all))
	return all[name]
}

// pending sends a request and returns once it has reached a server that keeps it.
func (p *process) pending(t *testing.T, path string, calls *site.Log) <-chan string {
	answered := make(chan string, 1)
	go func() {
		_, body := p.ask(t, path)
		answered <- body
	}()
	calls.Wait(t, false, func(c site.Call) bool { return c.Path == path })
	return answered
}

const firstStart, secondStart = 1764720000123, 1764720009000

// TestServerStartsAgain: a server crashes silently and starts again under its name. What ran there ends at
// once, what was said of the earlier start is forgotten, and an entry of it that comes late changes nothing.
func TestServerStartsAgain(t *testing.T) {
	store, calls := site.NewStore(t), site.NewLog()
	a := site.NewServer(t, "a", calls)
	a.Restart(firstStart, false)
	earlier := a.Entry("one", "ready")
	store.Put("servers", "a", earlier.Encode())
	store.Put("op", "config", manifest(3, "one"))
	p := start(t, store, "g1")
	p.ready(t, http.StatusOK)
	a.Behave(site.Answer, site.Mute)
	answered := p.pending(t, "/a/1", calls)
	a.Restart(secondStart, true)
	store.Put("servers", "a", a.Entry("one", "ready").Encode())
	assert.Equal(t, <-answered, "answer of a to /a/1")
	assert.Equal(t, p.count(t, metrics.ServerRestarts), 1.0)

	earlier.Service = "two"
	store.Put("servers", "a", earlier.Encode())
	store.Put("servers", "b", a.Entry("two", "draining").Encode())
	until(t, "the list with b", func() bool { _, body := p.ask(t, "/a/2"); return body == "answer of a to /a/2" })

	store.Put("servers", "a", a.Entry("one", "draining").Encode())
	until(t, "it leaves", func() bool { status, _ := p.ask(t, "/a/3"); return status == http.StatusServiceUnavailable })
	a.Restart(secondStart+1, false)
	store.Put("servers", "a", a.Entry("one", "ready").Encode())
	until(t, "the third start", func() bool { _, body := p.ask(t, "/a/4"); return body == "answer of a to /a/4" })
}

// TestEntrySpoiled: another writer spoils the entry of a server. It gets no new work, what runs there goes
// on, the other entries of the same reading hold, and it is used again once its entry is whole.
func TestEntrySpoiled(t *testing.T) {
	for name, spoil := range map[string]func(site.Entry) []byte{
		"bytes":   func(site.Entry) []byte { return []byte("{\xff") },
		"missing": func(e site.Entry) []byte { e.Born = 0; return e.Encode() },
		"type": func(e site.Entry) []byte {
			return []byte(strings.Replace(string(e.Encode()), `"slots":6`, `"slots":"six"`, 1))
		},
		"value": func(e site.Entry) []byte { e.State = "warming"; return e.Encode() },
	} {
		store, calls := site.NewStore(t), site.NewLog()
		a, b := site.NewServer(t, "a", calls), site.NewServer(t, "b", calls)
		a.Restart(firstStart, false)
		b.Restart(firstStart, false)
		store.Put("servers", "a", a.Entry("one", "ready").Encode())
		store.Put("op", "config", manifest(3, "one"))
		p := start(t, store, "g1")
		p.ready(t, http.StatusOK)
		a.Behave(site.Answer, site.Mute)
		answered := p.pending(t, "/a/1", calls)
		store.Put("servers", "a", spoil(a.Entry("one", "ready")))
		store.Put("servers", "b", b.Entry("one", "ready").Encode())
		store.Put("servers", "c", []byte("[]"))
		store.Put("servers", "d", nil)
		until(t, "b gets new work", func() bool { _, body := p.ask(t, "/a/2"); return body == "answer of b to /a/2" })
		until(t, "a gets none", func() bool { _, body := p.ask(t, "/a/3"); return body == "answer of b to /a/3" })
		assert.Equal(t, a.Active(), 1, "what runs there goes on")
		assert.Equal(t, len(answered), 0)
		assert.Assert(t, p.count(t, metrics.EntryUnreadablePrefix+name) > 0)
		store.Put("servers", "b", b.Entry("one", "draining").Encode())
		store.Put("servers", "a", a.Entry("one", "ready").Encode())
		until(t, "a again", func() bool { _, body := p.ask(t, "/a/5"); return body == "answer of a to /a/5" })
		a.Restart(firstStart, false)
		<-answered
	}
}
