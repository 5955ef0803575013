package load

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
)

// prepareAhead is how many requests are prepared before they are due.
const prepareAhead = 64

// Run is one run of the load generator.
type Run struct {
	Flows []Flow
	// Load multiplies the rates of the flows.
	Load float64
	// Length is the duration of the arrivals; the run continues until all requests have
	// ended.
	Length time.Duration
	Seed   uint64
	// Tag distinguishes the request ids of this run from those of others with the same
	// seed.
	Tag string
	// Observe, if set, is called concurrently before each request is sent and with each
	// result.
	Observe Observer
}

// Observer observes the requests of a run, for example to check invariants.
type Observer interface {
	Sent(r *Request)
	Ended(r *Request, res Result)
}

// Do offers the load through c and returns the results in the order of their arrivals. It
// returns early, with the results so far, when ctx is done.
func (run Run) Do(ctx context.Context, c *Client) []Result {
	arrivals := Schedule(run.Flows, run.Load, run.Length, run.Seed)
	ready := run.prepare(ctx, arrivals)
	results := make([]Result, len(arrivals))
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		req := <-ready
		if req == nil || !sleep.For(ctx, time.Until(start.Add(a.At))) {
			results = results[:i]
			break
		}
		wg.Go(func() { results[i] = run.send(ctx, c, req, a, start.Add(a.At)) })
	}
	wg.Wait()
	return results
}

func (run Run) send(ctx context.Context, c *Client, req *Request, a Arrival, due time.Time) Result {
	if run.Observe != nil {
		run.Observe.Sent(req)
	}
	res := c.Do(ctx, req, due)
	res.Flow, res.At = a.Flow, a.At
	if run.Observe != nil {
		run.Observe.Ended(req, res)
	}
	return res
}

// prepare builds the requests in order, ahead of their due times.
func (run Run) prepare(ctx context.Context, arrivals []Arrival) <-chan *Request {
	ready := make(chan *Request, prepareAhead)
	go func() {
		defer close(ready)
		for _, a := range arrivals {
			select {
			case ready <- NewRequest(run.Flows[a.Flow].Class, a.Seed, run.Tag):
			case <-ctx.Done():
				return
			}
		}
	}()
	return ready
}
