package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/platform"
	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// view is a fixed view of the world.
type view struct {
	mu      sync.Mutex
	table   *route.Table
	servers []registry.Server
	others  int
	down    []string
	// looked counts the looks at the servers of each service.
	looked map[string]int
	// leaving is a server that has said that it stops.
	leaving  string
	replaced []string
}

func (v *view) Table() *route.Table { return v.table }
func (v *view) Routers() int        { return 1 }
func (v *view) Others() int         { return v.others }

func (v *view) Servers(service string) []registry.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.looked[service]++
	var out []registry.Server
	for _, s := range v.servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	return out
}

// looks is how often the servers of a service were looked at.
func (v *view) looks(service string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.looked[service]
}

func (v *view) Listed(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return id != v.leaving && slices.ContainsFunc(v.servers, func(s registry.Server) bool { return s.ID == id })
}

func (v *view) Down(s registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = append(v.down, s.ID)
}

func (v *view) Replaced(s registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replaced = append(v.replaced, s.ID)
}

// world is a forwarder behind a real listener and before stand-ins of servers.
type world struct {
	*view
	log     *site.Log
	servers map[string]*site.Server
	addr    string
	fwd     *forward.Forwarder
	met     *metrics.Set
	guard   *holdback.Guard
}

const (
	seconds = 30 * time.Second
	// patience is what clients of these tests say; no test waits for it to end.
	patience = "30000"
)

// unlimited is a budget that is never spent.
var unlimited = retrybudget.Limits{Ratio: 1, Window: time.Hour, Slack: 1e9}

func newWorld(t *testing.T) *world { return newWorldWith(t, unlimited) }

func newWorldWith(t *testing.T, limits retrybudget.Limits) *world {
	w := &world{log: site.NewLog(), servers: map[string]*site.Server{}, met: metrics.NewSet()}
	table := &route.Table{
		Version: 1,
		Routes: []route.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: route.Safe, Timeout: seconds, Objective: time.Second, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: route.Unsafe, Timeout: seconds, Objective: time.Second, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Unsafe, Timeout: seconds, Objective: time.Second, Attempts: 1, Targets: []route.Target{{Service: "plain"}}},
			{Name: "brief", Host: "h", Prefix: "/brief/", Kind: route.Unsafe, Timeout: 100 * time.Millisecond, Objective: time.Second, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: route.Stream, Timeout: seconds, Objective: 900 * time.Millisecond, Attempts: 1, Targets: []route.Target{{Service: "llm"}}},
			{Name: "patient", Host: "h", Prefix: "/draft/patient/", Kind: route.Stream, Timeout: seconds, Objective: seconds, Attempts: 1, Targets: []route.Target{{Service: "llm"}}},
			{Name: "resume", Host: "h", Prefix: "/resume/", Kind: route.Stream, Timeout: seconds, Objective: 900 * time.Millisecond, Attempts: 2, Resumable: true, Targets: []route.Target{{Service: "llm"}}},
		},
		Services: map[string]route.Service{
			"plain": {Name: "plain"},
			"llm":   {Name: "llm", Engine: &route.Engine{Slots: 48, KVTokens: 10_000, MaxHold: 2 * time.Second}},
		},
		Limits: route.Limits{BodyBytes: 1000},
	}
	table.Build()
	w.view = &view{table: table, looked: map[string]int{}}
	l := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	w.guard = holdback.New(l, w.met, false)
	pool := upstream.New(upstream.Options{})
	watcher := httpserver.NewWatcher()
	ctx, cancel := context.WithCancel(context.Background())
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		watcher.Run(ctx, time.Millisecond)
	}()
	w.fwd = forward.New(forward.Config{
		Codec: platform.Codec{}, Engines: platform.NewEngines(pool, seconds), View: w.view, Pool: pool, Watcher: watcher, Guard: w.guard,
		Log: l, Metrics: w.met,
		VM: "g1", Zone: "z1", Retry: limits,
	})
	server, err := httpserver.Start(httpserver.Options{Addr: "127.0.0.1:0", Handler: w.fwd, Pollers: 1})
	assert.NilError(t, err)
	w.addr = server.Addr()
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-watching
	})
	return w
}

// add starts a server. Plain servers whose names come first stand in the gateway's zone.
func (w *world) add(t *testing.T, id, service string, stage registry.Stage) *site.Server {
	s := site.NewServer(t, id, w.log)
	w.servers[id] = s
	w.view.mu.Lock()
	defer w.view.mu.Unlock()
	zone := "z1"
	if len(w.view.servers) > 0 && stage == registry.Whole {
		zone = "z2"
	}
	w.view.servers = append(w.view.servers, registry.Server{ID: id, Service: service, Addr: s.Addr(), Zone: zone, Stage: stage, Slots: 48})
	return s
}

