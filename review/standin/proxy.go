package main

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to a target. It can make them silent, or reset them.
type proxy struct {
	addr, target string
	// rewrite changes what passes towards the target (up) or back; nil changes nothing.
	rewrite func(b []byte, up bool) []byte
	// silent drops all that passes on connections that are open or will be opened.
	silent atomic.Bool

	lis   net.Listener
	mu    sync.Mutex
	conns map[*proxied]struct{}
}

// proxied is one connection through a proxy.
type proxied struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newProxy(h *host, addr, target string) *proxy {
	lis, err := net.Listen("tcp", addr)
	must(err)
	p := &proxy{addr: lis.Addr().String(), target: target, lis: lis, conns: map[*proxied]struct{}{}}
	h.Cleanup(p.close)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// close ends listening and resets the open connections.
func (p *proxy) close() {
	_ = p.lis.Close()
	p.resetAll()
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	x := &proxied{client: client, server: server}
	p.mu.Lock()
	p.conns[x] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(x, client, server, true) })
	both.Go(func() { p.pump(x, server, client, false) })
	both.Wait()
	if x.silent.Load() {
		// The other side hears nothing, not even the end.
		return
	}
	p.forget(x)
}

func (p *proxy) forget(x *proxied) {
	_ = x.client.Close()
	_ = x.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, x)
}

func (p *proxy) pump(x *proxied, from, to net.Conn, up bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.dropped(x) {
			b := buf[:n]
			if p.rewrite != nil {
				b = p.rewrite(b, up)
			}
			if _, werr := to.Write(b); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	if !p.dropped(x) {
		_ = to.Close()
	}
}

// dropped reports whether nothing passes on a connection. One that was silent stays so.
func (p *proxy) dropped(x *proxied) bool {
	if p.silent.Load() {
		x.silent.Store(true)
	}
	return x.silent.Load()
}

// silenceOpen makes the open connections silent for good; new ones work.
func (p *proxy) silenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.conns {
		x.silent.Store(true)
	}
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.conns {
		for _, c := range []net.Conn{x.client, x.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// peerNet is the network between gateways. Each gateway reaches each other one through a proxy of its own, so that one can
// be cut off: the proxy translates the addresses that gateways tell each other, like a translating router.
type peerNet struct {
	count, control int
	pattern        *regexp.Regexp
	cut            [10]atomic.Bool
	proxies        []*peerProxy
}

type peerProxy struct {
	*proxy
	from, to int
}

// realIP is the address at which a gateway listens, seenIP that at which another gateway reaches it. Their lengths are the
// same, and their order is that of the gateways.
func realIP(number int) string       { return fmt.Sprintf("127.%d.10.1", number) }
func seenIP(number, from int) string { return fmt.Sprintf("127.%d.2%d.1", number, from) }

func newPeerNet(h *host, count, control, datagrams int) *peerNet {
	n := &peerNet{count: count, control: control, pattern: regexp.MustCompile(`127\.(\d)\.\d\d\.1:` + strconv.Itoa(control))}
	for from := 1; from <= count; from++ {
		for to := 1; to <= count; to++ {
			if from != to {
				n.connect(h, from, to, datagrams)
			}
		}
	}
	return n
}

func (n *peerNet) connect(h *host, from, to, datagrams int) {
	p := newProxy(h, fmt.Sprintf("%s:%d", seenIP(to, from), n.control), fmt.Sprintf("%s:%d", realIP(to), n.control))
	p.rewrite = func(b []byte, up bool) []byte {
		if up {
			return n.translate(b, to)
		}
		return n.translate(b, from)
	}
	n.proxies = append(n.proxies, &peerProxy{proxy: p, from: from, to: to})
	in, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(seenIP(to, from)), Port: datagrams})
	must(err)
	h.Cleanup(func() { _ = in.Close() })
	go n.forward(in, &net.UDPAddr{IP: net.ParseIP(realIP(to)), Port: datagrams}, from, to)
}

func (n *peerNet) forward(in *net.UDPConn, target *net.UDPAddr, from, to int) {
	buf := make([]byte, 64<<10)
	for {
		k, _, err := in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if !n.cut[from].Load() && !n.cut[to].Load() {
			_, _ = in.WriteToUDP(n.translate(buf[:k], to), target)
		}
	}
}

// translate replaces the addresses of gateways by those at which a gateway reaches them; its own one is its real one.
func (n *peerNet) translate(b []byte, viewer int) []byte {
	return n.pattern.ReplaceAllFunc(b, func(m []byte) []byte {
		number := int(m[4] - '0')
		ip := seenIP(number, viewer)
		if number == viewer {
			ip = realIP(number)
		}
		return fmt.Appendf(nil, "%s:%d", ip, n.control)
	})
}

// maxSeeds is the most seeds that the platform states.
const maxSeeds = 3

// seedsOf returns the control addresses of other gateways as one reaches them.
func (n *peerNet) seedsOf(number int) (seeds []string) {
	for other := 1; other <= n.count && len(seeds) < maxSeeds; other++ {
		if other != number {
			seeds = append(seeds, fmt.Sprintf("%s:%d", seenIP(other, number), n.control))
		}
	}
	return seeds
}

// cutOff cuts a gateway off from all others, or heals that. Connections that were open stay so and are silent.
func (n *peerNet) cutOff(number int, cut bool) {
	n.cut[number].Store(cut)
	for _, p := range n.proxies {
		if p.from == number || p.to == number {
			p.silent.Store(cut)
		}
	}
}
