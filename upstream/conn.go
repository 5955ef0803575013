package upstream

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/response"
)

// idleMargin is subtracted from the idle timeout that a server states, so that no request
// is sent just as the server closes the connection.
const idleMargin = 500 * time.Millisecond

// conn is one connection to a server. It carries one request at a time.
type conn struct {
	net.Conn
	responses *response.Reader
	addr      string
	// usableUntil is the time from which the connection is not reused, since the server may
	// close it; zero if the server stated no idle timeout.
	usableUntil time.Time
}

func newConn(c net.Conn, addr string) *conn {
	return &conn{Conn: c, responses: response.NewReader(c), addr: addr}
}

// reusable reports whether an idle connection may carry another request: there is no
// unsolicited data on it and the server has not closed it.
func (c *conn) reusable(now time.Time) bool {
	if !c.responses.Idle() {
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
			c.usableUntil = now.Add(bounded.Seconds(s) - idleMargin)
		}
	}
}
