// Package pathtest runs the whole request path within a test process, over loopback: the stand-ins of the
// platform, an engine and a plain service, their sidecars, and an entry. Tests switch faults directly on the
// stand-ins.
package pathtest

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/kernel"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/security"
	"github.com/hibiscusspur/hibiscusspur/sidecar"
	standin "github.com/hibiscusspur/hibiscusspur/standin/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
	splatform "github.com/hibiscusspur/hibiscusspur/standin/platform"
	"github.com/hibiscusspur/hibiscusspur/standin/server"
	"github.com/hibiscusspur/hibiscusspur/standin/service"
)

// Names used by the test environment.
const (
	// Key is the API key of the only customer, Brand is its brand.
	Key   = "pathtest-key-7f31c2"
	Brand = "Skógrækt & Synir"
	// Lookup is a model with repeatable requests, Ruling one with unrepeatable requests.
	Lookup = "lookup"
	Ruling = "ruling"
	// Permits is the plain service; its call POST /receipts is unrepeatable.
	Permits = "permits"

	anyPort     = "127.0.0.1:0"
	zone        = "zone-a"
	startBound  = 15 * time.Second
	drainBound  = 10 * time.Second
	secretBytes = 32
)

// Options configure a Path. The zero value is ready for use.
type Options struct {
	// Contract is the customer's contract in YAML; empty means the default contract of the customer above.
	Contract string
	// Entry, Sidecar and Engine modify the settings before the processes start.
	Entry   func(*entry.Settings)
	Sidecar func(*sidecar.Settings)
	Engine  func(*standin.Config)
	// EntryTLS and SidecarTLS are the TLS settings of the two ends of the links.
	EntryTLS, SidecarTLS security.Settings
	// SkipReadyWait makes Start return without waiting until requests are served.
	SkipReadyWait bool
}

// Path is a running test environment: one request path from an entry to an engine and a service.
type Path struct {
	// URL is the entry's address for callers.
	URL      string
	Platform *splatform.Server
	Node     *standin.Node
	Faults   *fault.Set
	Service  *service.Service
	// ServiceFaults are the faults of the plain service.
	ServiceFaults *fault.Set
	Log           *Log

	t     testing.TB
	opts  Options
	drain func() error
}

// DrainEntry shuts the entry down gracefully.
func (p *Path) DrainEntry() error { return p.drain() }

// Log collects the log lines of all components. It is safe for concurrent use.
type Log struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// String returns everything logged so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func (l *Log) logger() *log.Logger {
	return &log.Logger{Level: log.TraceLevel, Writer: &log.IOWriter{Writer: l}}
}

// Start runs the whole path until the test ends.
func Start(t testing.TB, o Options) *Path {
	t.Helper()
	p := &Path{t: t, opts: o, Log: &Log{}}
	httpserver.RouteLogs(p.Log.logger())
	var err error
	p.Platform, err = splatform.Start(splatform.Options{Listen: anyPort})
	assert.NilError(t, err)
	t.Cleanup(p.Platform.Stop)
	engineURL, serviceURL := p.startEngine(), p.startService()
	changes := map[string]dissemination.Change{dissemination.ContractPrefix + "woods": {Body: p.contract()}}
	for id, b := range map[string]contract.Backend{
		"engine-1": p.startSidecar("engine-1", "mixed", engineURL, ""),
		Permits:    p.startSidecar(Permits, "service", "", serviceURL),
	} {
		body, err := b.Marshal()
		assert.NilError(t, err)
		changes[dissemination.BackendPrefix+id] = dissemination.Change{Body: string(body)}
	}
	w := dissemination.NewWriter(p.Platform.Store().Table(), rand.Text, time.Now)
	_, err = w.Commit(t.Context(), "pathtest", 0, changes)
	assert.NilError(t, err)
	p.startEntry()
	return p
}

func (p *Path) contract() string {
	if p.opts.Contract != "" {
		return p.opts.Contract
	}
	return fmt.Sprintf(`customer: woods
brand: %s
keys: [{name: test, sha256: %s}]
share: 1
limits: {requests_per_second: 10000, burst: 10000, concurrent: 10000, max_prompt_tokens: 1000, max_output_tokens: 100000, max_body_bytes: 100000}
classes:
  - {name: lookup, models: [%s], urgency: interactive, ttft: 10s, tbt: 2s, deadline: 20s}
  - {name: ruling, models: [%s], urgency: prompt, ttft: 10s, tbt: 2s, deadline: 20s, unrepeatable: true}
services:
  - {name: %s, unrepeatable: ["POST /receipts"], timeout: 10s}
`, Brand, contract.HashKey(Key), Lookup, Ruling, Permits)
}

func (p *Path) startEngine() string {
	cfg := standin.DefaultConfig()
	cfg.ID, cfg.Role, cfg.Models = "engine-1", engine.RoleMixed, []string{Lookup, Ruling}
	cfg.StepBase, cfg.StepPerRun, cfg.PrefillRate = time.Millisecond, 0, 1e6
	cfg.Source = "http://engine-1.invalid" // never dialled: the engine exports no KV cache
	if p.opts.Engine != nil {
		p.opts.Engine(&cfg)
	}
	p.Node, p.Faults = standin.NewNode(cfg), fault.NewSet(p.Log.logger())
	srv, err := server.Start(anyPort, standin.NewHandler(p.Node, p.Faults))
	assert.NilError(p.t, err)
	p.t.Cleanup(func() {
		p.Faults.Clear()
		p.Node.Close()
		srv.Close()
	})
	return "http://" + srv.Addr()
}

