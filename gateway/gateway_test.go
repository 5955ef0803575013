package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fencing"
	"github.com/hibiscusspur/hibiscusspur/gateway"
	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/kernel"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/platform"
	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/streamversions"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// process is a gateway that runs as its program runs it.
type process struct {
	settings gateway.Settings
	s        *gateway.Service
	stop     context.CancelFunc
	done     chan error
}

// freeAddr returns a loopback address that nothing else uses: a port that was free on 127.0.0.1 may be taken by any
// connection of another test before the gateway listens.
func freeAddr(t *testing.T) string {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	lis, err := net.Listen("tcp", host+":0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

func start(t *testing.T, store *site.Store, vm string, seeds ...string) *process {
	return startWithDatagrams(t, store, vm, 0, seeds...)
}

// startWithDatagrams starts a gateway that sends datagrams to the others on a UDP port, none if that is zero.
func startWithDatagrams(t *testing.T, store *site.Store, vm string, port int, seeds ...string) *process {
	settings := gateway.Settings{
		VM: vm, Zone: "z1", Datagrams: port, ClientAddr: freeAddr(t), ReadyAddr: freeAddr(t), ControlAddr: freeAddr(t), MetricsAddr: freeAddr(t),
		Seeds: seeds, Drain: 10 * time.Second, Notice: 50 * time.Millisecond,
		Retry: retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 50},
	}
	l := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	pool := upstream.New(upstream.Options{})
	client := platform.NewStore(upstream.New(upstream.Options{}), store.Addr(), time.Second)
	engines := platform.NewEngines(pool, time.Second)
	p := &process{settings: settings, done: make(chan error, 1)}
	p.s = gateway.New(settings, gateway.Deps{
		Store: client, Codec: platform.Codec{}, Engines: engines, Orders: engines,
		Lease: fencing.New(client.Table("hibiscusspur"), "orders", vm, nil),
		Holds: client.Table(holdback.TableName), Versions: client.Table(streamversions.TableName), Streams: client.Table(streamversions.StreamsTableName),
		Pool: pool, Log: l, Batch: event.NewBatch(io.Discard), Metrics: metrics.NewSet(),
	})
	k := kernel.New()
	k.Register(p.s)
	var ctx context.Context
	ctx, p.stop = context.WithCancel(context.Background())
	go func() { p.done <- k.Run(ctx, settings.Drain) }()
	t.Cleanup(func() {
		p.stop()
		if p.done != nil {
			<-p.done
		}
	})
	return p
}

// waitReady polls the readiness check as the load balancer does until it returns the wanted status.
func (p *process) waitReady(t *testing.T, want int) {
	t.Helper()
	for t.Context().Err() == nil {
		res, err := http.Get("http://" + p.settings.ReadyAddr)
		if err != nil && len(p.done) > 0 {
			t.Fatalf("the gateway has terminated: %v", <-p.done)
		}
		if err != nil {
			continue
		}
		assert.NilError(t, res.Body.Close())
		if res.StatusCode == want {
			return
		}
	}
	t.Fatalf("the readiness check never returned %d", want)
}

// get sends a request and returns the status and the body of the answer.
func (p *process) get(t *testing.T, path string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+p.settings.ClientAddr+path, nil)
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set(site.RequestID, "id-1")
	res, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(body)
}

