package proofs

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// smallMemoryBytes is the memory of the smallest VM that accepts callers, with smallMaxFiles as the lowered limit of its
	// descriptors.
	smallMemoryBytes = smallMemoryMB * 1_000_000
	smallMaxFiles    = 1000
	// crowdTime is how long the clients of a crowd send, and come again if their connection was closed.
	crowdTime = 3 * time.Second
	// comeAgainDelay is the time after which they do.
	comeAgainDelay = 50 * time.Millisecond
	// afterwardsBound is how long an ordinary client goes on to ask until it is answered.
	afterwardsBound = 20 * time.Second
	// samplingInterval is the interval at which the open descriptors are counted.
	samplingInterval = 20 * time.Millisecond
)

// misbehavingCrowd are clients that nobody controls: each sends the same kind of request, or a part of one, and keeps its
// connection open.
type misbehavingCrowd struct {
	addr string
	kind clientKind

	stop chan struct{}
	work sync.WaitGroup
	// sent counts the bytes that were written, opened the connections.
	sent, opened atomic.Int64
	mu           sync.Mutex
	conns        map[net.Conn]struct{}
}

// start opens the connections of the crowd; close must be called.
func (s *misbehavingCrowd) start() {
	s.stop, s.conns = make(chan struct{}), map[net.Conn]struct{}{}
	end := time.Now().Add(crowdTime)
	for i := range s.kind.clients {
		s.work.Go(func() {
			for time.Now().Before(end) {
				s.visit(i, end)
				time.Sleep(comeAgainDelay)
			}
		})
	}
}

// visit sends over one connection, and returns once that was closed by the server or the crowd ends.
func (s *misbehavingCrowd) visit(client int, end time.Time) {
	conn, err := net.DialTimeout("tcp", s.addr, time.Until(end))
	if err != nil {
		return
	}
	s.keep(conn)
	s.opened.Add(1)
	_ = conn.SetWriteDeadline(end)
	gone := make(chan struct{})
	if s.kind.unread {
		go func() {
			<-s.stop
			close(gone)
		}()
	} else {
		go func() {
			defer close(gone)
			buffer := make([]byte, 4096)
			for {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
			}
		}()
	}
	w := &crowdConn{Conn: conn, client: client, end: end, sent: &s.sent}
	s.kind.send(w)
	if w.err != nil && time.Now().Before(end) {
		s.drop(conn)
		return
	}
	select {
	case <-gone:
		s.drop(conn)
	case <-s.stop:
	}
}

func (s *misbehavingCrowd) keep(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *misbehavingCrowd) drop(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// close closes all connections.
func (s *misbehavingCrowd) close() {
	close(s.stop)
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.work.Wait()
}

// crowdConn is one connection of a crowd. After an error, writes do nothing.
type crowdConn struct {
	net.Conn
	client int
	end    time.Time
	sent   *atomic.Int64
	err    error
}

func (w *crowdConn) write(data []byte) {
	if w.err != nil {
		return
	}
	n, err := w.Write(data)
	w.sent.Add(int64(n))
	w.err = err
}

func (w *crowdConn) writeText(format string, args ...any) {
	w.write(fmt.Appendf(nil, format, args...))
}

// goesOn reports whether there is time left to send, and the connection is open.
func (w *crowdConn) goesOn() bool { return w.err == nil && time.Now().Before(w.end) }

// crowdTarget is a process to which a crowd connects.
type crowdTarget struct {
	proc *process
	// addr is the listener that they connect to.
	addr string
	// serves reports whether an ordinary client is answered.
	serves func() bool
}

// checkBears lets a crowd come to a process, and checks that it lives, stays within the memory and the descriptors of
// the smallest VM, and answers an ordinary request, while the connections of the crowd are open and after they were closed.
func (target crowdTarget) checkBears(t *testing.T, kind clientKind) {
	t.Helper()
	pid := target.proc.cmd.Process.Pid
	before := peakMemory(t, pid)
	files := watchFiles(pid)
	s := &misbehavingCrowd{addr: target.addr, kind: kind}
	s.start()
	time.Sleep(crowdTime)
	served := target.eventuallyServes()
	peak, alive := int64(0), !target.proc.exited()
	if alive {
		peak = peakMemory(t, pid)
	}
	s.close()
	servedAfterwards := target.eventuallyServes()
	most := files()
	t.Logf("%s: peak %d MB, %d MB before; %d descriptors; %d connections, %d MB sent", kind.name, peak/1_000_000, before/1_000_000, most, s.opened.Load(), s.sent.Load()/1_000_000)
	assert.Check(t, s.sent.Load() > 0 || kind.silent, "the crowd sent nothing")
	assert.Check(t, alive && !target.proc.exited(), "the process has ended")
	assert.Check(t, peak <= smallMemoryBytes, "peak %d MB", peak/1_000_000)
	assert.Check(t, most <= smallMaxFiles, "%d descriptors", most)
	assert.Check(t, served, "no ordinary request was answered while the connections were open")
	assert.Check(t, servedAfterwards, "no ordinary request was answered after they were closed")
}

// eventuallyServes reports whether an ordinary client that goes on to ask is answered.
func (target crowdTarget) eventuallyServes() bool {
	for end := time.Now().Add(afterwardsBound); time.Now().Before(end); time.Sleep(pollInterval) {
		if target.serves() {
			return true
		}
		if target.proc.exited() {
			return false
		}
	}
	return false
}

// openFiles returns the number of descriptors that a process has open, zero if it is gone.
func openFiles(pid int) int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(files)
}

// watchFiles counts the open descriptors of a process until the returned function is called, which returns the most that there
// were.
func watchFiles(pid int) (most func() int) {
	stop, done := make(chan struct{}), make(chan struct{})
	seen := 0
	go func() {
		defer close(done)
		t := time.NewTicker(samplingInterval)
		defer t.Stop()
		for {
			seen = max(seen, openFiles(pid))
			select {
			case <-t.C:
			case <-stop:
				return
			}
		}
	}()
	return func() int {
		close(stop)
		<-done
		return seen
	}
}
