package proofs

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is a TCP relay between two processes that injects network faults: it cuts, blocks, delays or silently
// drops the traffic of connections.
type relay struct {
	addr, target string

	mu      sync.Mutex
	lis     net.Listener
	conns   map[*relayedConn]struct{}
	blocked bool
}

// relayedConn is one relayed connection. In a dropped direction both the data and the end of the stream are
// discarded.
type relayedConn struct {
	client, server         net.Conn
	upDropped, downDropped atomic.Bool
	// upDelayed is locked while data towards the server is delayed.
	upDelayed sync.Mutex
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{addr: lis.Addr().String(), target: target, lis: lis, conns: make(map[*relayedConn]struct{})}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

// close stops listening at the relay's address and closes all connections.
func (r *relay) close() {
	_ = r.lis.Close()
	r.cut()
}

func (r *relay) accept() {
	for {
		c, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &relayedConn{client: client, server: server}
	r.mu.Lock()
	if r.blocked {
		p.drop(true, true)
	}
	r.conns[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { pump(client, server, &p.upDropped, &p.upDelayed) })
	wg.Go(func() { pump(server, client, &p.downDropped, new(sync.Mutex)) })
	wg.Wait()
	_ = client.Close()
	_ = server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, p)
}

// pump copies from one connection to the other until from ends, and passes the end on unless the direction is
// dropped.
func pump(from, to net.Conn, dropped *atomic.Bool, delayed sync.Locker) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		waitUnlocked(delayed)
		if n > 0 && !dropped.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	if !dropped.Load() {
		_ = to.Close()
	}
}

// waitUnlocked blocks until l is unlocked.
func waitUnlocked(l sync.Locker) {
	l.Lock()
	defer l.Unlock()
}

func (p *relayedConn) drop(up, down bool) {
	p.upDropped.Store(up)
	p.downDropped.Store(down)
}

// drop discards all further traffic of the open connections in the given directions; new connections work. Up
// is from the side that dialled.
func (r *relay) drop(up, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.drop(up, down)
	}
}

// delay delays the data sent towards the server on the open connections until release is called.
func (r *relay) delay() (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var delayed []*relayedConn
	for p := range r.conns {
		p.upDelayed.Lock()
		delayed = append(delayed, p)
	}
	return func() {
		for _, p := range delayed {
			p.upDelayed.Unlock()
		}
	}
}

// block drops the traffic of open and new connections until unblock; connections made after that work.
func (r *relay) block() {
	r.mu.Lock()
	r.blocked = true
	r.mu.Unlock()
	r.drop(true, true)
}

// cut closes the open connections.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		_ = p.client.Close()
		_ = p.server.Close()
	}
}

// cutDropped closes the connections whose traffic is dropped, as happens once a network has recovered.
func (r *relay) cutDropped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		if p.upDropped.Load() || p.downDropped.Load() {
			_ = p.client.Close()
			_ = p.server.Close()
		}
	}
}

func (r *relay) unblock() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = false
}
