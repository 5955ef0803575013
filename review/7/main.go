// Command 7 sends streams of clients that wait for as long as it takes: their time limit is the largest number of 64 bits. Each
// follows another request on a kept connection. In the end a gateway is stopped while such streams are in progress.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hibiscusspur/hibiscusspur/review/stand2"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

const (
	clients = 20
	// usual is the time limit of the site's streams in milliseconds, unlimited that of a client that states none.
	usual, unlimited = "14000", "9223372036854775807"
	// allowed is how many kept connections may be closed at any time without an answer to a request that was passed on.
	allowed = 3
)

func main() { stand2.Main(os.Args[1], run) }

func run(p *stand2.Platform) (int, error) {
	if err := p.AddEngines(3, 6, "v1", 36*time.Millisecond); err != nil {
		return 0, err
	}
	if err := p.PutManifest(stand2.Manifest(7, stand2.Route("r-zji9n73", "/lohu930/", "stream", stand2.Model, 1, false, 14000, 900))); err != nil {
		return 0, err
	}
	if err := p.AddGateways(2, nil); err != nil {
		return 0, err
	}
	limit := usual
	if stand2.Trouble() {
		limit = unlimited
	}
	cut := crowd(p, 0, limit, func() {})
	p.Note("kept connections closed without a whole answer: %d, allowed: %d", cut, allowed)
	stopped := crowd(p, 1, limit, func() {
		p.Note("SIGTERM to %s", p.Gateways[1].Node)
		p.Gateways[1].Signal(syscall.SIGTERM)
	})
	p.Note("requests without a whole answer around a planned stop: %d", stopped)
	return max(cut-allowed, 0) + stopped, nil
}

// crowd has clients send two streams each to a gateway, over one connection, the second one with a time limit. Meanwhile, calls
// meanwhile. It returns how many second streams that a replica ran whole did not get a whole answer.
func crowd(p *stand2.Platform, gateway int, limit string, meanwhile func()) int {
	var work, second sync.WaitGroup
	var cut atomic.Int64
	for i := range clients {
		second.Add(1)
		work.Go(func() {
			conn, err := net.Dial("tcp", p.Gateways[gateway].Front)
			if err != nil {
				second.Done()
				return
			}
			defer func() { _ = conn.Close() }()
			br := bufio.NewReader(conn)
			first, later := fmt.Sprintf("%d-%02d-first", gateway, i), fmt.Sprintf("%d-%02d-later", gateway, i)
			whole := ask(p, conn, br, first, usual, func() {})
			if whole = ask(p, conn, br, later, limit, second.Done) && whole; whole {
				return
			}
			for _, r := range p.Runs() {
				if r.Request == later {
					cut.Add(1)
					p.Note("LOST request=%s was run by server=%s for %v and got no whole answer", later, r.Server, r.End.Sub(r.At).Round(time.Millisecond))
				}
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	second.Wait()
	time.Sleep(50 * time.Millisecond)
	meanwhile()
	work.Wait()
	return int(cut.Load())
}

// ask sends one request, calls sent, and reports whether its answer is whole.
func ask(p *stand2.Platform, conn net.Conn, br *bufio.Reader, id, limit string, sent func()) bool {
	_, err := fmt.Fprintf(conn, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 1460,80\r\n%s: 5c1e07a2:200,%x:1260\r\nContent-Length: 0\r\n\r\n",
		stand2.Host, site.RequestID, id, site.Deadline, limit, site.Tokens, site.Parts, id)
	sent()
	if err != nil {
		return false
	}
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		p.Note("client request=%s limit=%s err=%v", id, limit, err)
		return false
	}
	body, err := io.ReadAll(res.Body)
	p.Note("client request=%s limit=%s status=%d bytes=%d err=%v", id, limit, res.StatusCode, len(body), err)
	return err == nil
}
