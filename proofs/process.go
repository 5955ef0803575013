package proofs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is one started program. Signals go to its own pid only.
type process struct {
	t    *testing.T
	name string
	args []string
	log  string
	// env are additional environment variables.
	env []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// start runs a program from binDir and kills it at the end of the test.
func start(t *testing.T, dir, name, program string, args ...string) *process {
	t.Helper()
	return startWith(t, nil, dir, name, program, args...)
}

// startWith is start with additional environment variables.
func startWith(t *testing.T, env []string, dir, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, env: env, args: append([]string{filepath.Join(binDir, program)}, args...), log: filepath.Join(dir, name+".log")}
	p.restart()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s: %s", name, tail(p.log))
		}
	})
	return p
}

// restart starts the program again with the same arguments.
func (p *process) restart() {
	p.t.Helper()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), p.env...)
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("assertion failed: %s: %v", p.name, err)
	}
}

func (p *process) exited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// terminate requests a graceful shutdown.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

func tail(file string) string {
	const maxBytes = 4000
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	if len(data) > maxBytes {
		data = data[len(data)-maxBytes:]
	}
	return "\n" + strings.TrimSpace(string(data))
}

// Ports below the ephemeral port range that the system uses for outgoing connections.
const (
	minPort = 10240
	maxPort = 19999
)

var (
	portsMu sync.Mutex
	port    = minPort + rand.IntN(maxPort-minPort)
)

// freeAddr returns a loopback address that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	portsMu.Lock()
	defer portsMu.Unlock()
	for range maxPort - minPort {
		port++
		if port >= maxPort {
			port = minPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

func await(t *testing.T, bound time.Duration, url string) {
	t.Helper()
	eventually(t, bound, "answer from "+url, func() bool { return status(url) == 200 })
}
