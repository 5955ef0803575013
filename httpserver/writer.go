package httpserver

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// maxPieceBytes is the size of the pieces in which large writes are passed to nbio.
const maxPieceBytes = 32 << 10

// closedCheckInterval is the interval at which a blocked writer checks whether its connection was closed.
const closedCheckInterval = 20 * time.Millisecond

// lineEnd ends a status line, which begins with as many bytes as statusPrefix has.
var (
	lineEnd      = []byte("\r\n")
	statusPrefix = []byte("HTTP/1.1 ")
)

// errNoHead means that nbhttp wrote something else where a head was due.
var errNoHead = merry.Sentinel("no head where one was due")

var errStalled = merry.Sentinel("client reads nothing")

// writer is the connection to which nbhttp writes responses. Unlike nbio's own, it blocks the writer while the client
// reads slowly instead of closing the connection once the buffer is full, and it closes only after everything was
// sent.
type writer struct {
	net.Conn
	raw          *nbio.Conn
	maxPending   int64
	stallTimeout time.Duration
	// pending counts the bytes that nbio has accepted but not written yet.
	pending atomic.Int64
	wake    chan struct{}

	// nextStatus replaces the status of the next head that is written; zero for none. It belongs to the goroutine that writes.
	nextStatus int

	memory *vmmemory.Memory
	// counted is the part of pending that memory counts; it is set with mu held.
	counted atomic.Int64
	mu      sync.Mutex
	// closed is set once the connection was closed, and nothing waits any more.
	closed bool
}

func newWriter(c net.Conn, raw *nbio.Conn, o Options) *writer {
	return &writer{Conn: c, raw: raw, maxPending: int64(o.MaxWriteBuffer), stallTimeout: o.StallTimeout, wake: make(chan struct{}, 1), memory: o.Memory}
}

// Write implements net.Conn. It may block, so it must not be called by a poller.
func (w *writer) Write(b []byte) (int, error) {
	if w.nextStatus != 0 {
		return w.writeHead(b)
	}
	return w.writePieces(b)
}

// writeHead writes what begins with a head, with nextStatus in place of its status.
func (w *writer) writeHead(b []byte) (int, error) {
	end := bytes.Index(b, lineEnd)
	if end < len(statusPrefix) {
		return 0, errNoHead
	}
	line := fmt.Appendf(nil, "%s%d ", b[:len(statusPrefix)], w.nextStatus)
	w.nextStatus = 0
	_, err := w.writePieces(append(line, b[end:]...))
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

func (w *writer) writePieces(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n := min(len(b)-done, maxPieceBytes)
		if err := w.waitPending(max(w.maxPending-int64(n), 0)); err != nil {
			return done, err
		}
		if err := w.send(b[done : done+n]); err != nil {
			return done, err
		}
		done += n
	}
	return done, nil
}

// writeNow writes a few bytes without blocking.
func (w *writer) writeNow(b []byte) { _ = w.send(b) }

func (w *writer) send(b []byte) error {
	w.pending.Add(int64(len(b)))
	_, err := w.raw.Write(b)
	if w.pending.Load() > 0 {
		w.count()
	}
	return err
}

// count tells the memory how much waits to be sent.
func (w *writer) count() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	pending := w.pending.Load()
	w.memory.Add(pending - w.counted.Swap(pending))
}

// dropPending tells the memory that nothing waits to be sent any more, as the connection is closed.
func (w *writer) dropPending() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.memory.Add(-w.counted.Swap(0))
}

// Close implements net.Conn. It waits until everything was sent, then waits up to lingerTime for the client to close
// first. If nbio v1.6.8 closes a connection at the same time as its client, a late event of the old connection can
// reach a new one with the same file descriptor and close that one.
func (w *writer) Close() error {
	if err := w.waitPending(0); err != nil {
		return w.raw.Close()
	}
	time.AfterFunc(lingerTime, func() { _ = w.raw.Close() })
	return nil
}

// waitPending blocks until at most n bytes wait to be sent. If the client reads nothing for stallTimeout, its
// connection is closed.
func (w *writer) waitPending(n int64) error {
	lastPending, lastProgress := w.pending.Load(), time.Now()
	if lastPending <= n {
		return nil
	}
	t := time.NewTicker(closedCheckInterval)
	defer t.Stop()
	for {
		if closed, _ := w.raw.IsClosed(); closed {
			return net.ErrClosed
		}
		select {
		case <-w.wake:
		case <-t.C:
		}
		pending := w.pending.Load()
		if pending <= n {
			return nil
		}
		if pending != lastPending {
			lastPending, lastProgress = pending, time.Now()
		}
		if time.Since(lastProgress) > w.stallTimeout {
			_ = w.raw.CloseWithError(errStalled)
			return errStalled
		}
	}
}

// written is called by nbio with the lock of raw held.
func written(raw *nbio.Conn, _ []byte, n int) {
	c, ok := raw.Session().(*conn)
	if !ok || !c.ready.Load() {
		return
	}
	c.server.opts.Link.Sent(n)
	c.active.Store(monotonic())
	c.out.pending.Add(-int64(n))
	if c.out.counted.Load() > 0 {
		c.out.count()
	}
	notify.Send(c.out.wake)
}
