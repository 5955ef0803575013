package proofs

import (
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// linkPacket is the transmission unit of a VM's link, in bytes. As many packets of one connection as linkWindow may be on
	// their way in one direction; on a new one firstWindow, and one more for each that has arrived (slow start).
	linkPacket  = 4 << 10
	linkWindow  = 16
	firstWindow = 4
)

// vmLink is the network link of a VM: all connections that are relayed over it share its rate, in the order in which they send.
type vmLink struct {
	t              *testing.T
	bytesPerSecond float64
	in, out        linkQueue
}

// linkQueue is one direction of a link.
type linkQueue struct {
	mu   sync.Mutex
	free time.Time
}

func newVMLink(t *testing.T, bytesPerSecond float64) *vmLink {
	return &vmLink{t: t, bytesPerSecond: bytesPerSecond}
}

// transmit returns when n bytes that are sent now have gone over one direction of the link.
func (l *vmLink) transmit(q *linkQueue, n int) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := time.Now(); q.free.Before(now) {
		q.free = now
	}
	q.free = q.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return q.free
}

// relayIn listens for connections to the VM and returns the address to connect to.
func (l *vmLink) relayIn(target string) (addr string) { return l.relay(target, &l.in, &l.out) }

// relayOut listens for connections from the VM and returns the address to connect to.
func (l *vmLink) relayOut(target string) (addr string) { return l.relay(target, &l.out, &l.in) }

// relay passes on connections to target; what their openers send goes over the direction up, the rest over down.
func (l *vmLink) relay(target string, up, down *linkQueue) string {
	l.t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go l.serve(c, target, up, down)
		}
	}()
	return lis.Addr().String()
}

func (l *vmLink) serve(opener net.Conn, target string, up, down *linkQueue) {
	defer func() { _ = opener.Close() }()
	time.Sleep(time.Until(l.transmit(up, 1)))
	accepter, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = accepter.Close() }()
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(opener, accepter, up) })
	pumps.Go(func() { l.pump(accepter, opener, down) })
	pumps.Wait()
}

// packet is what is on its way over a link.
type packet struct {
	data    []byte
	arrives time.Time
}

// pump copies over one direction of the link until from ends, then closes to.
func (l *vmLink) pump(from, to net.Conn, q *linkQueue) {
	onWay := make(chan packet, linkWindow)
	window := make(chan struct{}, linkWindow)
	open := func(packets int) {
		for range packets {
			select {
			case window <- struct{}{}:
			default:
			}
		}
	}
	open(firstWindow)
	go func() {
		defer close(onWay)
		for range window {
			data := make([]byte, linkPacket)
			n, err := from.Read(data)
			if n > 0 {
				onWay <- packet{data[:n], l.transmit(q, n)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range onWay {
		time.Sleep(time.Until(p.arrives))
		if _, err := to.Write(p.data); err != nil {
			_ = from.Close()
		}
		open(2)
	}
	close(window)
	_ = to.Close()
}
