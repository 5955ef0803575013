// Command 8 has streams in progress whose connections go silent, while the first engine of the next software version starts.
// All gateways lose their power for a moment, and the clients take their streams up.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusspur/hibiscusspur/review/stand2"
)

const (
	streams = 18
	// warmUp is for how long the gateways have run when the streams begin.
	warmUp = 34 * time.Second
	// The power is lost for as long as on a day of the site.
	down = 650 * time.Millisecond
	// gap is how long a client waits for the next event: four times the objective.
	objectiveMs = 1000
	gap         = 4 * objectiveMs * time.Millisecond
	timeLimit   = 14 * time.Second
	// tries is how often a client takes its stream up, at another gateway each time, as it is told when to come back.
	tries = 3
)

func main() { stand2.Main(os.Args[1], run) }

func run(p *stand2.Platform) (int, error) {
	const eventEvery = 165 * time.Millisecond
	if err := p.AddEngines(3, 3, "v1", eventEvery); err != nil {
		return 0, err
	}
	if err := p.PutManifest(stand2.Manifest(7, stand2.Route("r-hh2b9wu", "/pufi791/", "stream", stand2.Model, 2, true, 14000, objectiveMs))); err != nil {
		return 0, err
	}
	if err := p.AddGateways(3, nil); err != nil {
		return 0, err
	}
	time.Sleep(warmUp)
	silence := make(chan struct{})
	var work sync.WaitGroup
	var taken, wentOn, begun atomic.Int64
	for i := range streams {
		work.Go(func() {
			end := time.Now().Add(timeLimit)
			q := request(fmt.Sprintf("%02d-first", i), timeLimit)
			a := silent(p.Gateways[i%len(p.Gateways)].Front, q, silence)
			p.Note("client request=%s status=%d events=%d whole=%t", q.ID, a.Status, len(a.Events), a.Whole)
			if a.Whole || len(a.Events) == 0 {
				return
			}
			taken.Add(1)
			if takeUp(p, i, q.ID, a.Events[len(a.Events)-1].ID, end) {
				wentOn.Add(1)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	close(silence)
	p.Note("the connections of clients go silent")
	if stand2.Trouble() {
		for _, g := range p.Gateways {
			g.Kill()
		}
		p.Note("all gateways have lost power")
	}
	if err := p.Add(stand2.NewEngine(50, "decode", eventEvery), "v2"); err != nil {
		return 0, err
	}
	if stand2.Trouble() {
		time.Sleep(down)
		for _, g := range p.Gateways {
			if err := g.Start(); err != nil {
				return 0, err
			}
		}
	}
	time.Sleep(gap)
	for i := range streams {
		work.Go(func() {
			q := request(fmt.Sprintf("%02d-new", i), timeLimit)
			if a := stand2.Do(p.Gateways[i%len(p.Gateways)].Front, q); len(a.Events) > 0 {
				begun.Add(1)
			}
		})
	}
	work.Wait()
	p.Note("taken up: %d, went on: %d; new streams: %d, begun: %d", taken.Load(), wentOn.Load(), streams, begun.Load())
	if taken.Load() < enough {
		return 0, fmt.Errorf("only %d streams were taken up", taken.Load())
	}
	// The share that goes on is under half of the share of new streams that begin.
	if 2*wentOn.Load()*streams < taken.Load()*begun.Load() {
		return 1, nil
	}
	return 0, nil
}

// enough is the number of streams that are taken up from which the rule holds.
const enough = 12

// takeUp has a client take a stream up, and reports whether it goes on.
func takeUp(p *stand2.Platform, i int, resumes string, after int, end time.Time) bool {
	for try := range tries {
		q := request(fmt.Sprintf("%02d-again-%d", i, try), time.Until(end))
		q.Resumes, q.LastEvent = resumes, strconv.Itoa(after)
		a := stand2.Do(p.Gateways[(i+try+1)%len(p.Gateways)].Front, q)
		wait := a.Header.Get("Retry-After")
		p.Note("client request=%s resumes=%s after=%d status=%d events=%d whole=%t retry_after=%s err=%v", q.ID, resumes, after, a.Status, len(a.Events), a.Whole, wait, a.Err)
		if len(a.Events) > 0 {
			return true
		}
		seconds, _ := strconv.ParseFloat(wait, 64)
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
	return false
}

func request(id string, limit time.Duration) stand2.Request {
	return stand2.Request{
		ID: id, Host: stand2.Host, Path: "/pufi791/2f", Method: "POST", Prompt: 1460, Out: 500, Part: "5c1e07a2", Deadline: limit, Body: "draft",
	}
}

// silent makes a request over a connection that goes silent, and is not reset, once silence is closed. The client abandons its
// attempt when nothing has come for a while.
func silent(front string, q stand2.Request, silence <-chan struct{}) stand2.Answer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return stand2.Answer{Err: err}
	}
	defer func() { _ = l.Close() }()
	go relay(l, front, silence)
	return stand2.Do(l.Addr().String(), q)
}

// relay passes the bytes of one connection on until silence is closed.
func relay(l net.Listener, front string, silence <-chan struct{}) {
	client, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", front)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() { _, _ = io.Copy(server, client) }()
	buf := make([]byte, 32<<10)
	for {
		_ = server.SetReadDeadline(time.Now().Add(gap))
		n, err := server.Read(buf)
		select {
		case <-silence:
			time.Sleep(gap)
			return
		default:
		}
		if n > 0 {
			_, _ = client.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}
