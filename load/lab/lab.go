package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/sidecar"
)

// Cores that a process of each kind may use, as on small VMs.
const (
	entryCores    = 3
	sidecarCores  = 1
	engineCores   = 2
	platformCores = 2
)

// enginesPerProcess bounds how many engines share a process.
const enginesPerProcess = 6

// Lab is one running deployment. The caller must call Stop.
type Lab struct {
	Deployment Deployment
	// Targets are the base URLs of the entries.
	Targets []string
	// Platform is the base URL of the platform.
	Platform string
	Engines  []EngineInstance
	Sidecars []SidecarInstance
	Entries  []EntryInstance
	// ServiceURLs are the base URLs of the plain services, by name.
	ServiceURLs map[string]string

	dir             string
	router, standin string
	starter         *starter
	ports           *ports
	variant         Variant

	mu    sync.Mutex
	procs []*process
}

// EngineInstance is one engine of a lab.
type EngineInstance struct {
	ID, Model, Role, URL string
	engine               Engine
	proc                 *process
}

// EntryInstance is one entry of a lab.
type EntryInstance struct {
	ID, Zone, URL string
	// Admin is the base URL of health and metrics.
	Admin string
	proc  *process
}

// SidecarInstance is one sidecar of a lab.
type SidecarInstance struct {
	ID, Model, Role, Zone string
	Address               string
	// Admin is the base URL of health and metrics.
	Admin string
	proc  *process
}

// Options of Start.
type Options struct {
	// Bin is the directory of the programs.
	Bin     string
	Variant Variant
	// OwnProcess names pools, as model and role, whose engines each run in a process of
	// their own.
	OwnProcess []string

	// ports are shared by the labs of one experiment.
	ports *ports
}

// Start starts a deployment and waits until it answers requests of every class. After an
// error no process is left running.
func Start(ctx context.Context, d Deployment, o Options) (*Lab, error) {
	dir, err := os.MkdirTemp("", "hsload-"+d.Name+"-")
	if err != nil {
		return nil, err
	}
	l := &Lab{Deployment: d, dir: dir, variant: o.Variant, starter: newStarter(), ports: o.ports, ServiceURLs: make(map[string]string)}
	if l.ports == nil {
		l.ports = newPorts()
	}
	l.router, l.standin = programs(o.Bin)
	if o.Variant.Bin != "" {
		l.router, _ = programs(o.Variant.Bin)
	}
	if err := l.start(ctx, o); err != nil {
		err = merry.Prependf(err, "lab %s (%s)", d.Name, o.Variant.Name)
		l.Stop()
		return nil, err
	}
	return l, nil
}

func (l *Lab) start(ctx context.Context, o Options) error {
	steps := []func() error{
		l.startPlatform,
		func() error { return l.startEngines(o.OwnProcess) },
		l.startServices,
		l.startEntries,
		func() error { return l.apply(ctx) },
		func() error { return l.awaitServing(ctx) },
	}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all processes and removes their files.
func (l *Lab) Stop() {
	l.mu.Lock()
	procs := l.procs
	l.procs = nil
	l.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range procs {
		wg.Go(func() {
			if p.stop() {
				fmt.Fprintf(os.Stderr, "hsload: %s of lab %s did not exit after SIGTERM: %s\n", p.name, l.Deployment.Name, p.tail(1))
			}
		})
	}
	wg.Wait()
	l.starter.close()
	_ = os.RemoveAll(l.dir)
}

// Processes returns the number of running processes.
func (l *Lab) Processes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.procs {
		if !p.exited() {
			n++
		}
	}
	return n
}

// PIDs returns the ids of the running processes.
func (l *Lab) PIDs() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []int
	for _, p := range l.procs {
		if !p.exited() {
			out = append(out, p.cmd.Process.Pid)
		}
	}
	return out
}

func (l *Lab) startProcess(name string, cores int, program string, args ...string) (*process, error) {
	p, err := l.starter.start(name, filepath.Join(l.dir, name+".log"), cores, program, args...)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.procs = append(l.procs, p)
	return p, nil
}

func (l *Lab) startPlatform() error {
	port, err := l.ports.block(1)
	if err != nil {
		return err
	}
	l.Platform = url(port)
	_, err = l.startProcess("platform", platformCores, l.standin, "platform", "--listen", address(port))
	return err
}

