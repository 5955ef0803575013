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

// clusterServer is one backend server with the relay through which gateways reach it.
type clusterServer struct {
	*site.Server
	service string
	stage   registry.Stage
	relay   *relay
	// version is that of its software.
	version string
	// crashed is set once the server has crashed for good; guarded by the cluster's lock.
	crashed bool
}

// clusterGateway is one gateway with its settings file and the relay between it and the store.
type clusterGateway struct {
	vm, file       string
	callers, ready string
	control        string
	proc           *process
	store          *relay
	settings       map[string]any
}

// gatewayCluster runs gateways as processes against stand-ins of the users' platform.
type gatewayCluster struct {
	t        *testing.T
	dir      string
	log      *site.Log
	store    *site.Store
	keys     *tenantKeys
	gateways []*clusterGateway

	mu sync.Mutex
	// version is the version of the newest manifest.
	version int
	started int
	servers []*clusterServer
	// limits are those of the manifest; nil if it has none.
	limits map[string]any
	// software is the software version of servers that start, and versions that of each server that has started, by ID.
	software string
	versions map[string]string
	// crashes counts the crashed servers whose replacement is in progress.
	crashes sync.WaitGroup
}

// newGatewayCluster starts the given number of gateways in front of plain servers and engines.
func newGatewayCluster(t *testing.T, gateways int) *gatewayCluster {
	t.Helper()
	c := prepareGatewayCluster(t, gateways)
	c.startGateways()
	return c
}

// prepareGatewayCluster starts the servers and prepares the gateways, so that a test may change their settings.
func prepareGatewayCluster(t *testing.T, gateways int) *gatewayCluster {
	t.Helper()
	c := &gatewayCluster{t: t, dir: t.TempDir(), log: site.NewLog(), store: site.NewStore(t), keys: newTenantKeys(), software: "v1", versions: map[string]string{}}
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
	return c
}

// startGateways starts the gateways and waits until they are ready.
func (c *gatewayCluster) startGateways() {
	c.t.Helper()
	for _, g := range c.gateways {
		c.startGateway(g)
	}
	for _, g := range c.gateways {
		await(c.t, startBound, "http://"+g.ready+site.ReadyPath)
	}
}

// reachOver makes all servers reachable over the link of one VM only.
func (c *gatewayCluster) reachOver(l *vmLink) {
	for _, s := range c.all() {
		s.relay.addr = l.relayOut(s.relay.addr)
		s.SetAddr(s.relay.addr)
		c.putEntry(s, "ready")
	}
}

// addServer starts a server and writes its entry to the store.
func (c *gatewayCluster) addServer(service string, stage registry.Stage) *clusterServer {
	c.mu.Lock()
	c.started++
	id, version := fmt.Sprintf("i-%s-%d", service, c.started), c.software
	c.versions[id] = version
	c.mu.Unlock()
	s := &clusterServer{Server: site.NewServer(c.t, id, c.log), service: service, stage: stage, version: version}
	s.Restart(time.Now().UnixMilli(), false)
	s.relay = newRelay(c.t, s.Addr())
	s.SetAddr(s.relay.addr)
	replace := func(*site.Server) {
		defer c.crashes.Done()
		c.replaceCrashed(s)
	}
	s.CrashOn(crashPrefix, replace)
	s.CrashOnPart(crashPart, replace)
	s.BeforeCrash(func() { c.crashes.Add(1) })
	c.mu.Lock()
	c.servers = append(c.servers, s)
	c.mu.Unlock()
	c.putEntry(s, "ready")
	return s
}

// putEntry writes the entry of a server to the store.
func (c *gatewayCluster) putEntry(s *clusterServer, state string) {
	c.mu.Lock()
	crashed := s.crashed
	c.mu.Unlock()
	if crashed {
		return
	}
	e := site.Entry{
		Service: s.service, Addr: s.relay.addr, Zone: "z1", Version: s.version, Slots: 48, State: state, Seq: 1,
		Born: s.Born(),
	}
	if s.stage != registry.Whole {
		e.Stage = s.stage.String()
	}
	c.store.Put("servers", s.ID, e.Encode())
}