func (p *Path) startService() string {
	p.ServiceFaults = fault.NewSet(p.Log.logger())
	p.Service = service.New(service.Config{ID: Permits, IDHeader: service.DefaultIDHeader}, p.ServiceFaults)
	srv, err := server.Start(anyPort, p.Service)
	assert.NilError(p.t, err)
	p.t.Cleanup(func() {
		p.ServiceFaults.Clear()
		srv.Close()
	})
	return "http://" + srv.Addr()
}

// startSidecar starts a sidecar and returns the record of its backend server.
func (p *Path) startSidecar(id, role, engineURL, serviceURL string) contract.Backend {
	set := sidecar.DefaultSettings()
	set.ID, set.Zone, set.Engine, set.Service = id, zone, engineURL, serviceURL
	set.Listen, set.Admin = anyPort, anyPort
	set.TLS = p.opts.SidecarTLS
	if p.opts.Sidecar != nil {
		p.opts.Sidecar(&set)
	}
	sc := sidecar.New(set, p.Log.logger(), metrics.NewSet())
	p.run(sc)
	models := []string{Lookup, Ruling}
	if serviceURL != "" {
		models = []string{Permits}
	}
	return contract.Backend{ID: id, Address: sc.Addr(), Zone: zone, Role: role, Models: models}
}

// AddEntry starts another entry and returns its address for callers.
func (p *Path) AddEntry(id string) string {
	e, _ := p.newEntry(id)
	return "http://" + e.Addr()
}

// newEntry starts an entry, and returns it and how to drain it.
func (p *Path) newEntry(id string) (e *entry.Service, drain func() error) {
	set := entry.DefaultSettings()
	set.ID, set.Zone, set.Platform = id, zone, p.Platform.URL()
	set.Listen, set.Admin = anyPort, anyPort
	set.TLS = p.opts.EntryTLS
	set.TicketSecrets = []string{writeSecret(p.t)}
	set.Timing.Poll, set.Timing.Notice = 50*time.Millisecond, 0
	if p.opts.Entry != nil {
		p.opts.Entry(&set)
	}
	e = entry.New(set, p.Log.logger(), metrics.NewSet())
	return e, p.run(e)
}

func (p *Path) startEntry() {
	e, drain := p.newEntry("entry-1")
	p.drain = drain
	p.URL = "http://" + e.Addr()
	if !p.opts.SkipReadyWait {
		p.awaitServing()
	}
}

// run starts a component, and drains it when drain is called or the test ends, whichever comes first.
func (p *Path) run(s kernel.Service) (drain func() error) {
	assert.NilError(p.t, s.Start(context.Background(), kernel.New()))
	drain = sync.OnceValue(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), drainBound)
		defer cancel()
		return s.Drain(ctx)
	})
	p.t.Cleanup(func() {
		if err := drain(); err != nil {
			p.t.Errorf("drain %s: %v", s.Name(), err)
		}
	})
	return drain
}

// readinessRequest is a request that a path serves once it is ready.
type readinessRequest struct{ method, path, body string }

// awaitServing waits until the entry has served a model request and a service call, each of them once.
func (p *Path) awaitServing() {
	for _, r := range []readinessRequest{
		{http.MethodPost, "/v1/completions", `{"model":"` + Lookup + `","prompt":"ready?","max_tokens":1}`},
		{http.MethodGet, "/services/" + Permits + "/status/0", ""},
	} {
		poll.WaitOn(p.t, func(poll.LogT) poll.Result { return p.checkServed(r) }, poll.WithTimeout(startBound), poll.WithDelay(10*time.Millisecond))
	}
}

// checkServed succeeds when the entry has served a request.
func (p *Path) checkServed(r readinessRequest) poll.Result {
	req, err := http.NewRequest(r.method, p.URL+r.path, bytes.NewBufferString(r.body))
	if err != nil {
		return poll.Error(err)
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return poll.Continue("%v", err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return poll.Continue("%s: %s", r.path, res.Status)
	}
	return poll.Success()
}

// AwaitIdle waits until the engine lists no run and no exported KV cache.
func (p *Path) AwaitIdle() {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		var runs, exports int
		p.Node.Do(func(c *standin.Core) { runs, exports = len(c.Runs()), len(c.Exports()) })
		if runs+exports > 0 {
			return poll.Continue("%d runs and %d exports in the engine", runs, exports)
		}
		return poll.Success()
	}, poll.WithTimeout(startBound), poll.WithDelay(5*time.Millisecond))
}

func writeSecret(t testing.TB) string {
	file := filepath.Join(t.TempDir(), "ticket-secret")
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	assert.NilError(t, os.WriteFile(file, secret, 0o600))
	return file
}
