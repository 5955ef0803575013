package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// Figures of the case; times are after the start.
const (
	// drainCutAt is when one gateway is cut off, drainHealAt when that is over, and drainTouchAt when it has been in touch
	// again for a while.
	drainCutAt   = 5 * time.Second
	drainHealAt  = drainCutAt + 7200*time.Millisecond
	drainTouchAt = drainHealAt + contact + 300*time.Millisecond
	// drainGoneAt is when a replica that never says that it drains leaves the list; it serves on for many seconds.
	drainGoneAt = drainHealAt - 1500*time.Millisecond
	// drainExitAt is when that replica exits.
	drainExitAt = drainTouchAt + 3*time.Second
	drainEnd    = drainTouchAt + 5*time.Second
	// drainBound is how long after the store's ack a request may still reach the replica.
	drainBound = 2 * time.Second
	// callers is the number of clients of each gateway.
	callers = 10
	// callInterval is the pause between two calls of one client.
	callInterval = 60 * time.Millisecond
)

// playDrain cuts one gateway off, and lets a replica leave the list shortly before that is over. Clients call all gateways all
// the while.
func playDrain(s *scene) int {
	gone, exit := s.addPlain()
	for range 2 {
		s.addPlain()
	}
	s.writeManifest()
	s.startGateways(gateways)
	lone := s.gateways[gateways-1]
	ctx, stop := context.WithTimeout(context.Background(), time.Until(s.start.Add(drainEnd)))
	defer stop()
	late := s.watchLate(gone, fmt.Sprintf("%d-", lone.number))
	var clients sync.WaitGroup
	for _, g := range s.gateways {
		for i := range callers {
			clients.Go(func() { s.call(ctx, g, i) })
		}
	}
	s.sleepUntil(drainCutAt)
	if s.trouble {
		s.isolate(lone, true)
		s.note("edge-%d is cut off from the store and from all other gateways", lone.number)
	}
	s.sleepUntil(drainGoneAt)
	s.store.Put("servers", gone, nil)
	s.note("the store drops the entry of %s", gone)
	s.sleepUntil(drainHealAt)
	if s.trouble {
		s.isolate(lone, false)
		s.note("edge-%d is no longer cut off", lone.number)
	}
	s.sleepUntil(drainExitAt)
	exit()
	clients.Wait()
	n := late()
	s.note("%d requests reached %s more than %v after the store had dropped it, sent on by machines in touch", n, gone, drainBound)
	return n
}

// watchLate counts the requests that reach a replica later than allowed. Those of one gateway, whose IDs have a prefix, count
// only once it is in touch again.
func (s *scene) watchLate(gone, prefix string) (late func() int) {
	var mu sync.Mutex
	n := 0
	s.log.Watch(func(c site.Call) {
		at := time.Since(s.start)
		if c.Server != gone || c.Kind != site.Plain || at <= drainGoneAt {
			return
		}
		inTouch := !strings.HasPrefix(c.ID, prefix) || at >= drainTouchAt
		s.note("%s reaches %s %v after its entry was dropped; in touch: %v", c.ID, gone, (at - drainGoneAt).Round(time.Millisecond), inTouch)
		if inTouch && at > drainGoneAt+drainBound {
			mu.Lock()
			defer mu.Unlock()
			n++
		}
	})
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

// call sends unsafe calls to a gateway over one kept connection until ctx ends.
func (s *scene) call(ctx context.Context, g *gateway, number int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 1500 * time.Millisecond}
	answers := map[int]int{}
	for i := 0; ctx.Err() == nil; i++ {
		r, err := http.NewRequest(http.MethodPost, "http://"+g.front.addr+plainPath+"receipt", strings.NewReader("a receipt"))
		must(err)
		r.Host = routeHost
		r.Header.Set(site.RequestID, fmt.Sprintf("%d-%d-%d", g.number, number, i))
		r.Header.Set(site.Deadline, "1500")
		res, err := client.Do(r)
		status := 0
		if err == nil {
			status = res.StatusCode
			_ = res.Body.Close()
		}
		answers[status]++
		if status != http.StatusOK {
			s.note("%s: status %d, 0 is none", r.Header.Get(site.RequestID), status)
		}
		time.Sleep(callInterval)
	}
	s.note("answers of edge-%d by status, 0 is none: %v", g.number, answers)
}
