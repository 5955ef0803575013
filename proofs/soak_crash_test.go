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
	// crashPrefix is the prefix of the bodies of requests that crash the servers that run them.
	crashPrefix = "deadly "
	// maxCrashes is how many servers such a request may crash before it has to be detected, within
	// detectionBound, and maxLateSends in how many sends it may still reach servers after that.
	maxCrashes, maxLateSends = 3, 3
	detectionBound           = 3*time.Second + longestFault
	// crashSendInterval is the mean interval between two sends of one such request.
	crashSendInterval = 300 * time.Millisecond
)

// crashingRequests are requests that crash servers and are sent repeatedly, through any gateway.
type crashingRequests struct {
	w    *gatewayObserver
	stop chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	count int
	// serverCalls are the calls with which each request reached servers, in order; stateLosses counts how often
	// all gateways were killed, which loses their local state if the store is unavailable too.
	serverCalls map[string][]serverCall
	stateLosses int
}

// serverCall is one call of a server by such a request.
type serverCall struct {
	id            string
	at            time.Time
	crashesServer bool
}

func newCrashingRequests(w *gatewayObserver) *crashingRequests {
	return &crashingRequests{w: w, stop: make(chan struct{}), serverCalls: map[string][]serverCall{}}
}

// begin adds a request that is sent repeatedly until the check.
func (x *crashingRequests) begin(seed uint64) {
	x.mu.Lock()
	x.count++
	body := fmt.Sprint(crashPrefix, x.count)
	x.mu.Unlock()
	x.wg.Go(func() { x.run(body, rand.New(rand.NewPCG(seed, 2))) })
}

func (x *crashingRequests) run(body string, rng *rand.Rand) {
	routes := []string{"safe", "unsafe", "draft", "resume"}
	route := routes[rng.IntN(len(routes))]
	for k := 0; ; k++ {
		select {
		case <-x.stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * crashSendInterval)))):
		}
		q := gatewayRequest{id: fmt.Sprintf("%s-%s-%d", route, body, k), route: route, target: "/" + route + "/" + body[len(crashPrefix):], body: body}
		x.w.sendRecorded(x.w.c.gateways[rng.IntN(len(x.w.c.gateways))], q)
	}
}

// recordCall records a call at a server.
func (x *crashingRequests) recordCall(c site.Call) {
	if len(c.Body) < len(crashPrefix) || c.Body[:len(crashPrefix)] != crashPrefix || c.Refused {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.serverCalls[c.Body] = append(x.serverCalls[c.Body], serverCall{c.ID, time.Now(), c.Kind != site.Prefill})
}

// recordStateLoss records that all gateways were killed.
func (x *crashingRequests) recordStateLoss() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stateLosses++
}

// check stops all requests and checks how often each reached servers after it had to be detected.
func (x *crashingRequests) check() {
	close(x.stop)
	x.wg.Wait()
	x.w.c.crashes.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	allowed := maxLateSends * (1 + x.stateLosses)
	for body, list := range x.serverCalls {
		crashes, lateSends, detectable := 0, map[string]bool{}, time.Time{}
		for _, r := range list {
			if r.crashesServer {
				crashes++
			}
			switch {
			case crashes == maxCrashes && detectable.IsZero():
				detectable = r.at
			case !detectable.IsZero() && r.at.Sub(detectable) > detectionBound:
				lateSends[r.id] = true
			}
		}
		x.w.c.t.Logf("%s: %d servers crashed, %d sends reached servers after it had to be detected", body, crashes, len(lateSends))
		assert.Check(x.w.c.t, len(lateSends) <= allowed, "%s reached servers in %d sends after it had to be detected; %d servers crashed in total", body, len(lateSends), crashes)
	}
}

// replaceCrashed replaces a server that a request has crashed.
func (c *gatewayCluster) replaceCrashed(s *clusterServer) {
	c.mu.Lock()
	s.crashed = true
	c.mu.Unlock()
	c.retire(s)
	s.relay.close()
	c.addServer(s.service, s.stage)
	c.store.Put("servers", s.ID, nil)
}
