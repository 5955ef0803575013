package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// Figures of the case.
const (
	partsDecode = 8
	// sharedPart is the first part of the prompts of one customer, badPart crashes each engine that begins to run it.
	sharedPart, badPart = "0aa5", "bad0"
	// partsUsual is how long sound requests come before the trouble, and partsAfter how long after it.
	partsUsual = 24 * time.Second
	partsAfter = 32 * time.Second
	// othersEvery and soundEvery are the intervals of requests of other customers and of the one with sharedPart.
	othersEvery, soundEvery = 25 * time.Millisecond, time.Second
	// partsTimeout is how long clients of this case wait.
	partsTimeout = 8 * time.Second
)

// sound counts sound requests that began, and all of them.
type sound struct {
	mu           sync.Mutex
	began, asked int
}

func (c *sound) add(began bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if began {
		c.began++
	}
}

// playParts lets requests come that crash engines by one part of their prompts, right after an engine has crashed for
// another reason, under a sound request with the same first part. It is no case folder; see REPORT.md.
func playParts(s *scene) int {
	var mu sync.Mutex
	engines := map[string]*site.Server{}
	var add func()
	add = func() {
		e := s.addEngine("decode", "v1")
		e.CrashOnPart(badPart, func(*site.Server) { s.replaceLater(e.ID, add) })
		mu.Lock()
		defer mu.Unlock()
		engines[e.ID] = e
	}
	for range 3 {
		s.addEngine("prefill", "v1")
	}
	for range partsDecode {
		add()
	}
	s.writeManifest()
	s.startGateways(gateways)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	s.every(&clients, stop, othersEvery, func(i int) { s.prompt(fmt.Sprintf("f%x", i), i, fmt.Sprintf("c0%x", i%7)) })
	var before, after sound
	for i := range int(partsUsual / soundEvery) {
		clients.Go(func() { before.add(s.prompt(fmt.Sprintf("aa%x", i), i, sharedPart, fmt.Sprintf("50%x", i))) })
		time.Sleep(soundEvery)
	}
	time.Sleep(3500 * time.Millisecond)
	crashed := make(chan struct{})
	s.log.Watch(func(c site.Call) {
		if c.Kind != site.Decode || c.ID != "ab0" {
			return
		}
		go func() {
			defer close(crashed)
			if s.trouble {
				mu.Lock()
				e := engines[c.Server]
				mu.Unlock()
				e.Crash()
				s.note("%s crashes", c.Server)
			}
		}()
	})
	clients.Go(func() { s.prompt("ab0", 0, sharedPart, "51") })
	<-crashed
	for i := range 4 {
		clients.Go(func() { s.prompt(fmt.Sprintf("bb%x", i), i, sharedPart, badPart) })
	}
	time.Sleep(7 * time.Second)
	s.every(&clients, stop, soundEvery, func(i int) { s.prompt(fmt.Sprintf("bc%x", i), i, sharedPart, badPart) })
	for i := range int((partsAfter - 7*time.Second) / soundEvery) {
		clients.Go(func() { after.add(s.prompt(fmt.Sprintf("ad%x", i), i, sharedPart, fmt.Sprintf("52%x", i))) })
		time.Sleep(soundEvery)
	}
	close(stop)
	clients.Wait()
	s.note("sound requests with the first part: before %d of %d began, after %d of %d", before.began, before.asked, after.began, after.asked)
	if 2*after.began*before.asked < before.began*after.asked {
		return after.asked - after.began
	}
	return 0
}

// replaceLater removes the entry of an engine that has crashed, and adds another engine.
func (s *scene) replaceLater(id string, add func()) {
	s.note("%s has crashed", id)
	time.AfterFunc(3*time.Second, func() {
		s.store.Put("servers", id, nil)
		add()
	})
}

// every calls f at an interval, each call in a goroutine of its own, until stop is closed.
func (s *scene) every(clients *sync.WaitGroup, stop chan struct{}, interval time.Duration, f func(i int)) {
	clients.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-t.C:
				clients.Go(func() { f(i) })
			}
		}
	})
}

// prompt sends a request with these shared parts, and reports whether it began.
func (s *scene) prompt(id string, i int, parts ...string) bool {
	got := s.send(attempt{id: id, gateway: s.gateways[i%len(s.gateways)], timeout: partsTimeout, parts: parts, path: oncePath})
	return got.status == http.StatusOK && got.events > 0
}
