package proofs

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is a TCP relay between two processes that can lose a connection in
// every way that a network can.
type relay struct {
	addr, target string

	mu      sync.Mutex
	lis     net.Listener
	pairs   map[*pair]struct{}
	blocked bool
}

// pair is one relayed connection. Bytes of a silenced direction are swallowed,
// and so is its end.
type pair struct {
	client, server       net.Conn
	upSilent, downSilent atomic.Bool
	// upHeld is locked while bytes towards the server are held back.
	upHeld sync.Mutex
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{addr: lis.Addr().String(), target: target, lis: lis, pairs: make(map[*pair]struct{})}
	go r.accept()
	t.Cleanup(r.end)
	return r
}

// end has nothing listen at the relay's address any more, and cuts all connections.
func (r *relay) end() {
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
	p := &pair{client: client, server: server}
	r.mu.Lock()
	if r.blocked {
		p.silence(true, true)
	}
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { pump(client, server, &p.upSilent, &p.upHeld) })
	wg.Go(func() { pump(server, client, &p.downSilent, new(sync.Mutex)) })
	wg.Wait()
	_ = client.Close()
	_ = server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// pump copies until from ends, and passes the end on unless silenced.
func pump(from, to net.Conn, silent *atomic.Bool, held sync.Locker) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		wait(held)
		if n > 0 && !silent.Load() {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	if !silent.Load() {
		_ = to.Close()
	}
}

// wait returns when nobody holds l.
func wait(l sync.Locker) {
	l.Lock()
	defer l.Unlock()
}

func (p *pair) silence(up, down bool) {
	p.upSilent.Store(up)
	p.downSilent.Store(down)
}

// silence makes the connections of now silent for good; new ones work. Up is
// from the side that dialled.
func (r *relay) silence(up, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silence(up, down)
	}
}

// hold keeps back what is sent towards the server on the connections of now; the
// function that it returns lets it arrive late.
func (r *relay) hold() (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var held []*pair
	for p := range r.pairs {
		p.upHeld.Lock()
		held = append(held, p)
	}
	return func() {
		for _, p := range held {
			p.upHeld.Unlock()
		}
	}
}

// block makes present and new connections silent until unblock, after which new
// ones work.
func (r *relay) block() {
	r.mu.Lock()
	r.blocked = true
	r.mu.Unlock()
	r.silence(true, true)
}

// cut closes the connections of now.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		_ = p.client.Close()
		_ = p.server.Close()
	}
}

// cutSilent closes the connections that were silenced for good, as a network does that is
// well again.
func (r *relay) cutSilent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		if p.upSilent.Load() || p.downSilent.Load() {
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
