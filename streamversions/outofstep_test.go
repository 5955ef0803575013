package streamversions

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
)

// outOfStep are the ways in which a router is for a while without news of the list, or of the others.
var outOfStep = map[string]func(s *site, r *simRouter, lasts time.Duration){
	"cut off": func(s *site, r *simRouter, lasts time.Duration) {
		s.setCut([]*simRouter{r}, true)
		time.Sleep(lasts)
		s.setCut([]*simRouter{r}, false)
	},
	"cut off with another one": func(s *site, r *simRouter, lasts time.Duration) {
		both := []*simRouter{r, s.routers[simRouters-1]}
		s.setCut(both, true)
		time.Sleep(lasts)
		s.setCut(both, false)
	},
	"standing still": func(s *site, r *simRouter, lasts time.Duration) {
		s.mu.Lock()
		r.frozenUntil = time.Now().Add(lasts)
		s.mu.Unlock()
		time.Sleep(lasts)
	},
	"cut off, and the store away after it": func(s *site, r *simRouter, lasts time.Duration) {
		s.setCut([]*simRouter{r}, true)
		time.Sleep(lasts)
		s.setAway(true)
		s.setCut([]*simRouter{r}, false)
		time.Sleep(2 * time.Second)
		s.setAway(false)
	},
}

// TestRouterOutOfStepDuringARelease guards against streams that other routers began at a new version while one was out of
// step, and that go on at another version once they are taken up there.
func TestRouterOutOfStepDuringARelease(t *testing.T) {
	const (
		seeds = 3
		lasts = 4 * time.Second
	)
	for name, trouble := range outOfStep {
		t.Run(name, func(t *testing.T) {
			asked, wentOn := 0, 0
			for seed := range uint64(seeds) {
				for victim := range simRouters - 1 {
					for _, leaves := range []bool{false, true} {
						synctest.Test(t, func(t *testing.T) {
							s := newSite(seed)
							n, ok := s.releaseOutOfStep(t, s.routers[victim], func(r *simRouter) { trouble(s, r, lasts) }, leaves)
							asked, wentOn = asked+n, wentOn+ok
						})
					}
				}
			}
			t.Logf("%d of %d take-ups at a router that was out of step go on", wentOn, asked)
			assert.Assert(t, wentOn > 0)
		})
	}
}

// releaseOutOfStep releases a version while a router is in trouble, and the one before leaves if that is set. It returns how
// many streams of the new version were taken up at that router, in trouble and after it, and how many went on.
func (s *site) releaseOutOfStep(t *testing.T, out *simRouter, trouble func(r *simRouter), leaves bool) (asked, wentOn int) {
	for _, r := range s.routers {
		r.start()
	}
	time.Sleep(simQuiet)
	var work sync.WaitGroup
	work.Go(func() { trouble(out) })
	time.Sleep(200 * time.Millisecond)
	s.release("v1", "v2")
	var mu sync.Mutex
	for n := range 30 {
		time.Sleep(200 * time.Millisecond)
		first := s.routers[(n+1)%simRouters]
		if leaves && n == 10 {
			s.release("v2")
		}
		if first == out || s.isCut(first) || !s.lists(first, "v2") {
			continue
		}
		ref := forward.StreamRef{Service: "llm", ID: fmt.Sprint(n)}
		first.dir.Begun(ref, "v2", time.Now().Add(streamTimeout))
		work.Go(func() {
			for range 6 {
				time.Sleep(300 * time.Millisecond)
				out.awake()
				version, ok := out.dir.Version(context.Background(), ref)
				mu.Lock()
				asked++
				if ok {
					wentOn++
				}
				mu.Unlock()
				assert.Check(t, !ok || version == "v2", "stream %d of v2 goes on at %q", n, version)
			}
		})
	}
	work.Wait()
	for _, r := range s.routers {
		r.kill()
	}
	time.Sleep(time.Minute)
	return asked, wentOn
}

func (s *site) isCut(r *simRouter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.cut
}

// lists reports whether a router knows engines of a version.
func (s *site) lists(r *simRouter, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range r.list {
		if e.Version == version {
			return true
		}
	}
	return false
}
