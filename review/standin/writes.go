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
	// writesUsual is how long sound requests come before the others, and writesBad how long requests with the bad part come,
	// one each writesEvery.
	writesUsual = 8 * time.Second
	writesBad   = 45 * time.Second
	writesEvery = 1500 * time.Millisecond
	// writesAfter is how long after its first event an engine crashes that writes an answer on the bad part.
	writesAfter = 20 * time.Millisecond
	// writesCrashes is the number of crashes from which, contact later, writesAllowed more requests may reach an engine.
	writesCrashes, writesAllowed = 5, 3
	// firstEvent is when the stand-in of an engine writes its first event.
	firstEvent = 600 * time.Millisecond
)

// playWrites lets requests come with a part that crashes each engine that begins to write an answer on it, right after its
// first event. It is no case folder; see REPORT.md.
func playWrites(s *scene) int {
	var mu sync.Mutex
	engines := map[string]*site.Server{}
	var crashes []time.Time
	reached := 0
	add := func() {
		e := s.addEngine("decode", "v1")
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
	s.log.Watch(func(c site.Call) {
		if c.Kind != site.Decode || c.PartWithPrefix(badPart) == "" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		e := engines[c.Server]
		s.note("%s with the bad part reaches %s", c.ID, c.Server)
		if len(crashes) >= writesCrashes && time.Since(crashes[writesCrashes-1]) > contact {
			reached++
		}
		if !s.trouble {
			return
		}
		time.AfterFunc(firstEvent+writesAfter, func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			e.Crash()
			s.replaceLater(e.ID, add)
		})
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var others sound
	s.every(&clients, stop, 4*othersEvery, func(i int) { others.add(s.whole(fmt.Sprintf("f%x", i), i, fmt.Sprintf("c0%x", i%7))) })
	time.Sleep(writesUsual)
	bad := make(chan struct{})
	s.every(&clients, bad, writesEvery, func(i int) { s.prompt(fmt.Sprintf("bc%x", i), i, sharedPart, badPart) })
	time.Sleep(writesBad)
	close(bad)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.note("%d engines crashed; %d requests with the bad part reached engines later than %v after the fifth crash, %d are allowed", len(crashes), reached, contact, writesAllowed)
	s.note("of %d other requests %d were answered whole", others.asked, others.began)
	return max(reached-writesAllowed, 0)
}

// whole sends a request with these shared parts, and reports whether it was answered whole.
func (s *scene) whole(id string, i int, parts ...string) bool {
	got := s.send(attempt{id: id, gateway: s.gateways[i%len(s.gateways)], timeout: partsTimeout, parts: parts, path: oncePath})
	return got.status == http.StatusOK && got.whole
}
