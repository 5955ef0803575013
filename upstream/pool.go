// Package upstream is the HTTP/1.1 client for backend servers.
//
// It gives guarantees that a general client doesn't: a connection carries one
// request at a time and is reused only if its last response was read completely and
// no data followed it; a request is never resent automatically; and each error says
// whether the request can have reached the server. Package response decides what is a
// response and where it ends.
package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hibiscusspur/hibiscusspur/vmlink"
)

// ErrNotSent means that no byte of the request was sent.
var ErrNotSent = errors.New("request not sent")

// Options configure a Pool. Zero fields take the defaults.
type Options struct {
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the connection
	// fails (TCP_USER_TIMEOUT): it detects lost hosts and unresponsive connections.
	UnackedTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxIdlePerServer bounds the unused connections to one server; with NoIdle each request has a connection of its own.
	MaxIdlePerServer int
	// Link is the link of this VM that the connections use; nil is not accounted for.
	Link *vmlink.Link
	// Connect opens a connection; if nil, over TCP.
	Connect func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Defaults of Options.
const (
	// DefaultDialTimeout is several round trips between zones plus the second after which
	// a lost SYN is retransmitted.
	DefaultDialTimeout = 1200 * time.Millisecond
	// DefaultUnackedTimeout is less than the shortest timeout of a lookup.
	DefaultUnackedTimeout = 1500 * time.Millisecond
	// DefaultIdleTimeout applies to servers that state no idle timeout; whether the server has
	// closed the connection is checked before each reuse.
	DefaultIdleTimeout      = 20 * time.Second
	DefaultMaxIdlePerServer = 32
)

// NoIdle as MaxIdlePerServer keeps no connection.
const NoIdle = -1

// Pool sends requests and keeps idle connections to servers. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu     sync.Mutex
	idle   map[string][]*idleConn
	dialed int64
}

type idleConn struct {
	*conn
	idleSince time.Time
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.UnackedTimeout == 0 {
		o.UnackedTimeout = DefaultUnackedTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxIdlePerServer == 0 {
		o.MaxIdlePerServer = DefaultMaxIdlePerServer
	}
	p := &Pool{opts: o, idle: make(map[string][]*idleConn)}
	if o.Connect == nil {
		dialer := net.Dialer{KeepAlive: -1, Control: p.control}
		p.opts.Connect = dialer.DialContext
	}
	return p
}

// control sets UnackedTimeout on a new socket.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var opt error
	err := raw.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.opts.UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return opt
}

// Dialed returns the number of connections opened so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// get returns an idle connection, or opens one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	now := time.Now()
	for {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) < p.opts.IdleTimeout && c.reusable(now) {
			return c.conn, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, addr)
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	c, err := p.opts.Connect(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return newConn(p.opts.Link.Conn(c), addr), nil
}

// Probe checks that a server can be reached: by a reusable idle connection, or by opening one,
// which is kept for later requests.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	c, err := p.get(ctx, addr)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	p.put(c)
	return nil
}

// takeIdle removes and returns the most recently used idle connection, which the server is
// least likely to have closed.
func (p *Pool) takeIdle(addr string) *idleConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.opts.MaxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], &idleConn{conn: c, idleSince: now})
}

// CloseIdle closes the idle connections to one server, which has terminated or restarted.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes the connections idle for longer than IdleTimeout, and all idle ones to servers
// for which keep returns false.
func (p *Pool) Sweep(keep func(addr string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(addr) && now.Sub(c.idleSince) < p.opts.IdleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}
