package proofs

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/platform"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// Services of the users' platform in these tests.
const (
	plainService = "plain"
	modelService = "llm"
)

// siteServer is one backend server with the relay through which gateways reach it.
type siteServer struct {
	*site.Server
	service string
	stage   registry.Stage
	relay   *relay
	// dead is set once it has crashed for good; guarded by the cluster's lock.
	dead bool
}

// siteGateway is one gateway with its settings file and the relay to its store.
type siteGateway struct {
	vm, file       string
	callers, ready string
	control        string
	proc           *process
	store          *relay
	settings       map[string]any
}

// siteCluster is the users' platform, stood in for, and gateways as processes.
type siteCluster struct {
	t        *testing.T
	dir      string
	log      *site.Log
	store    *site.Store
	keys     *siteKeys
	gateways []*siteGateway

	mu sync.Mutex
	// version is that of the newest manifest.
	version int
	started int
	servers []*siteServer
	// crashes are servers that crashed and are being replaced.
	crashes sync.WaitGroup
}

// newSite starts so many gateways before plain servers and engines.
func newSite(t *testing.T, gateways int) *siteCluster {
	t.Helper()
	c := &siteCluster{t: t, dir: t.TempDir(), log: site.NewLog(), store: site.NewStore(t), keys: newSiteKeys()}
	for range 3 {
		c.addServer(plainService, registry.Whole)
	}
	for range 2 {
		c.addServer(modelService, registry.Prefill)
	}
	for range 3 {
		c.addServer(modelService, registry.Decode)
	}
	c.nextManifest()
	for i := range gateways {
		c.gateways = append(c.gateways, c.newGateway(i))
	}
	for _, g := range c.gateways {
		c.startGateway(g)
	}
	for _, g := range c.gateways {
		await(t, startBound, "http://"+g.ready+site.ReadyPath)
	}
	return c
}

// addServer starts a server and lists it in the store.
func (c *siteCluster) addServer(service string, stage registry.Stage) *siteServer {
	c.mu.Lock()
	c.started++
	id := fmt.Sprintf("i-%s-%d", service, c.started)
	c.mu.Unlock()
	s := &siteServer{Server: site.NewServer(c.t, id, c.log), service: service, stage: stage}
	s.Restart(time.Now().UnixMilli(), false)
	s.relay = newRelay(c.t, s.Addr())
	s.CrashOn(deadly, func(*site.Server) {
		defer c.crashes.Done()
		c.crashed(s)
	})
	s.BeforeCrash(func() { c.crashes.Add(1) })
	c.mu.Lock()
	c.servers = append(c.servers, s)
	c.mu.Unlock()
	c.list(s, "ready")
	return s
}

// list writes the entry of a server into the store.
func (c *siteCluster) list(s *siteServer, state string) {
	c.mu.Lock()
	dead := s.dead
	c.mu.Unlock()
	if dead {
		return
	}
	e := site.Entry{
		Service: s.service, Addr: s.relay.addr, Zone: "z1", Version: "v1", Slots: 48, State: state, Seq: 1,
		Born: s.Born(),
	}
	if s.stage != registry.Whole {
		e.Stage = s.stage.String()
	}
	c.store.Put("servers", s.ID, e.Encode())
}

// retire takes a server from those that are drawn for faults.
func (c *siteCluster) retire(s *siteServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.servers {
		if other == s {
			c.servers = append(c.servers[:i:i], c.servers[i+1:]...)
			return
		}
	}
}

// all returns the servers that are listed.
func (c *siteCluster) all() []*siteServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*siteServer(nil), c.servers...)
}

// nextManifest writes the next configuration, with a route of that version alone, and
// returns the version.
func (c *siteCluster) nextManifest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": siteHost, "prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": 6000, "slo_ms": 900, "attempts": attempts, "resumable": resumable,
		}
	}
	data, err := json.Marshal(map[string]any{
		"version": c.version,
		"tenants": c.keys.tenants(),
		"routes": []any{
			route("safe", "safe", plainService, 2, false), route("unsafe", "unsafe", plainService, 2, false),
			route("draft", "stream", modelService, 1, false), route("resume", "stream", modelService, 2, true),
			route(versionRoute(c.version), "safe", plainService, 2, false),
		},
		"services": []any{
			map[string]any{"name": plainService, "max_conns": 200},
			map[string]any{"name": modelService, "max_conns": 200, "engine": map[string]any{"slots": 48, "kv_capacity": 50_000, "hold_ms": 2000}},
		},
	})
	assert.NilError(c.t, err)
	c.store.Put("op", "config", data)
	return c.version
}

// siteHost is the host of all routes.
const siteHost = "h"

// versionRoute is the name of the route that only this version of the manifest has.
func versionRoute(version int) string { return fmt.Sprint("v", version) }

func (c *siteCluster) newest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// newGateway prepares a gateway on an address of loopback of its own, as VMs have.
func (c *siteCluster) newGateway(i int) *siteGateway {
	ip := fmt.Sprintf("127.0.0.%d", i+2)
	at := func(offset int) string { return fmt.Sprintf("%s:%d", ip, sitePort+offset) }
	g := &siteGateway{
		vm: fmt.Sprint("edge-", i+1), callers: at(0), ready: at(1), control: at(2), store: newRelay(c.t, c.store.Addr()),
	}
	g.file = filepath.Join(c.dir, g.vm+".json")
	g.settings = map[string]any{
		"node": g.vm, "ip": ip, "zone": "z1",
		"listen":     map[string]any{"front": g.callers, "ready": g.ready, "control": g.control},
		"port_range": []int{datagramPort, datagramPort + 9}, "heartbeat_ms": 500,
		"limits":   map[string]any{"memory_mb": 200},
		"bounds":   map[string]any{"grace_s": 3, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 50, "fail_closed": true, "revoke_ms": siteRevoke.Milliseconds()},
		"provider": map[string]any{"addr": g.store.addr},
	}
	return g
}

// Ports of gateways, the same on each one's own address as on VMs: sitePort and the next
// are where callers, the balancer and other gateways connect, datagramPort begins the range
// for traffic among gateways. Runs of this kind don't go beside each other.
const (
	sitePort     = 20100
	datagramPort = 20110
)

func (c *siteCluster) startGateway(g *siteGateway) {
	c.writeSettings(g)
	g.proc = startWith(c.t, []string{platform.SettingsEnv + "=" + g.file}, c.dir, g.vm, "hibiscusspur", "gateway")
}

// writeSettings writes the settings file whole, with the control addresses of the others
// as seeds.
func (c *siteCluster) writeSettings(g *siteGateway) {
	var seeds []string
	for _, other := range c.gateways {
		if other != g {
			seeds = append(seeds, other.control)
		}
	}
	g.settings["seeds"] = seeds
	data, err := json.Marshal(g.settings)
	assert.NilError(c.t, err)
	assert.NilError(c.t, os.WriteFile(g.file+".new", data, 0o600))
	assert.NilError(c.t, os.Rename(g.file+".new", g.file))
}
