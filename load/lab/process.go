package lab

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// stopTimeout is how long a process may take to exit after SIGTERM.
const stopTimeout = 5 * time.Second

// process is one child process.
type process struct {
	name string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// starter starts child processes from one OS thread that runs until close. The kernel
// kills the children when that thread ends, so that none outlives this process when it is
// killed.
type starter struct {
	requests chan func()
}

func newStarter() *starter {
	s := &starter{requests: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.requests {
			f()
		}
	}()
	return s
}

func (s *starter) close() { close(s.requests) }

// start runs a program with its output in a file.
func (s *starter) start(name, log string, cores int, program string, args ...string) (*process, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(cores))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	p := &process{name: name, log: log, cmd: cmd, done: make(chan struct{})}
	started := make(chan error)
	s.requests <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, merry.Prependf(err, "start %s", name)
	}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(sig os.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop terminates the process. It reports whether the process had to be killed after
// stopTimeout.
func (p *process) stop() (forced bool) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return false
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-p.done
		return true
	}
}

// tail returns the last lines of the output of the process.
func (p *process) tail(lines int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(all[max(len(all)-lines, 0):], "\n")
}

// ports allocates free TCP ports of loopback in blocks, and wraps around at lastPort. It
// is safe for concurrent use.
type ports struct {
	mu   sync.Mutex
	next int
}

// The port range is below the kernel's ephemeral ports. Each process begins at a different
// port, so that two experiments seldom try the same ones.
const (
	firstPort  = 25000
	lastPort   = 32000
	portStride = 500
)

func newPorts() *ports {
	return &ports{next: firstPort + os.Getpid()%((lastPort-firstPort)/portStride)*portStride}
}

func (p *ports) block(n int) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tried := 0; tried < lastPort-firstPort; {
		if p.next+n > lastPort {
			p.next = firstPort
		}
		first := p.next
		busy := firstBusy(first, n)
		if busy < 0 {
			p.next += n
			return first, nil
		}
		p.next = busy + 1
		tried += p.next - first
	}
	return 0, merry.New("no free ports")
}

// firstBusy returns the first port of a block that is in use, or -1.
func firstBusy(first, n int) int {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", address(port))
		if err != nil {
			return port
		}
		_ = l.Close()
	}
	return -1
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func url(port int) string { return "http://" + address(port) }

// programs returns the paths of the programs in a directory.
func programs(bin string) (router, standin string) {
	return filepath.Join(bin, "hibiscusspur"), filepath.Join(bin, "standin")
}
