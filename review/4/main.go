// Command 4 runs streams that may run once, on engines that keep backups of runs. Some engines lose the answers of some
// requests that they run: the connection is reset, and the run goes on to its end.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/review/stand2"
)

const (
	length    = 20 * time.Second
	perSecond = 18
	// The answers are lost for four seconds, at half of the engines, of two requests in five that they run.
	from, until = 6 * time.Second, 10 * time.Second
	// overlap is how long the replica before may still work.
	overlap = 400 * time.Millisecond
)

func main() { stand2.Main(os.Args[1], run) }

func run(p *stand2.Platform) (int, error) {
	// An event of 11 tokens each 165 ms: 15 ms a token, as with many requests in the batch.
	if err := p.AddEngines(3, 6, "v1", 165*time.Millisecond); err != nil {
		return 0, err
	}
	if err := p.PutManifest(stand2.Manifest(7, stand2.Route("r-zji9n73", "/lohu930/", "stream", stand2.Model, 1, false, 14000, 900))); err != nil {
		return 0, err
	}
	start := time.Now()
	if stand2.Trouble() {
		for _, r := range p.Replicas[3:6] {
			n := 0
			var mu sync.Mutex
			r.LosesAnswer = func(string) bool {
				mu.Lock()
				defer mu.Unlock()
				n++
				at := time.Since(start)
				return at >= from && at < until && n%5 < 2
			}
		}
	}
	if err := p.AddGateways(4, nil); err != nil {
		return 0, err
	}
	start = time.Now()
	var clients sync.WaitGroup
	for i := 0; time.Since(start) < length; i++ {
		clients.Go(func() {
			q := stand2.Request{
				ID: fmt.Sprintf("%016x", 0x1c41d07be2a30000+i), Host: stand2.Host, Path: "/lohu930/2f", Method: "POST", Prompt: 1460, Out: 170,
				Part: "5c1e07a2", Deadline: 14 * time.Second, Body: "draft",
			}
			a := stand2.Do(p.Gateways[i%len(p.Gateways)].Front, q)
			p.Note("client request=%s status=%d events=%d whole=%t err=%v", q.ID, a.Status, len(a.Events), a.Whole, a.Err)
		})
		time.Sleep(time.Second / perSecond)
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	return twice(p), nil
}

// twice counts the requests that went on at another replica while the one before still worked on them.
func twice(p *stand2.Platform) int {
	before, breaks := map[string]stand2.Run{}, 0
	for _, r := range p.Runs() {
		b, ok := before[r.Request]
		if before[r.Request] = r; !ok {
			continue
		}
		if both := b.End.Sub(r.At); both > overlap && r.End.Sub(r.At) > overlap {
			breaks++
			p.Note("TWICE request=%s goes on at server=%s while server=%s works on it for another %v", r.Request, r.Server, b.Server, both.Round(time.Millisecond))
		}
	}
	return breaks
}
