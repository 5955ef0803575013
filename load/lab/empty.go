package lab

import (
	"context"
	"os"
	"os/exec"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/sidecar"
)

// NewEmpty returns a lab without processes, for experiments that start them one by one.
// The caller must call Stop.
func NewEmpty(name, bin string) (*Lab, error) {
	dir, err := os.MkdirTemp("", "hsload-"+name+"-")
	if err != nil {
		return nil, err
	}
	l := &Lab{dir: dir, starter: newStarter(), ports: emptyLabPorts, ServiceURLs: make(map[string]string)}
	l.Deployment.Zones = []string{"zone-a", "zone-b", "zone-c"}
	l.router, l.standin = programs(bin)
	return l, nil
}

// emptyLabPorts are shared by all labs from NewEmpty in this process.
var emptyLabPorts = newPorts()

// Dir is the directory of the lab's files, which Stop removes.
func (l *Lab) Dir() string { return l.dir }

// StartEngines starts the engines of a pool in one process.
func (l *Lab) StartEngines(p Pool) error { return l.startEngineProcess(p, 0, p.Count) }

// StartSidecar starts a sidecar on newly allocated ports.
func (l *Lab) StartSidecar(set sidecar.Settings, b contract.Backend) (SidecarInstance, error) {
	instance := SidecarInstance{ID: b.ID, Role: b.Role, Zone: b.Zone}
	if len(b.Models) > 0 {
		instance.Model = b.Models[0]
	}
	if err := l.runSidecar(set, instance); err != nil {
		return instance, err
	}
	return l.Sidecars[len(l.Sidecars)-1], nil
}

// StartEntry starts an entry on newly allocated ports.
func (l *Lab) StartEntry(set entry.Settings) (EntryInstance, error) {
	if err := l.runEntry(set); err != nil {
		return EntryInstance{}, err
	}
	return l.Entries[len(l.Entries)-1], nil
}

// Await waits until a GET of url succeeds or a process of the lab ends.
func (l *Lab) Await(ctx context.Context, url string) error { return l.await(ctx, url) }

// PID returns the process id of the entry.
func (e EntryInstance) PID() int { return e.proc.cmd.Process.Pid }

// PID returns the process id of the sidecar.
func (s SidecarInstance) PID() int { return s.proc.cmd.Process.Pid }

// RunOperatorCommand runs an operator command against a platform and returns its resource
// usage.
func (l *Lab) RunOperatorCommand(ctx context.Context, platform string, args ...string) (*os.ProcessState, error) {
	cmd := exec.CommandContext(ctx, l.router, append(args, "--platform", platform)...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, merry.Errorf("%v: %w: %s", args, err, out)
	}
	return cmd.ProcessState, nil
}