func plain(t *testing.T) *world {
	w := newWorld(t)
	w.add(t, "p1", "plain", registry.Whole)
	w.add(t, "p2", "plain", registry.Whole)
	w.add(t, "p3", "plain", registry.Whole)
	return w
}

func engines(t *testing.T) *world { return enginesWith(t, unlimited) }

func enginesWith(t *testing.T, limits retrybudget.Limits) *world {
	w := newWorldWith(t, limits)
	w.add(t, "pre", "llm", registry.Prefill)
	w.add(t, "d1", "llm", registry.Decode)
	w.add(t, "d2", "llm", registry.Decode)
	return w
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// cut is set when the answer ended before it was whole.
	cut bool
}

func (w *world) post(t *testing.T, path string, extra ...string) answer {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+w.addr+path, strings.NewReader("question"))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set(site.RequestID, "id-1")
	r.Header.Set(site.Deadline, patience)
	if strings.HasPrefix(path, "/draft") || strings.HasPrefix(path, "/resume") {
		r.Header.Set(site.Tokens, "1000,200")
		r.Header.Set(site.LengthHint, "100")
	}
	for i := 0; i < len(extra); i += 2 {
		r.Header.Set(extra[i], extra[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, res.Header, string(body), err != nil}
}

func TestPlainCalls(t *testing.T) {
	for _, c := range []struct {
		name, path string
		first      site.Behaviour
		status     int
		body       string
		calls      string
	}{
		{"answered", "/safe/1?q=%2F", site.Answer, 200, "answer of p1 to /safe/1?q=%2F", "plain p1"},
		{"safe and failed", "/safe/1", site.Fail, 200, "answer of p2 to /safe/1", "plain p1, plain p2"},
		{"safe and lost", "/safe/1", site.Reset, 200, "answer of p2 to /safe/1", "plain p1, plain p2"},
		{"safe and cut", "/safe/1", site.Short, 200, "answer of p2 to /safe/1", "plain p1, plain p2"},
		{"safe without a stamp", "/safe/1", site.Unstamped, 200, "answer of p2 to /safe/1", "plain p1, plain p2"},
		{"unsafe and failed is passed on", "/unsafe/1", site.Fail, 500, "failed at p1", "plain p1"},
		{"unsafe and lost may have run", "/unsafe/1", site.Reset, 502, "", "plain p1"},
		{"unsafe and cut may have run", "/unsafe/1", site.Short, 502, "", "plain p1"},
		{"unsafe and refused goes on", "/unsafe/1", site.Shed, 200, "answer of p2 to /unsafe/1", "plain p1, plain p2"},
		{"one attempt, refused", "/once/1", site.Shed, 503, "", "plain p1"},
		{"the route's timeout", "/brief/1", site.Mute, 504, "", "plain p1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := plain(t)
			w.servers["p1"].Behave(c.first)
			got := w.post(t, c.path)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, w.log.Kinds(), c.calls)
			assert.Equal(t, got.header.Get("Retry-After") != "", c.status == 503)
			assert.Equal(t, got.header.Get(site.Stamp) != "", c.status == 200 || c.status == 500)
		})
	}
}

// TestFailureEverywhere hands on the last failure as its server made it.
func TestFailureEverywhere(t *testing.T) {
	w := plain(t)
	for _, s := range w.servers {
		s.Behave(site.Fail)
	}
	got := w.post(t, "/safe/1")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.body, "failed at "+got.header.Get(site.Stamp))
	assert.Equal(t, len(w.log.Calls()), 2, "no more than the route's attempts")
}

// TestEndedServer refuses connections: the request was not sent, and goes elsewhere even
// though it must not run twice.
func TestEndedServer(t *testing.T) {
	w := plain(t)
	w.servers["p1"].Close()
	got := w.post(t, "/once/1")
	assert.Equal(t, got.body, "answer of p2 to /once/1")
	assert.DeepEqual(t, w.down, []string{"p1"})
}

// TestAddressUsedAgain: another server answers at the address.
func TestAddressUsedAgain(t *testing.T) {
	w := plain(t)
	w.servers["p1"].ID = "other"
	got := w.post(t, "/unsafe/1")
	assert.Equal(t, got.body, "answer of p2 to /unsafe/1")
	assert.DeepEqual(t, w.replaced, []string{"p1"})
}