// retire removes a server from those that faults are drawn for.
func (c *gatewayCluster) retire(s *clusterServer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.servers {
		if other == s {
			c.servers = append(c.servers[:i:i], c.servers[i+1:]...)
			return
		}
	}
}

// all returns the servers that faults are drawn for.
func (c *gatewayCluster) all() []*clusterServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*clusterServer(nil), c.servers...)
}

// nextManifest writes the next manifest, with a route that only this version has, and returns the version.
func (c *gatewayCluster) nextManifest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": 6000, "slo_ms": 900, "attempts": attempts, "resumable": resumable,
		}
	}
	manifest := map[string]any{
		"version": c.version,
		"tenants": c.keys.tenants(),
		"routes": []any{
			route("safe", "safe", plainService, 2, false), route("unsafe", "unsafe", plainService, 2, false),
			route("draft", "stream", modelService, 1, false), route("resume", "stream", modelService, 2, true),
			route(versionRoute(c.version), "safe", plainService, 2, false),
		},
		"services": []any{
			map[string]any{"name": plainService, "max_conns": 200},
			map[string]any{"name": modelService, "max_conns": 200, "engine": map[string]any{
				"slots": 48, "kv_capacity": 1_000_000, "hold_ms": 2000, "stride": eventTokens, "kv_ttl_s": 2, "moves": true, "backups": true,
			}},
		},
	}
	if c.limits != nil {
		manifest["limits"] = c.limits
	}
	data, err := json.Marshal(manifest)
	assert.NilError(c.t, err)
	c.store.Put("op", "config", data)
	return c.version
}

// eventTokens is the number of tokens of one event.
const eventTokens = 1600

// routeHost is the host of all routes.
const routeHost = "h"

// versionRoute is the name of the route that only this version of the manifest has.
func versionRoute(version int) string { return fmt.Sprint("v", version) }

func (c *gatewayCluster) newestVersion() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// newGateway prepares a gateway on its own loopback address, as if on its own VM.
func (c *gatewayCluster) newGateway(i int) *clusterGateway {
	ip := fmt.Sprintf("127.0.0.%d", i+2)
	at := func(offset int) string { return fmt.Sprintf("%s:%d", ip, gatewayPort+offset) }
	g := &clusterGateway{
		vm: fmt.Sprint("edge-", i+1), callers: at(0), ready: at(1), control: at(2), store: newRelay(c.t, c.store.Addr()),
	}
	g.file = filepath.Join(c.dir, g.vm+".json")
	g.settings = map[string]any{
		"node": g.vm, "ip": ip, "zone": "z1",
		"listen":     map[string]any{"front": g.callers, "ready": g.ready, "control": g.control},
		"port_range": []int{datagramPort, datagramPort + 9}, "heartbeat_ms": 500,
		"limits":   map[string]any{"memory_mb": soakMemoryBytes / 1_000_000, "max_fds": soakMaxFiles},
		"bounds":   map[string]any{"grace_s": 3, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 50, "fail_closed": true, "revoke_ms": revocationBound.Milliseconds()},
		"provider": map[string]any{"addr": g.store.addr},
	}
	return g
}

// Ports of gateways, the same on each gateway's address, as on VMs: gatewayPort and the next two are for
// callers, the load balancer and other gateways, datagramPort is the first of the range for datagrams between
// gateways. Tests of this kind must not run in parallel.
const (
	gatewayPort  = 20100
	datagramPort = 20110
)

func (c *gatewayCluster) startGateway(g *clusterGateway) {
	c.writeSettings(g)
	g.proc = startWith(c.t, []string{platform.SettingsEnv + "=" + g.file}, c.dir, g.vm, "hibiscusspur", "gateway")
}

// writeSettings replaces the settings file atomically, with the control addresses of the other gateways as
// seeds.
func (c *gatewayCluster) writeSettings(g *clusterGateway) {
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
