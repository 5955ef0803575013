package forward_test

import (
	"context"
	"io"
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
	// left are servers that said so in answers.
	left map[string]bool
	// unproved is set while the configuration is not proved to be recent, stale if it is not for keys that are not known.
	unproved, stale bool
}

func (v *view) Table() *route.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table
}

// configure has another table in force.
func (v *view) configure(t *route.Table) {
	t.Build()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table = t
}

func (v *view) Proved(context.Context) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.unproved
}

func (v *view) ProvedForUnknownKey(context.Context) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.stale
}

// prove sets what is proved of the configuration.
func (v *view) prove(recent, lately bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unproved, v.stale = !recent, !lately
}

func (v *view) Routers() int { return 1 }
func (v *view) Others() int  { return v.others }

func (v *view) Servers(service string) []registry.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.looked[service]++
	var out []registry.Server
	for _, s := range v.servers {
		if s.Service == service && !v.left[s.ID] {
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

func (v *view) Leaving(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return id == v.leaving || v.left[id]
}

func (v *view) MarkLeaving(s registry.Server) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.left[s.ID]
	v.left[s.ID] = true
	return !known
}

func (v *view) MarkDown(s registry.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = append(v.down, s.ID)
}

func (v *view) MarkReplaced(s registry.Server) {
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
	quota   *purse
	logged  *logged
}

// logged is what was logged.
type logged struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logged) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
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
	w := &world{log: site.NewLog(), servers: map[string]*site.Server{}, met: metrics.NewSet(), quota: &purse{left: 1e9}, logged: &logged{}}
	table := &route.Table{
		Version: 1,
		Routes: []route.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: route.Safe, Timeout: seconds, Objective: time.Second, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: route.Unsafe, Timeout: seconds, Objective: time.Second, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Unsafe, Timeout: seconds, Objective: time.Second, Attempts: 1, Targets: []route.Target{{Service: "plain"}}},
			{Name: "brief", Host: "h", Prefix: "/brief/", Kind: route.Unsafe, Timeout: 100 * time.Millisecond, Objective: time.Second, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "slow", Host: "h", Prefix: "/slow/", Kind: route.Unsafe, Timeout: 250 * time.Millisecond, Objective: 50 * time.Millisecond, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: route.Stream, Timeout: seconds, Objective: 900 * time.Millisecond, Attempts: 1, Targets: []route.Target{{Service: "llm"}}},
			{Name: "patient", Host: "h", Prefix: "/draft/patient/", Kind: route.Stream, Timeout: seconds, Objective: seconds, Attempts: 1, Targets: []route.Target{{Service: "llm"}}},
			{Name: "resume", Host: "h", Prefix: "/resume/", Kind: route.Stream, Timeout: seconds, Objective: 900 * time.Millisecond, Attempts: 2, Resumable: true, Targets: []route.Target{{Service: "llm"}}},
		},
		Services: map[string]route.Service{
			"plain": {Name: "plain"},
			"llm":   {Name: "llm", Engine: &route.Engine{Slots: 48, KVTokens: 10_000, MaxHold: 2 * time.Second, ExportLife: time.Minute}},
		},
		Limits: route.Limits{BodyBytes: 1000},
	}
	table.Build()
	w.view = &view{table: table, looked: map[string]int{}, left: map[string]bool{}}
	l := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w.logged}}
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
		Codec: platform.Codec{}, Engines: platform.NewEngines(pool, seconds), View: w.view, Pool: pool, Watcher: watcher, Guard: w.guard, Quota: w.quota,
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

// waitsForEngine sends a stream for which there is no decode engine, and returns once it has looked for one.
func waitsForEngine(t *testing.T) (*world, <-chan answer) {
	w := newWorld(t)
	w.add(t, "pre", "llm", registry.Prefill)
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/draft/patient/1") }()
	for w.view.looks("llm") == 0 {
		assert.NilError(t, t.Context().Err())
	}
	return w, done
}
