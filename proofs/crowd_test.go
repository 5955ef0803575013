package proofs

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

const (
	// contactTime is the time in which a gateway that says that it is ready takes a new connection, while at least
	// contactClients try. From as long after the beginning on it serves usualShare of what it usually does.
	contactTime    = 3 * time.Second
	contactClients = 7
	usualShare     = 0.75
	// quotaWarmUp is how long requests are spread before they gather, gatheringTime how long they gather at one gateway, and
	// gatheringPause how long they are spread before they do again.
	quotaWarmUp, gatheringTime, gatheringPause = 13 * time.Second, 8 * time.Second, 3 * time.Second
	gatherings                                 = 2
	// thinkTime is the mean time between two requests of a client, requestsPerConn the mean number that it sends on one
	// connection, and crowdPatience how long it waits for an answer.
	requestsPerConn = 3
	thinkTime       = 2 * time.Second
	crowdPatience   = 1500 * time.Millisecond
	// bodyPatience is the same for requests with bodies.
	bodyPatience = 3600 * time.Millisecond
)

// interval is a part of the time of a test.
type interval struct{ start, end time.Time }

func (i interval) holds(at time.Time) bool { return !at.Before(i.start) && at.Before(i.end) }

// try is one request that a client sent to a gateway.
type try struct {
	gateway      *clusterGateway
	began, ended time.Time
	// connects is set if the client opened a connection for it, abandoned if it gave up waiting.
	connects, abandoned bool
	status              int
}

// crowd is many clients that keep connections for some requests each, and go to another gateway once if one fails.
type crowd struct {
	c       *gatewayCluster
	clients int
	// gateways are those of the cluster, or the addresses at which they are reached and, without an address, others that serve
	// all that they get.
	gateways []*clusterGateway
	// bodyBytes is the size of the body of one request in bodyOneIn, unless that is zero.
	bodyBytes, bodyOneIn int
	// connectsAlways is set if each request comes on a connection of its own.
	connectsAlways bool
	// restarts is set if the gateway restarts before requests gather there.
	restarts bool
	// gathered is the gateway to which most new connections go; nil if they are spread.
	gathered atomic.Pointer[clusterGateway]

	mu    sync.Mutex
	tries []try
}

// gatherTwice runs the clients and returns when their requests gathered at the first gateway, and when they were spread
// before.
func (w *crowd) gatherTwice() (gathered []interval, usual interval) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	usual.start = time.Now()
	for i := range w.clients {
		clients.Go(func() { w.client(i, stop) })
	}
	time.Sleep(quotaWarmUp)
	usual.end = time.Now()
	for range gatherings {
		if w.restarts {
			w.c.gateways[0].proc.kill()
			w.c.gateways[0].proc.restart()
			await(w.c.t, startBound, "http://"+w.c.gateways[0].ready+site.ReadyPath)
		}
		w.gathered.Store(w.gateways[0])
		g := interval{start: time.Now()}
		time.Sleep(gatheringTime)
		w.gathered.Store(nil)
		g.end = time.Now()
		gathered = append(gathered, g)
		time.Sleep(gatheringPause)
	}
	close(stop)
	clients.Wait()
	return gathered, usual
}

// choose returns the gateway to which the load balancer sends a new connection, other than one that has just failed.
func (w *crowd) choose(rng *rand.Rand, failed *clusterGateway) *clusterGateway {
	if g := w.gathered.Load(); g != nil && g != failed && rng.IntN(gatheredOneIn) != 0 {
		return g
	}
	for {
		if g := w.gateways[rng.IntN(len(w.gateways))]; g != failed {
			return g
		}
	}
}

