package capacity

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relay forwards connections to the platform and counts their bytes. It can be cut to make
// the platform unreachable.
type relay struct {
	lis    net.Listener
	target string
	segs   segments
	bytes  atomic.Int64

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newRelay(target string) (*relay, error) {
	r := &relay{target: target, conns: make(map[net.Conn]struct{})}
	var err error
	if r.lis, err = listen(&r.segs, nil); err != nil {
		return nil, err
	}
	go r.serve()
	return r, nil
}

func (r *relay) url() string { return "http://" + r.lis.Addr().String() }

func (r *relay) serve() {
	for {
		c, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *relay) forward(c net.Conn) {
	defer r.closeConn(c)
	if !r.track(c) {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.closeConn(out)
	if !r.track(out) {
		return
	}
	go r.copy(out, c)
	r.copy(c, out)
}

func (r *relay) copy(to, from net.Conn) {
	_, _ = io.Copy(countingWriter{to, &r.bytes}, from)
	_ = to.Close()
}

// countingWriter counts bytes as it writes them, since connections are long-lived.
type countingWriter struct {
	io.Writer
	bytes *atomic.Int64
}

// Write implements io.Writer.
func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.Writer.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	return !r.cut
}

func (r *relay) closeConn(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// setCut closes all connections and refuses new ones, or accepts connections again.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *relay) close() {
	_ = r.lis.Close()
	r.setCut(true)
}
