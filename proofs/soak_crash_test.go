package proofs

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

const (
	// deadly begins the bodies of requests that crash the servers that run them.
	deadly = "deadly "
	// mayEnd is how many servers may end under one of them before it has to be known, within contact, and moreSends
	// in how many sends it may reach servers after that.
	mayEnd, moreSends = 3, 3
	contact           = 3*time.Second + longestFault
	// strikePause is the mean pause between two sends of one of them.
	strikePause = 300 * time.Millisecond
)

// strikers are requests that crash servers and are sent again and again, through any gateway.
type strikers struct {
	w    *siteWatch
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	count int
	// reached is when each of them reached servers, in order; losses counts when all gateways were killed, and what
	// they knew was lost if the store was out as well.
	reached map[string][]reach
	losses  int
}

// reach is a request that reached a server.
type reach struct {
	id   string
	at   time.Time
	ends bool
}

func newStrikers(w *siteWatch) *strikers {
	return &strikers{w: w, stop: make(chan struct{}), reached: map[string][]reach{}}
}

// begin adds a request that comes again until the end.
func (x *strikers) begin(seed uint64) {
	x.mu.Lock()
	x.count++
	body := fmt.Sprint(deadly, x.count)
	x.mu.Unlock()
	x.wg.Go(func() { x.run(body, rand.New(rand.NewPCG(seed, 2))) })
}

func (x *strikers) run(body string, rng *rand.Rand) {
	routes := []string{"safe", "unsafe", "draft", "resume"}
	route := routes[rng.IntN(len(routes))]
	for k := 0; ; k++ {
		select {
		case <-x.stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * strikePause)))):
		}
		q := siteAsk{id: fmt.Sprintf("%s-%s-%d", route, body, k), route: route, target: "/" + route + "/" + body[len(deadly):], body: body}
		x.w.ask(x.w.c.gateways[rng.IntN(len(x.w.c.gateways))], q)
	}
}

// called notes a call at a server.
func (x *strikers) called(c site.Call) {
	if len(c.Body) < len(deadly) || c.Body[:len(deadly)] != deadly || c.Refused {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reached[c.Body] = append(x.reached[c.Body], reach{c.ID, time.Now(), c.Kind != site.Prefill})
}

// lost notes that all gateways were killed.
func (x *strikers) lost() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.losses++
}

// judge ends all and checks how often each reached servers after it had to be known.
func (x *strikers) judge() {
	close(x.stop)
	x.wg.Wait()
	x.w.c.crashes.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	allowed := moreSends * (1 + x.losses)
	for body, list := range x.reached {
		ends, more, third := 0, map[string]bool{}, time.Time{}
		for _, r := range list {
			if r.ends {
				ends++
			}
			switch {
			case ends == mayEnd && third.IsZero():
				third = r.at
			case !third.IsZero() && r.at.Sub(third) > contact:
				more[r.id] = true
			}
		}
		x.w.c.t.Logf("%s: %d servers ended, %d sends reached servers after it had to be known", body, ends, len(more))
		assert.Check(x.w.c.t, len(more) <= allowed, "%s was sent to servers %d times more, %d ended in all", body, len(more), ends)
	}
}

// crashed replaces a server that has ended under a request.
func (c *siteCluster) crashed(s *siteServer) {
	c.mu.Lock()
	s.dead = true
	c.mu.Unlock()
	c.retire(s)
	s.relay.end()
	c.addServer(s.service, s.stage)
	c.store.Put("servers", s.ID, nil)
}