func (l *Lab) startEngines(ownProcess []string) error {
	for _, p := range l.Deployment.Pools {
		perProcess := enginesPerProcess
		if slices.Contains(ownProcess, p.Model+" "+p.Role) {
			perProcess = 1
		}
		for from := 0; from < p.Count; from += perProcess {
			if err := l.startEngineProcess(p, from, min(perProcess, p.Count-from)); err != nil {
				return err
			}
		}
	}
	for i := range l.Engines {
		if err := l.startSidecar(i); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) startEngineProcess(p Pool, from, n int) error {
	port, err := l.ports.block(n)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s-%s-%d", p.Model, p.Role, from)
	proc, err := l.startProcess("engine-"+id, engineCores, l.standin, p.engineArgs(id, address(port), from, n)...)
	if err != nil {
		return err
	}
	for i := range n {
		l.Engines = append(l.Engines, EngineInstance{
			ID: fmt.Sprintf("%s-%s-%d", p.Model, p.Role, from+i+1), Model: p.Model, Role: p.Role,
			URL: url(port + i), engine: p.Engine, proc: proc,
		})
	}
	return nil
}

func (p Pool) engineArgs(id, listen string, seed, n int) []string {
	e := p.Engine
	return []string{
		"engine", "--listen", listen, "--id", id, "--role", p.Role, "--models", p.Model,
		fmt.Sprint("--count=", n), fmt.Sprint("--seed=", seed+1),
		fmt.Sprint("--places=", e.DecodeSlots), fmt.Sprint("--step-base=", e.StepBase), fmt.Sprint("--step-per-run=", e.StepPerRun),
		fmt.Sprint("--prefill-rate=", e.PrefillRate), fmt.Sprint("--link-rate=", e.LinkRate),
		fmt.Sprint("--kv-bytes-per-token=", e.KVBytesPerToken), fmt.Sprint("--kv-ttl=", e.KVTTL),
		fmt.Sprint("--cache-tokens=", e.CacheTokens), fmt.Sprint("--load-lag=", e.LoadLag),
		fmt.Sprint("--event-delay=", e.EventDelay), fmt.Sprint("--event-loss=", e.EventLoss),
	}
}

func (l *Lab) startSidecar(i int) error {
	e := l.Engines[i]
	set := sidecar.DefaultSettings()
	set.Engine = e.URL
	return l.runSidecar(set, SidecarInstance{ID: e.ID, Model: e.Model, Role: e.Role, Zone: l.zone(i)})
}

func (l *Lab) zone(i int) string { return l.Deployment.Zones[i%len(l.Deployment.Zones)] }

func (l *Lab) runSidecar(set sidecar.Settings, instance SidecarInstance) error {
	port, err := l.ports.block(2)
	if err != nil {
		return err
	}
	set.ID, set.Zone, set.Listen, set.Admin = instance.ID, instance.Zone, address(port), address(port+1)
	set.LogLevel = "warn"
	set.Timing.Drain = drainTime
	instance.Address, instance.Admin = set.Listen, url(port+1)
	instance.proc, err = l.startDaemon("sidecar", instance.ID, sidecarCores, set, l.variant.Sidecar)
	l.Sidecars = append(l.Sidecars, instance)
	return err
}

func (l *Lab) startServices() error {
	for i, name := range l.Deployment.Services {
		port, err := l.ports.block(1)
		if err != nil {
			return err
		}
		if _, err := l.startProcess("service-"+name, engineCores, l.standin, "service", "--listen", address(port), "--id", name, "--work", "20ms"); err != nil {
			return err
		}
		l.ServiceURLs[name] = url(port)
		set := sidecar.DefaultSettings()
		set.Service = url(port)
		if err := l.runSidecar(set, SidecarInstance{ID: name + "-1", Model: name, Role: "service", Zone: l.zone(i)}); err != nil {
			return err
		}
	}
	return nil
}

// drainTime bounds the drain of a process in a lab, where no work is left to finish.
const drainTime = 2 * time.Second

func (l *Lab) startEntries() error {
	for i := range l.Deployment.Entries {
		set := entry.DefaultSettings()
		set.ID, set.Zone, set.Platform = fmt.Sprintf("entry-%d", i+1), l.zone(i), l.Platform
		if err := l.runEntry(set); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) runEntry(set entry.Settings) error {
	port, err := l.ports.block(2)
	if err != nil {
		return err
	}
	set.Listen, set.Admin = address(port), address(port+1)
	set.LogLevel = "warn"
	set.Timing.Drain, set.Timing.Notice = drainTime, 0
	proc, err := l.startDaemon("entry", set.ID, entryCores, set, l.variant.Entry)
	if err != nil {
		return err
	}
	l.Entries = append(l.Entries, EntryInstance{set.ID, set.Zone, url(port), url(port + 1), proc})
	l.Targets = append(l.Targets, url(port))
	return nil
}

// startDaemon writes the settings file of an entry or a sidecar and starts it.
func (l *Lab) startDaemon(kind, id string, cores int, settings any, overlay Overlay) (*process, error) {
	data, err := overlay.applyTo(settings)
	if err != nil {
		return nil, err
	}
	name := kind + "-" + id
	file := filepath.Join(l.dir, name+".yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	return l.startProcess(name, cores, l.router, kind, "--settings", file)
}

// Kill kills the process of the sidecar, as a VM failure would.
func (s SidecarInstance) Kill() { s.proc.signal(syscall.SIGKILL) }

// Kill kills the process of the entry, as a VM failure would.
func (e EntryInstance) Kill() { e.proc.signal(syscall.SIGKILL) }

// Kill kills the process of the engine, as a VM failure would, with all other engines in
// it.
func (e EngineInstance) Kill() { e.proc.signal(syscall.SIGKILL) }
