package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscusspur/hibiscusspur/platform"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// Names and figures of the small deployment that is played.
const (
	model      = "llm"
	plain      = "desk"
	routeHost  = "h.example"
	routePath  = "/review/"
	plainPath  = "/desk/"
	oncePath   = "/once/"
	gateways   = 3
	timeLimit  = 14 * time.Second
	objective  = time.Second
	maxPause   = 300 * time.Millisecond
	readyBound = 10 * time.Second
)

// abandonAfter is how long a client waits for the next event: two seconds, four times the objective or eight times the
// longest pause, whichever is longest.
const abandonAfter = max(2*time.Second, 4*objective, 8*maxPause)

// scene is the deployment: a store, engines and gateways, with proxies between them.
type scene struct {
	host    *host
	program string
	trouble bool
	dir     string
	start   time.Time

	store    *site.Store
	log      *site.Log
	gateways []*gateway
	peers    *peerNet

	mu       sync.Mutex
	record   *os.File
	versions map[string]string
	engines  int
}

// gateway is one gateway process. Its number begins its addresses, so that they are ordered as on the platform.
type gateway struct {
	s       *scene
	number  int
	front   *proxy
	ready   string
	control string
	toStore *proxy
	file    string

	cmd  *exec.Cmd
	done chan struct{}
}

func newScene(h *host, program, record string, trouble bool) *scene {
	f, err := os.Create(record)
	must(err)
	h.Cleanup(func() { _ = f.Close() })
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	h.Cleanup(func() { _ = os.RemoveAll(dir) })
	s := &scene{
		host: h, program: program, trouble: trouble, dir: dir, start: time.Now(), record: f,
		store: site.NewStore(h), log: site.NewLog(), versions: map[string]string{},
	}
	s.note("trouble: %v", trouble)
	return s
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// note writes one line to the record.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
}

// addEngine starts an engine of a software version and registers it in the store.
func (s *scene) addEngine(stage, version string) *site.Server {
	s.mu.Lock()
	s.engines++
	id := fmt.Sprintf("i-%s-%s-%d", stage, version, s.engines)
	s.mu.Unlock()
	e := site.NewServer(s.host, id, s.log)
	e.Restart(time.Now().UnixMilli(), false)
	if stage == "decode" {
		e.Behave(site.SlowStream)
	}
	s.mu.Lock()
	s.versions[id] = version
	s.mu.Unlock()
	entry := site.Entry{
		Service: model, Addr: e.Addr(), Zone: "z1", Version: version, Slots: 48, State: "ready", Seq: 1, Stage: stage, Born: e.Born(),
	}
	s.store.Put("servers", id, entry.Encode())
	s.note("%s registers in the store, version %s, stage %s", id, version, stage)
	return e
}

// versionOf returns the software version of an engine.
func (s *scene) versionOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[id]
}

// plainWork is how long a replica of the plain service works on a call.
const plainWork = 60 * time.Millisecond

// addPlain starts a replica of the plain service and registers it in the store. It returns its ID and a function that ends it.
func (s *scene) addPlain() (id string, exit func()) {
	s.engines++
	id = fmt.Sprintf("i-plain-%d", s.engines)
	e := site.NewServer(s.host, id, s.log)
	e.Restart(time.Now().UnixMilli(), false)
	slow := newProxy(s.host, "127.0.0.1:0", e.Addr())
	slow.rewrite = func(b []byte, up bool) []byte {
		if !up {
			time.Sleep(plainWork)
		}
		return b
	}
	entry := site.Entry{Service: plain, Addr: slow.addr, Zone: "z1", Version: "v1", Slots: 6, State: "ready", Seq: 1, Born: e.Born()}
	s.store.Put("servers", id, entry.Encode())
	s.note("%s registers in the store", id)
	return id, func() {
		slow.close()
		e.Crash()
		s.note("%s exits", id)
	}
}

