package forward_test

import (
	"context"
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

	"github.com/hibiscusspur/hibiscusspur/clock"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/platform"
	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
	"github.com/hibiscusspur/hibiscusspur/streamversions"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// view is a forward.View that the test sets.
type view struct {
	mu      sync.Mutex
	table   *route.Table
	servers []registry.Server
	others  int
	down    []string
	// lookups counts the calls of Servers for each service.
	lookups map[string]int
	// leaving is a server that has announced its shutdown.
	leaving  string
	replaced []string
	// markedLeaving are servers that have announced it in answers.
	markedLeaving map[string]bool
	// leavingSince is when each server became known to leave.
	leavingSince map[string]time.Time
	// unproved is set while the configuration is not proved to be recent, stale while it is not proved recent enough
	// to reject unknown keys.
	unproved, stale bool
}

func (v *view) Table() *route.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table
}

// setTable puts another table in force.
func (v *view) setTable(t *route.Table) {
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

// setProved sets which proofs of the configuration exist.
func (v *view) setProved(recent, forUnknownKey bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unproved, v.stale = !recent, !forUnknownKey
}

func (v *view) Routers() int { return 1 }
func (v *view) Others() int  { return v.others }

func (v *view) Servers(service string) []registry.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lookups[service]++
	var out []registry.Server
	for _, s := range v.servers {
		if s.Service == service && !v.markedLeaving[s.ID] {
			out = append(out, s)
		}
	}
	return out
}

// countLookups is how often Servers was called for a service.
func (v *view) countLookups(service string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lookups[service]
}

func (v *view) Listed(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return id != v.leaving && slices.ContainsFunc(v.servers, func(s registry.Server) bool { return s.ID == id })
}

func (v *view) Leaving(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return id == v.leaving || v.markedLeaving[id]
}

func (v *view) LeavingSince(id string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leavingSince[id]
}

func (v *view) MarkLeaving(s registry.Server) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.markedLeaving[s.ID]
	v.markedLeaving[s.ID] = true
	v.recordLeaving(s.ID)
	return !known
}

