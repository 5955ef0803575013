package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBuffer is the size of a connection's read buffer: most responses of plain
// services fit, and thousands of idle connections use little memory.
const readBuffer = 4 << 10

// idleMargin is subtracted from the idle timeout that a server states, so that no request
// is sent just as the server closes the connection.
const idleMargin = 500 * time.Millisecond

// Bounds of what an answer may cost before it is known to be one. Servers in trouble send bytes without end; past a bound the
// connection is closed at once.
const (
	// maxHeadBytes bounds the head of an answer and the interim answers before it. Servers send some hundred bytes, and
	// callers may send 16 to 32 KiB.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the body of an answer to another request, with its framing. It is read only to reuse the
	// connection.
	maxSkippedBytes = 64 << 10
)

// errNoAnswer means that more bytes came than an answer may begin with.
var errNoAnswer = errors.New("no answer within the bound")

// conn is one connection to a server. It carries one request at a time.
type conn struct {
	net.Conn
	br   *bufio.Reader
	addr string
	// limit bounds what br reads until an answer to the request begins.
	limit *readLimit
	// usableUntil is the time from which the connection is not reused, since the server may
	// close it; zero if the server stated no idle timeout.
	usableUntil time.Time
}

func newConn(c net.Conn, addr string) *conn {
	limit := &readLimit{Reader: c}
	return &conn{Conn: c, br: bufio.NewReaderSize(limit, readBuffer), addr: addr, limit: limit}
}

// readLimit reads from a connection, and fails once more than left bytes were read while it is limited. It belongs to the
// goroutine that reads.
type readLimit struct {
	io.Reader
	limited bool
	left    int
}

// begin limits what is read to a number of bytes and what a buffer reads beyond them, until end.
func (l *readLimit) begin(limit int) { l.limited, l.left = true, limit+readBuffer }

func (l *readLimit) end() { l.limited = false }

// Read implements io.Reader.
func (l *readLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errNoAnswer
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// reusable reports whether an idle connection may carry another request: there is no
// unsolicited data on it and the server has not closed it.
func (c *conn) reusable(now time.Time) bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if !c.usableUntil.IsZero() && now.After(c.usableUntil) {
		return false
	}
	return c.nothingPending()
}

// nothingPending reports whether the socket has neither data nor an end of file or error pending,
// without blocking.
func (c *conn) nothingPending() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

// recordKeepAlive records the idle timeout that the server states in the Keep-Alive header.
func (c *conn) recordKeepAlive(h http.Header, now time.Time) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			c.usableUntil = now.Add(time.Duration(s)*time.Second - idleMargin)
		}
	}
}
