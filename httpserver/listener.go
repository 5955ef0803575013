package httpserver

import (
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is the delay after a failed accept, for example for lack of file descriptors; nbhttp would retry
// at once.
const acceptRetryDelay = 50 * time.Millisecond

// listener can stop accepting while its connections are still served. nbhttp has no such state: once stopped it
// closes all connections, and until then it accepts in a loop.
type listener struct {
	net.Listener
	// accept is Options.Accept.
	accept func() (received func(), ok bool)
	// received holds what accept returned for connections that are not open yet, by the address of the client.
	received                 sync.Map
	stopping, closed         chan struct{}
	stoppingOnce, closedOnce sync.Once
}

func newListener(l net.Listener, accept func() (func(), bool)) *listener {
	return &listener{Listener: l, accept: accept, stopping: make(chan struct{}), closed: make(chan struct{})}
}

// Accept implements net.Listener. Once accepting has stopped, it blocks until Close.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.acceptWanted()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.stopping:
		<-l.closed
	case <-l.closed:
	case <-time.After(acceptRetryDelay):
	}
	return nil, err
}

// acceptWanted returns the next connection that is accepted.
func (l *listener) acceptWanted() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if received, ok := l.accept(); ok {
			l.received.Store(c.RemoteAddr().String(), received)
			return c, nil
		}
		// The connection is given up in any case.
		_ = c.Close()
	}
}

// takeReceived returns what accept returned for a client's connection.
func (l *listener) takeReceived(client net.Addr) func() {
	if received, ok := l.received.LoadAndDelete(client.String()); ok {
		return received.(func())
	}
	return func() {}
}

func (l *listener) stopAccepting() {
	l.stoppingOnce.Do(func() {
		close(l.stopping)
		_ = l.Listener.Close()
	})
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closedOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