// recordLeaving records when a server became known to leave. The caller holds mu.
func (v *view) recordLeaving(id string) {
	if v.leavingSince[id].IsZero() {
		v.leavingSince[id] = time.Now()
	}
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

// testEnv is a forwarder with a real listener and stand-in servers.
type testEnv struct {
	*view
	log     *site.Log
	servers map[string]*site.Server
	addr    string
	fwd     *forward.Forwarder
	met     *metrics.Set
	guard   *holdback.Guard
	quota   *fakeQuota
	streams *streamversions.Directory
	logged  *logBuffer
	// onConnect is called with the address of each server that a connection was opened to; nil for most tests.
	onConnect func(addr string)
}

// logBuffer collects the log.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

const (
	longTimeout = 30 * time.Second
	// clientDeadline is the deadline in milliseconds that clients send; no test waits for it.
	clientDeadline = "30000"
)

// unlimited is a retry budget that is never exhausted.
var unlimited = retrybudget.Limits{Ratio: 1, Window: time.Hour, Slack: 1e9}

// noRouters is the network of a process that is alone.
type noRouters struct{}

func (noRouters) Others() []string                   { return nil }
func (noRouters) Keepers() []string                  { return nil }
func (noRouters) Ask([]string, streamversions.Query) {}

// envLists reads the servers of an environment.
type envLists struct{ w *testEnv }

func (l envLists) ReadServers(context.Context) error {
	l.w.view.mu.Lock()
	list := slices.Clone(l.w.view.servers)
	l.w.view.mu.Unlock()
	l.w.streams.Observe(list)
	l.w.streams.RecordReading(clock.Uptime())
	return nil
}

func newTestEnv(t *testing.T) *testEnv { return newTestEnvWith(t, unlimited) }

func newTestEnvWith(t *testing.T, limits retrybudget.Limits) *testEnv {
	w := &testEnv{log: site.NewLog(), servers: map[string]*site.Server{}, met: metrics.NewSet(), quota: &fakeQuota{left: 1e9}, logged: &logBuffer{}}
	table := &route.Table{
		Version: 1,
		Routes: []route.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: route.Safe, Timeout: longTimeout, Objective: time.Second, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: route.Unsafe, Timeout: longTimeout, Objective: time.Second, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Unsafe, Timeout: longTimeout, Objective: time.Second, Attempts: 1, Targets: []route.Target{{Service: "plain"}}},
			{Name: "brief", Host: "h", Prefix: "/brief/", Kind: route.Unsafe, Timeout: 100 * time.Millisecond, Objective: time.Second, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "slow", Host: "h", Prefix: "/slow/", Kind: route.Unsafe, Timeout: 250 * time.Millisecond, Objective: 50 * time.Millisecond, Attempts: 2, Targets: []route.Target{{Service: "plain"}}},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: route.Stream, Timeout: longTimeout, Objective: 900 * time.Millisecond, Attempts: 1, Targets: []route.Target{{Service: "llm"}}},
			{Name: "patient", Host: "h", Prefix: "/draft/patient/", Kind: route.Stream, Timeout: longTimeout, Objective: longTimeout, Attempts: 1, Targets: []route.Target{{Service: "llm"}}},
			{Name: "resume", Host: "h", Prefix: "/resume/", Kind: route.Stream, Timeout: longTimeout, Objective: 900 * time.Millisecond, Attempts: 2, Resumable: true, Targets: []route.Target{{Service: "llm"}}},
		},
		Services: map[string]route.Service{
			"plain": {Name: "plain"},
			"llm":   {Name: "llm", Engine: &route.Engine{Slots: 48, KVTokens: 10_000, MaxReservationTTL: 2 * time.Second, ExportTTL: time.Minute}},
		},
		Limits: route.Limits{BodyBytes: 1000},
	}
	table.Build()
	w.view = &view{table: table, lookups: map[string]int{}, markedLeaving: map[string]bool{}, leavingSince: map[string]time.Time{}}
	w.streams = streamversions.New(streamversions.Config{Network: noRouters{}, Lists: envLists{w}, History: streamversions.NewHistory(memory.New(memory.Options{}).Table()), Metrics: w.met})
	l := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w.logged}}
	w.guard = holdback.New(l, w.met, false)
	dialer := net.Dialer{}
	pool := upstream.New(upstream.Options{Connect: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if w.onConnect != nil {
			w.onConnect(addr)
		}
		return c, err
	}})
	watcher := httpserver.NewWatcher()
	ctx, cancel := context.WithCancel(context.Background())
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		watcher.Run(ctx, time.Millisecond)
	}()
	w.fwd = forward.New(forward.Config{
		Codec: platform.Codec{}, Engines: platform.NewEngines(pool, longTimeout), View: w.view, Pool: pool, Watcher: watcher, Guard: w.guard, Quota: w.quota, Streams: w.streams,
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

// add starts a server. Engines and the first server are in the gateway's zone, further plain servers in another one.
func (w *testEnv) add(t *testing.T, id, service string, stage registry.Stage) *site.Server {
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

func newPlainEnv(t *testing.T) *testEnv {
	w := newTestEnv(t)
	w.add(t, "p1", "plain", registry.Whole)
	w.add(t, "p2", "plain", registry.Whole)
	w.add(t, "p3", "plain", registry.Whole)
	return w
}

func newEngineEnv(t *testing.T) *testEnv { return newEngineEnvWith(t, unlimited) }

func newEngineEnvWith(t *testing.T, limits retrybudget.Limits) *testEnv {
	w := newTestEnvWith(t, limits)
	w.add(t, "pre", "llm", registry.Prefill)
	w.add(t, "d1", "llm", registry.Decode)
	w.add(t, "d2", "llm", registry.Decode)
	return w
}

// answer is what a client received.
type answer struct {
	status int
	header http.Header
	body   string
	// cut is set when the answer ended before it was whole.
	cut bool
}

func (w *testEnv) post(t *testing.T, path string, extra ...string) answer {
	t.Helper()
	return w.send(t, path, "question", extra...)
}

// send posts a body with the usual headers, and extra ones by name and value.
func (w *testEnv) send(t *testing.T, path, text string, extra ...string) answer {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+w.addr+path, strings.NewReader(text))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set(site.RequestID, "id-1")
	r.Header.Set(site.Deadline, clientDeadline)
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

// startQueuedStream sends a stream for which there is no decode engine, and returns once it has looked for one.
func startQueuedStream(t *testing.T) (*testEnv, <-chan answer) {
	w := newTestEnv(t)
	w.add(t, "pre", "llm", registry.Prefill)
	done := make(chan answer, 1)
	go func() { done <- w.post(t, "/draft/patient/1") }()
	for w.view.countLookups("llm") == 0 {
		assert.NilError(t, t.Context().Err())
	}
	return w, done
}