// writeManifest writes the operator's manifest: a route of streams that may be resumed, and one of unsafe calls.
func (s *scene) writeManifest() {
	data, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "r-1", "host": routeHost, "prefix": routePath, "kind": "stream", "timeout_ms": timeLimit.Milliseconds(),
				"slo_ms": objective.Milliseconds(), "priority": 1, "service": model, "attempts": 2, "sticky": true, "resumable": true,
				"gap_target_ms": maxPause.Milliseconds(),
			},
			map[string]any{
				"name": "r-3", "host": routeHost, "prefix": oncePath, "kind": "stream", "timeout_ms": timeLimit.Milliseconds(),
				"slo_ms": objective.Milliseconds(), "priority": 1, "service": model, "attempts": 1, "sticky": true, "resumable": false,
				"gap_target_ms": maxPause.Milliseconds(),
			},
			map[string]any{
				"name": "r-2", "host": routeHost, "prefix": plainPath, "kind": "unsafe", "timeout_ms": 800, "slo_ms": 150, "priority": 2,
				"service": plain, "attempts": 1,
			},
		},
		"services": []any{
			map[string]any{
				"name": model, "max_conns": 310, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 48, "kv_capacity": 66786, "kv_token_bytes": 131072, "link_mbps": 1500000.0, "moves": true, "backups": true,
					"stride": 11, "most": 12, "kv_ttl_s": 0.5, "switch_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
					"models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": plain, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	must(err)
	s.store.Put("op", "config", data)
}

// startGateways starts n gateways and waits until they are ready.
func (s *scene) startGateways(n int) {
	port := freePorts(n)
	s.peers = newPeerNet(s.host, n, port+2, port+10)
	for i := 1; i <= n; i++ {
		s.gateways = append(s.gateways, s.newGateway(i, port))
	}
	for _, g := range s.gateways {
		g.run()
	}
	for _, g := range s.gateways {
		g.awaitReady()
	}
}

func (s *scene) newGateway(number, port int) *gateway {
	ip := realIP(number)
	at := func(offset int) string { return fmt.Sprintf("%s:%d", ip, port+offset) }
	g := &gateway{
		s: s, number: number, front: newProxy(s.host, "127.0.0.1:0", at(0)), ready: at(1), control: at(2),
		toStore: newProxy(s.host, "127.0.0.1:0", s.store.Addr()),
	}
	g.file = filepath.Join(s.dir, fmt.Sprintf("edge-%d.json", number))
	data, err := json.Marshal(map[string]any{
		"node": fmt.Sprintf("edge-%d", number), "role": "gateway", "class": "edge", "serves": []string{"edge", "control"}, "ip": ip,
		"zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1"},
		"listen":     map[string]string{"front": at(0), "ready": at(1), "control": at(2)},
		"port_range": []int{port + 10, port + 19}, "seeds": s.peers.seedsOf(number), "bootstrap": true, "heartbeat_ms": 1200,
		"limits": map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
		"bounds": map[string]any{
			"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "retry_ratio": 0.2, "retry_window_s": 10,
			"retry_slack": 58, "lease_ms": 3000, "thaw_ms": 300,
		},
		"provider": map[string]any{"addr": g.toStore.addr, "form": "table"},
	})
	must(err)
	must(os.WriteFile(g.file, data, 0o600))
	return g
}

// run starts the gateway's process, with the command of the deploy file.
func (g *gateway) run() {
	cmd := exec.Command(g.s.program, "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsEnv + "=" + g.file}
	out, err := os.OpenFile(g.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd.Stdout, cmd.Stderr = out, out
	must(cmd.Start())
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	g.cmd, g.done = cmd, done
	g.s.host.Cleanup(func() { g.end(cmd, done) })
	g.s.note("edge-%d starts", g.number)
}

// isolate cuts a gateway off from the store and from all other gateways, or heals that.
func (s *scene) isolate(g *gateway, cut bool) {
	s.peers.cutOff(g.number, cut)
	g.toStore.silent.Store(cut)
}

// kill kills the gateway's process.
func (g *gateway) kill() {
	g.end(g.cmd, g.done)
	g.s.note("edge-%d is killed", g.number)
}

func (g *gateway) end(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// awaitReady waits until the gateway says that it is ready, as the platform asks it.
func (g *gateway) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyBound); ; time.Sleep(20 * time.Millisecond) {
		res, err := client.Get("http://" + g.ready + site.ReadyPath)
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				g.s.note("edge-%d is ready", g.number)
				return
			}
		}
		if time.Now().After(end) {
			panic(fmt.Sprintf("edge-%d is not ready", g.number))
		}
	}
}

// freePorts returns the first of twenty ports on which nothing listens at any gateway's address.
func freePorts(n int) int {
	for port := 21000; port < 31000; port += 20 {
		if portsFree(port, n) {
			return port
		}
	}
	panic("no free ports")
}

func portsFree(port, n int) bool {
	for i := 1; i <= n; i++ {
		for _, offset := range []int{0, 1, 2, 10} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", realIP(i), port+offset))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}
