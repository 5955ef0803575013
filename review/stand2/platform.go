// Package stand2 holds the stand-ins that the scripts of the second review start: the users' platform, its store and
// backend servers, as one process, and what is needed to run gateways as processes of their own beside it.
package stand2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hibiscusspur/hibiscusspur/platform"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// program is what the deploy file builds.
const program = "target/hibiscusspur"

// scope stands for the test that the store's stand-in ends with.
type scope struct {
	testing.TB
	p *Platform
}

func (s scope) Helper()          {}
func (s scope) Cleanup(f func()) { s.p.cleanups = append(s.p.cleanups, f) }

// Platform is the stand-in of the users' platform.
type Platform struct {
	Store     *site.Store
	Heartbeat time.Duration
	Dir       string
	Gateways  []*Gateway
	// Replicas are those that were started first; All returns those that came later too.
	Replicas []*Replica

	cleanups []func()

	mu     sync.Mutex
	down   bool
	runs   []*Run
	events []Event
	// foreign counts requests that went on from the memory of another.
	foreign int
	record  *os.File
}

// New returns a platform that writes its record to a file.
func New(record string) (*Platform, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	p := &Platform{Heartbeat: 1200 * time.Millisecond, Dir: dir, record: f}
	p.Store = site.NewStore(scope{p: p})
	return p, nil
}

// Close ends all processes that were started, and removes what they wrote.
func (p *Platform) Close() {
	for _, g := range p.Gateways {
		g.Kill()
	}
	for _, r := range p.All() {
		r.Crash()
	}
	p.Store.CloseClientConnections()
	for _, f := range p.cleanups {
		f()
	}
	_ = os.RemoveAll(p.Dir)
	_ = p.record.Close()
}

// Note writes a line to the record.
func (p *Platform) Note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

func (p *Platform) ran(r Run) *Run {
	r.At = time.Now()
	p.mu.Lock()
	p.runs = append(p.runs, &r)
	p.mu.Unlock()
	p.Note("run begins request=%s server=%s born=%d version=%s method=%s target=%s kv_from=%s last_event=%s", r.Request, r.Server, r.Born, r.Version, r.Method, r.Target, r.KVFrom, r.LastEvent)
	return &r
}

func (p *Platform) ended(r *Run) {
	p.mu.Lock()
	r.End = time.Now()
	p.mu.Unlock()
	p.Note("run ends request=%s server=%s born=%d", r.Request, r.Server, r.Born)
}

func (p *Platform) wrote(e Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, e)
}

// StoreDown makes the store answer 503 to all, gateways and replicas, or ends that.
func (p *Platform) StoreDown(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	fault := site.NoFault
	if down {
		fault = site.Unavailable
	}
	p.Store.SetFault(fault)
	p.Note("store down=%t", down)
}

func (p *Platform) storeDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// Runs returns the runs so far. Those that go on end now.
func (p *Platform) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Run
	for _, r := range p.runs {
		run := *r
		if run.End.IsZero() {
			run.End = time.Now()
		}
		out = append(out, run)
	}
	return out
}

// Events returns the events that replicas have written so far.
func (p *Platform) Events() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Event(nil), p.events...)
}

// All returns all replicas.
func (p *Platform) All() []*Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Replica(nil), p.Replicas...)
}

// foreignMemory records that a request goes on from the memory of another.
func (p *Platform) foreignMemory(server, request, other, name string) {
	p.mu.Lock()
	p.foreign++
	p.mu.Unlock()
	p.Note("MIXED request=%s goes on at server=%s from the memory of request=%s, %s", request, server, other, name)
}

// Foreign returns how many requests went on from the memory of another.
func (p *Platform) Foreign() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.foreign
}

// Remove removes the entry of a replica that has left, and ends it.
func (p *Platform) Remove(r *Replica) {
	r.Crash()
	p.Store.Put("servers", r.ID, nil)
}

// Add starts a replica.
func (p *Platform) Add(r *Replica, version string) error {
	r.platform = p
	if err := r.Start(version, 0); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Replicas = append(p.Replicas, r)
	return nil
}

// PutManifest writes the operator's manifest.
func (p *Platform) PutManifest(m map[string]any) error {
	data, err := json.Marshal(m)
	if err == nil {
		p.Store.Put("op", "config", data)
	}
	return err
}

// Gateway is one gateway process.
type Gateway struct {
	Node, Front, Ready, control, file, log string
	Settings                               map[string]any
	cmd                                    *exec.Cmd
	done                                   chan struct{}
}

// freePorts returns a port for which this and the next nine are free at an address.
func freePorts(ip string) int {
	for port := 21000 + os.Getpid()%7000; ; port += 20 {
		free := true
		for i := range 16 {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port+i)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port
		}
	}
}

// AddGateways starts gateways, each at a loopback address of its own, and waits until they are ready.
func (p *Platform) AddGateways(n int, change func(settings map[string]any)) error {
	port := freePorts("127.0.0.2")
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:%d", i+2, port+2))
	}
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", i+2)
		at := func(offset int) string { return fmt.Sprintf("%s:%d", ip, port+offset) }
		g := &Gateway{Node: fmt.Sprintf("edge-%d", i+1), Front: at(0), Ready: at(1), control: at(2)}
		g.file, g.log = filepath.Join(p.Dir, g.Node+".json"), filepath.Join(p.Dir, g.Node+".log")
		g.Settings = map[string]any{
			"node": g.Node, "ip": ip, "zone": "hall-a", "region": "reykjavik", "role": "gateway", "class": "edge", "serves": []string{"edge", "control"},
			"listen": map[string]any{"front": g.Front, "ready": g.Ready, "control": g.control}, "port_range": []int{port + 3, port + 15},
			"seeds": seeds, "heartbeat_ms": p.Heartbeat.Milliseconds(),
			"limits": map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"bounds": map[string]any{
				"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "retry_ratio": 0.2,
				"retry_window_s": 10, "retry_slack": 52, "recover_s": 12, "lease_ms": 3000, "thaw_ms": 300,
			},
			"provider": map[string]any{"addr": p.Store.Addr(), "form": "table"},
		}
		if change != nil {
			change(g.Settings)
		}
		p.Gateways = append(p.Gateways, g)
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range p.Gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process.
func (g *Gateway) Start() error {
	data, err := json.Marshal(g.Settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.file, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "gateway")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+g.file)
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	g.cmd, g.done = cmd, done
	return nil
}

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady(bound time.Duration) error {
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + g.Ready + site.ReadyPath)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.Node, bound)
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// Exited reports whether the process has ended.
func (g *Gateway) Exited() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// Kill kills the process and waits until it has ended.
func (g *Gateway) Kill() {
	if g.cmd == nil {
		return
	}
	g.Signal(syscall.SIGKILL)
	<-g.done
}

// Log returns what the process wrote.
func (g *Gateway) Log() string {
	data, _ := os.ReadFile(g.log)
	return string(data)
}

// Resident returns the memory that the process has in use, in bytes.
func (g *Gateway) Resident() int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10
		}
	}
	return 0
}
