// Package simnet is an in-memory network for tests under fake time. Each host has a link of limited bandwidth
// that all of its connections share.
package simnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// packet is the transmission unit of a link, in bytes.
	packet = 4 << 10
	// window is the maximum of data in flight per connection and direction, in bytes.
	window = 32 << 10
	// delay is the one-way propagation delay between two hosts.
	delay = 500 * time.Microsecond
	// backlog is the number of connections that may wait to be accepted.
	backlog = 128
)

var (
	errRefused = errors.New("connection refused")
	errClosed  = net.ErrClosed
)

// Network is a set of hosts. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*Host
}

// New returns a network without hosts.
func New() *Network { return &Network{hosts: map[string]*Host{}} }

// Host is one host, with one address. It implements peer.Network.
type Host struct {
	network  *Network
	addr     string
	rate     int
	accepted chan net.Conn
	// inFree and outFree are when each direction of the link is free again; guarded by Network.mu.
	inFree, outFree time.Time
	received        int
}

// Host adds a host whose link carries rate bytes a second in each direction.
func (n *Network) Host(addr string, rate int) *Host {
	h := &Host{network: n, addr: addr, rate: rate}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr] = h
	return h
}

// Received returns the number of bytes that the host has received over its link.
func (h *Host) Received() int {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.received
}

// Occupy keeps the receiving direction of the link busy with n bytes of other traffic, and returns once they
// have been received.
func (h *Host) Occupy(n int) {
	h.network.mu.Lock()
	h.inFree = h.reserve(h.inFree, time.Now(), n)
	free := h.inFree
	h.network.mu.Unlock()
	time.Sleep(time.Until(free))
}

// Stall delays all traffic to and from the host by d; nothing is lost.
func (h *Host) Stall(d time.Duration) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	until := time.Now().Add(d)
	h.inFree, h.outFree = until, until
}

// reserve returns when n bytes have been transmitted over a link that is free from the time free. The caller
// holds Network.mu.
func (h *Host) reserve(free, now time.Time, n int) time.Time {
	if free.Before(now) {
		free = now
	}
	return free.Add(time.Duration(n) * time.Second / time.Duration(h.rate))
}

// Listen accepts connections to the host's address.
func (h *Host) Listen(string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.accepted = make(chan net.Conn, backlog)
	return &listener{host: h, closed: make(chan struct{})}, nil
}

// Dial connects to the host at addr.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	h.network.mu.Lock()
	to, ok := h.network.hosts[addr]
	var accepted chan net.Conn
	if ok {
		accepted = to.accepted
	}
	h.network.mu.Unlock()
	if accepted == nil {
		return nil, errRefused
	}
	here, there := pipe(h, to)
	select {
	case accepted <- there:
		return here, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Connect is Dial for callers that also pass the name of a network.
func (h *Host) Connect(ctx context.Context, _, addr string) (net.Conn, error) {
	return h.Dial(ctx, addr)
}

type listener struct {
	host   *Host
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.host.accepted:
		return c, nil
	case <-l.closed:
		return nil, errClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.host.addr) }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "sim" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
