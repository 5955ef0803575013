package proofs

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// load is a closed-loop load generator: a constant number of callers, each with one request in progress and
// another prompt for each, at entries that report ready, as a load balancer would choose them.
type load struct {
	c      *cluster
	stop   context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup
	health *healthChecker

	mu      sync.Mutex
	results []completedRequest
	sent    atomic.Int64
}

// completedRequest is one finished request of the load.
type completedRequest struct {
	q     modelRequest
	a     answer
	entry string
	start time.Time
}

// healthInterval is the interval between two health checks of the load balancer.
const healthInterval = 100 * time.Millisecond

// startLoad starts n callers; newRequest builds request number i.
func (c *cluster) startLoad(n int, newRequest func(i int) modelRequest) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{c: c, ctx: ctx, stop: cancel, health: newHealthChecker(c.entries)}
	l.wg.Go(func() { l.health.run(ctx) })
	for range n {
		l.wg.Go(func() { l.caller(newRequest) })
	}
	c.t.Cleanup(func() {
		cancel()
		l.wg.Wait()
	})
	return l
}

func (l *load) caller(newRequest func(i int) modelRequest) {
	for l.ctx.Err() == nil {
		i := int(l.sent.Add(1))
		e := l.health.pick(i)
		if e == nil {
			time.Sleep(pollInterval)
			continue
		}
		q, start := newRequest(i), time.Now()
		a := e.do(context.Background(), q)
		l.mu.Lock()
		l.results = append(l.results, completedRequest{q, a, e.id, start})
		l.mu.Unlock()
	}
}

// finish stops the callers, waits for the requests in progress, and returns all results.
func (l *load) finish() []completedRequest {
	l.stop()
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

// mismatches describes the results that are not the whole expected answer.
func mismatches(results []completedRequest) []string {
	var out []string
	for _, e := range results {
		if !e.a.whole || e.a.text != e.q.expectedAnswer() {
			out = append(out, fmt.Sprintf("%s %.20s: %v", e.entry, e.q.prompt, e.a))
		}
	}
	return out
}

// shortRequest is a request with a short answer that differs by i.
func shortRequest(i int) modelRequest {
	return modelRequest{model: "drafting", prompt: promptForTokens(3, 0, fmt.Sprint("short ", i)), stream: i%2 == 0}
}

// healthChecker polls the health of the entries, as a load balancer does.
type healthChecker struct {
	entries []*entry
	ready   []atomic.Bool
}

func newHealthChecker(entries []*entry) *healthChecker {
	h := &healthChecker{entries: entries, ready: make([]atomic.Bool, len(entries))}
	for i := range h.ready {
		h.ready[i].Store(true)
	}
	return h
}

func (h *healthChecker) run(ctx context.Context) {
	t := time.NewTicker(healthInterval)
	defer t.Stop()
	for {
		for i, e := range h.entries {
			h.ready[i].Store(status(e.adminURL+"/healthz") == 200)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (h *healthChecker) pick(i int) *entry {
	for k := range h.entries {
		j := (i + k) % len(h.entries)
		if h.ready[j].Load() {
			return h.entries[j]
		}
	}
	return nil
}