func TestRejected(t *testing.T) {
	w := plain(t)
	for _, c := range []struct {
		name, path string
		extra      []string
		status     int
	}{
		{"no route", "/nowhere/", nil, 404},
		{"bad deadline", "/safe/1", []string{site.Deadline, "soon"}, 400},
	} {
		assert.Equal(t, w.post(t, c.path, c.extra...).status, c.status, c.name)
	}
	assert.Equal(t, len(w.log.Calls()), 0)
	w.table = nil
	got := w.post(t, "/safe/1")
	assert.Equal(t, got.status, 503, "no configuration is known yet")
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestClientLeaves: whatever a server does for a client ends once it has left.
func TestClientLeaves(t *testing.T) {
	for _, c := range []struct {
		path, tokens, kind, server string
		behave                     site.Behaviour
	}{
		{"/unsafe/1", "", site.Plain, "p1", site.Mute},
		{"/draft/1", site.Tokens + ": 1000,200\r\n", site.Prefill, "pre", site.Mute},
		{"/draft/1", site.Tokens + ": 1000,200\r\n", site.Decode, "", site.Silent},
	} {
		t.Run(c.path+c.kind, func(t *testing.T) {
			w := plain(t)
			w.add(t, "pre", "llm", registry.Prefill)
			w.add(t, "d1", "llm", registry.Decode)
			w.add(t, "d2", "llm", registry.Decode)
			if c.server != "" {
				w.servers[c.server].Behave(c.behave)
			} else {
				w.both(c.behave)
			}
			conn, err := net.Dial("tcp", w.addr)
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: id-2\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n",
				c.path, site.RequestID, site.Deadline, patience, c.tokens)
			assert.NilError(t, err)
			w.log.Wait(t, false, func(got site.Call) bool { return got.Kind == c.kind })
			assert.NilError(t, conn.Close())
			w.log.Wait(t, true, func(got site.Call) bool { return got.Kind == c.kind })
		})
	}
}

// TestDraining answers all the same, and asks for another connection.
func TestDraining(t *testing.T) {
	w := plain(t)
	w.fwd.Drain(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
	conn, err := net.Dial("tcp", w.addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /safe/1 HTTP/1.1\r\nHost: h\r\n%s: id-3\r\n\r\n", site.RequestID)
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, 200)
	assert.Assert(t, res.Close)
}

// TestDrainTakesWhatItCanFinish: what would be cut off by the end of the process is turned
// away at once, with proof and when to come back.
func TestDrainTakesWhatItCanFinish(t *testing.T) {
	w := engines(t)
	w.add(t, "p1", "plain", registry.Whole)
	w.fwd.Drain(time.Now(), time.Now().Add(10*time.Second))
	got := w.post(t, "/draft/1")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.header.Get("Retry-After"), "3.00", "once the next process is ready here")
	w.others = 1
	assert.Equal(t, w.post(t, "/draft/1").header.Get("Retry-After"), "0.50", "to another one")
	assert.Equal(t, w.post(t, "/safe/1").status, 503, "its timeout is thirty seconds")
	assert.Equal(t, w.post(t, "/brief/1").status, 200)
	assert.Equal(t, w.log.Kinds(), "plain p1")
}

// TestPlacementIsTold as it changes, and ends with the run.
func TestPlacementIsTold(t *testing.T) {
	w := engines(t)
	w.post(t, "/draft/1")
	<-w.fwd.PlacementChanged()
	changed := w.fwd.TakeChanged()
	assert.Equal(t, len(changed), 2, "the engine that read the prompt and the one that generated")
	assert.DeepEqual(t, changed[0].Load, kvmemory.Load{})
	assert.DeepEqual(t, changed[1].Load, kvmemory.Load{})
	assert.Equal(t, len(w.fwd.Placed()), 0)
	full := kvmemory.Load{Tokens: 10_000, Ahead: kvmemory.Constant(10_000)}
	w.fwd.SetOthers(map[string]kvmemory.Load{"d1": full, "d2": full})
	assert.Equal(t, w.post(t, "/draft/1").status, 503, "others have placed everything")
}

// TestRetryAfterIsRoundedDown: a client honours at most a third of the time that it has left.
func TestRetryAfterIsRoundedDown(t *testing.T) {
	w := engines(t)
	w.servers["d1"].SetFull(true)
	w.servers["d2"].SetFull(true)
	got := w.post(t, "/draft/1", site.Tokens, "20000,10", site.Deadline, "5000")
	assert.Equal(t, got.header.Get("Retry-After"), "1.66")
}
