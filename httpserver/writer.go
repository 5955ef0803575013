package httpserver

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"
)

// pieceBytes is the size in which large writes are handed to nbio.
const pieceBytes = 32 << 10

// closedCheck is the interval at which a waiting writer looks whether its
// connection was closed.
const closedCheck = 20 * time.Millisecond

var errStalled = merry.Sentinel("caller reads nothing")

// writer is the connection to which nbhttp writes responses. Unlike nbio's own, it
// makes a writer wait for a slow reader in place of closing the connection once
// the buffer is full, and it closes only after everything was sent.
type writer struct {
	net.Conn
	raw   *nbio.Conn
	limit int64
	stall time.Duration
	// pending counts the bytes that nbio has taken and not yet written.
	pending atomic.Int64
	wake    chan struct{}
}

func newWriter(c net.Conn, raw *nbio.Conn, o Options) *writer {
	return &writer{Conn: c, raw: raw, limit: int64(o.MaxWriteBuffer), stall: o.StallTimeout, wake: make(chan struct{}, 1)}
}

// Write implements net.Conn. It may block, and must not be called by a poller.
func (w *writer) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		n := min(len(b)-done, pieceBytes)
		if err := w.waitPending(max(w.limit-int64(n), 0)); err != nil {
			return done, err
		}
		if err := w.hand(b[done : done+n]); err != nil {
			return done, err
		}
		done += n
	}
	return done, nil
}

// writeNow writes a few bytes without blocking.
func (w *writer) writeNow(b []byte) { _ = w.hand(b) }

func (w *writer) hand(b []byte) error {
	w.pending.Add(int64(len(b)))
	_, err := w.raw.Write(b)
	return err
}

// Close implements net.Conn. It waits until everything was sent and then leaves
// it to the caller to close first, for as long as linger. When nbio v1.6.8 closes
// a connection while its caller does, a late event of the old connection can hit
// a new one that got the same file descriptor, and closes that one.
func (w *writer) Close() error {
	if err := w.waitPending(0); err != nil {
		return w.raw.Close()
	}
	time.AfterFunc(linger, func() { _ = w.raw.Close() })
	return nil
}

// waitPending blocks until at most n bytes wait to be sent. A reader that takes
// nothing for the stall time loses its connection.
func (w *writer) waitPending(n int64) error {
	last, since := w.pending.Load(), time.Now()
	if last <= n {
		return nil
	}
	t := time.NewTicker(closedCheck)
	defer t.Stop()
	for {
		if closed, _ := w.raw.IsClosed(); closed {
			return net.ErrClosed
		}
		select {
		case <-w.wake:
		case <-t.C:
		}
		now := w.pending.Load()
		if now <= n {
			return nil
		}
		if now != last {
			last, since = now, time.Now()
		}
		if time.Since(since) > w.stall {
			_ = w.raw.CloseWithError(errStalled)
			return errStalled
		}
	}
}

// written is called by nbio, under the lock of raw.
func written(raw *nbio.Conn, _ []byte, n int) {
	c, ok := raw.Session().(*conn)
	if !ok || !c.ready.Load() {
		return
	}
	c.out.pending.Add(-int64(n))
	select {
	case c.out.wake <- struct{}{}:
	default:
	}
}
