package proofs

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

const (
	// crashPrefix is the prefix of the bodies of requests that crash the servers that run them.
	crashPrefix = "deadly "
	// crashPart is the prefix of the IDs of the parts of prompts that crash the servers that generate on them.
	crashPart = "bad"
	// maxCrashes is how many servers such a request may crash before it has to be detected, maxPartCrashes how many all
	// requests with such a part may, each within detectionBound, and maxLateSends in how many sends they may still reach
	// servers after that.
	maxCrashes, maxPartCrashes, maxLateSends = 3, 5, 3
	detectionBound                           = 3*time.Second + longestFault
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
	// serverCalls are the calls with which each request, or those with each part, reached servers, in order; stateLosses counts how often
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
	x.repeat(rng, func(k int) gatewayRequest {
		return gatewayRequest{id: fmt.Sprintf("%s-%s-%d", route, body, k), route: route, target: "/" + route + "/" + body[len(crashPrefix):], body: body}
	})
}

// repeat sends requests through any gateway until the check.
func (x *crashingRequests) repeat(rng *rand.Rand, request func(k int) gatewayRequest) {
	for k := 0; ; k++ {
		select {
		case <-x.stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * crashSendInterval)))):
		}
		q := request(k)
		x.w.sendRecorded(x.w.c.gateways[rng.IntN(len(x.w.c.gateways))], q)
	}
}

// beginPart adds requests with a part that crashes servers, no two alike, which are sent until the check.
func (x *crashingRequests) beginPart(seed uint64) {
	x.mu.Lock()
	x.count++
	part := fmt.Sprint(crashPart, x.count)
	x.mu.Unlock()
	x.wg.Go(func() { x.runPart(part, rand.New(rand.NewPCG(seed, 3))) })
}

func (x *crashingRequests) runPart(part string, rng *rand.Rand) {
	place := rng.IntN(maxSharedParts + 1)
	x.repeat(rng, func(k int) gatewayRequest {
		route := []string{"draft", "resume"}[rng.IntN(2)]
		return gatewayRequest{
			id: fmt.Sprintf("%s-%s-%d", route, part, k), route: route, body: fmt.Sprint("question ", part, k),
			parts: slices.Insert(sharedParts(rng), place, part),
		}
	})
}

// maxSharedParts is the number of parts of a prompt that others share.
const maxSharedParts = 2

// sharedParts draws the shared parts of a prompt: one that most have, and one of a few.
func sharedParts(rng *rand.Rand) []string {
	return []string{"f0", fmt.Sprint("d", rng.IntN(5))}
}

// encodeParts is the header with the parts of a prompt and one of the request's own.
func encodeParts(parts []string, id string) string {
	return strings.Join(append(slices.Clone(parts), "own-"+id), ":100,") + ":700"
}

// recordCall records a call at a server.
func (x *crashingRequests) recordCall(c site.Call) {
	if c.Refused || c.Kind == site.Hold {
		return
	}
	name := ""
	if strings.HasPrefix(c.Body, crashPrefix) {
		name = c.Body
	} else if name = c.PartWithPrefix(crashPart); name == "" {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.serverCalls[name] = append(x.serverCalls[name], serverCall{c.ID, time.Now(), c.Kind != site.Prefill})
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
		enough := maxCrashes
		if strings.HasPrefix(body, crashPart) {
			enough = maxPartCrashes
		}
		for _, r := range list {
			if r.crashesServer {
				crashes++
			}
			switch {
			case crashes == enough && detectable.IsZero():
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