func manifest(version int, service string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"safe","timeout_ms":30000,"slo_ms":1000,"attempts":2,"service":%q}],"services":[{"name":%q}]}`,
		version, service, service)
}

func entry(s *site.Server, service, state string) []byte {
	return s.Entry(service, state).Encode()
}

// waitUntil polls cond until it holds.
func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for !cond() {
		if t.Context().Err() != nil {
			t.Fatal(what)
		}
	}
}

// TestLifecycle: the gateway is not ready without configuration and servers, then serves, follows changes of both,
// and stops without breaking off requests.
func TestLifecycle(t *testing.T) {
	store, calls := site.NewStore(t), site.NewLog()
	a, b := site.NewServer(t, "a", calls), site.NewServer(t, "b", calls)
	p := start(t, store, "g1")
	p.waitReady(t, http.StatusServiceUnavailable)
	status, _ := p.get(t, "/a/1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	store.Put("servers", "a", entry(a, "one", "ready"))
	store.Put("servers", "b", entry(b, "two", "ready"))
	store.Put("op", "config", manifest(3, "one"))
	p.waitReady(t, http.StatusOK)
	waitUntil(t, "the server", func() bool { _, body := p.get(t, "/a/1"); return body == "answer of a to /a/1" })
	store.Put("op", "config", []byte(`{"version":"broken"}`))
	store.Put("op", "config", manifest(5, "two"))
	waitUntil(t, "the new service", func() bool { _, body := p.get(t, "/a/1"); return strings.Contains(body, "of b") })
	store.Put("op", "config", manifest(4, "one"))
	store.Put("op", "config", manifest(5, "one"))
	store.Put("servers", "b", entry(b, "two", "draining"))
	waitUntil(t, "the leaving server gets no requests", func() bool { status, _ := p.get(t, "/a/1"); return status == http.StatusServiceUnavailable })
	res, err := http.Get("http://" + p.settings.MetricsAddr + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	var shown map[string]any
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&shown))
	assert.DeepEqual(t, shown[metrics.ConfigRevision], map[string]any{"value": 5.0})
}

// TestStoreDown: a gateway that starts while the store refuses it receives all state from another gateway.
func TestStoreDown(t *testing.T) {
	store, calls := site.NewStore(t), site.NewLog()
	a := site.NewServer(t, "a", calls)
	store.Put("servers", "a", entry(a, "one", "ready"))
	store.Put("op", "config", manifest(3, "one"))
	first := start(t, store, "g1")
	first.waitReady(t, http.StatusOK)
	store.SetFault(site.Unavailable)
	second := start(t, store, "g2", first.settings.ControlAddr)
	second.waitReady(t, http.StatusOK)
	_, body := second.get(t, "/a/1")
	assert.Equal(t, body, "answer of a to /a/1")
}

// TestDrain: readiness ends at once, and a request in progress is finished.
func TestDrain(t *testing.T) {
	store, calls := site.NewStore(t), site.NewLog()
	a := site.NewServer(t, "a", calls)
	b := site.NewServer(t, "b", calls)
	store.Put("servers", "a", entry(a, "one", "ready"))
	store.Put("servers", "b", entry(b, "one", "ready"))
	store.Put("op", "config", []byte(strings.ReplaceAll(string(manifest(3, "one")), "30000", "4000")))
	p := start(t, store, "g1")
	p.waitReady(t, http.StatusOK)
	a.Behave(site.NeverAnswer)
	b.Behave(site.NeverAnswer)
	answered := make(chan string, 1)
	go func() {
		_, body := p.get(t, "/a/1")
		answered <- body
	}()
	calls.Wait(t, false, func(c site.Call) bool { return c.Kind == site.Plain })
	a.Behave(site.Answer)
	b.Behave(site.Answer)
	p.stop()
	p.waitReady(t, http.StatusServiceUnavailable)
	// The server that took the request stays unresponsive; the second attempt is answered.
	assert.Assert(t, strings.HasPrefix(<-answered, "answer of "))
	assert.NilError(t, <-p.done)
	p.done = nil
}

func TestReloadTakesSeeds(t *testing.T) {
	store := site.NewStore(t)
	store.Put("op", "config", manifest(3, "one"))
	first := start(t, store, "g1")
	first.waitReady(t, http.StatusOK)
	store.SetFault(site.Unavailable)
	second := start(t, store, "g2")
	second.waitReady(t, http.StatusServiceUnavailable)
	settings := second.settings
	settings.Seeds = []string{first.settings.ControlAddr}
	second.s.Reload(settings)
	second.waitReady(t, http.StatusOK)
}