// client sends requests, up to a number of them over one connection, until stop.
func (w *crowd) client(i int, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(uint64(i), 57))
	var g *clusterGateway
	var pool *upstream.Pool
	left := 0
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(thinkTime))):
		}
		if left == 0 {
			g, pool, left = w.choose(rng, nil), upstream.New(upstream.Options{}), 1+rng.IntN(2*requestsPerConn)
		}
		if w.connectsAlways {
			left = 1
		}
		id := fmt.Sprint("crowd-", i, "-", k)
		left--
		body := w.body(rng)
		if !w.send(pool, g, id, body) {
			left = 0
			w.send(upstream.New(upstream.Options{}), w.choose(rng, g), id+"-again", body)
		}
		if left == 0 {
			pool.CloseIdle(g.callers)
		}
	}
}

// body returns the body of the next request of a client.
func (w *crowd) body(rng *rand.Rand) []byte {
	if w.bodyOneIn == 0 || rng.IntN(w.bodyOneIn) != 0 {
		return nil
	}
	return make([]byte, w.bodyBytes)
}

// send sends one request and reports whether it was served.
func (w *crowd) send(pool *upstream.Pool, g *clusterGateway, id string, body []byte) bool {
	if g.callers == "" {
		return true
	}
	a := try{gateway: g, began: time.Now()}
	dialed := pool.Dialed()
	method, patience := http.MethodGet, crowdPatience
	if len(body) > 0 {
		method, patience = http.MethodPost, bodyPatience
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	h := http.Header{
		site.Credentials: {"Token " + w.c.keys.use()}, site.RequestID: {id},
		site.Deadline: {strconv.FormatInt(patience.Milliseconds(), 10)},
	}
	res, err := pool.Do(ctx, g.callers, &upstream.Request{Method: method, Target: "/safe/" + id, Host: routeHost, Header: h, Body: body})
	if err == nil {
		a.status = res.Status
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	a.ended, a.abandoned, a.connects = time.Now(), ctx.Err() != nil, pool.Dialed() > dialed
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tries = append(w.tries, a)
	return a.status == http.StatusOK
}

// served returns the share of the requests of a time at a gateway that were served; of those that it read only, if
// readOnly is set.
func (w *crowd) served(during interval, g *clusterGateway, readOnly bool) float64 {
	served, all := 0, 0
	for _, a := range w.tries {
		unread := a.status == 0 && !a.abandoned
		if a.gateway != g || !during.holds(a.began) || readOnly && unread {
			continue
		}
		all++
		if a.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(all, 1))
}

// longestWithoutConnection returns the longest time in which a gateway answered nobody on a new connection, and how many
// tried.
func (w *crowd) longestWithoutConnection(g *clusterGateway) (tries int, longest time.Duration) {
	slices.SortFunc(w.tries, func(a, b try) int { return a.ended.Compare(b.ended) })
	var last time.Time
	waiting := 0
	for _, a := range w.tries {
		if a.gateway != g || !a.connects && a.status > 0 {
			continue
		}
		waiting++
		if a.status == 0 {
			continue
		}
		if since := a.ended.Sub(last); !last.IsZero() && since > longest && waiting >= contactClients {
			tries, longest = waiting, since
		}
		last, waiting = a.ended, 0
	}
	return tries, longest
}

// checkServed runs the clients, and checks that the first gateway serves enough of what comes while requests gather there, of what it
// read only if readOnly is set, and that it takes connections all the while.
func (w *crowd) checkServed(t *testing.T, readOnly bool) {
	gathered, usual := w.gatherTwice()
	g := w.gateways[0]
	before := w.served(usual, g, readOnly)
	for _, from := range gathered {
		during := w.served(interval{from.start.Add(contactTime), from.end}, g, readOnly)
		t.Logf("served %.2f before, %.2f while gathered", before, during)
		assert.Check(t, during >= usualShare*before, "served %.2f of %.2f", during, before)
	}
	tries, since := w.longestWithoutConnection(g)
	t.Logf("no new connection taken for %v, of %d", since, tries)
	assert.Check(t, since <= contactTime || tries < contactClients, "took none of %d new connections in %v", tries, since)
}
