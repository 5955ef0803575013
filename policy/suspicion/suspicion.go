// Package suspicion tells which engines to avoid for a moment, by the failures that all routers saw there.
//
// Load pattern: a server loses its power, is cut off, or fails two requests of five, and stays in the list for the
// seconds until its lease lapses or its health check fails. Dozens of routers send it a request each, and each learns
// by a failed attempt of its own what the first one knew. Every such attempt costs a repeat of the budget and the time
// of the request.
//
// So routers tell each other where requests failed. A doubt fades within seconds, and is only a reason to prefer
// other engines: where none of them has room, a doubtful one is asked as ever. A router that is itself cut off sees
// failures everywhere; what it tells is shared out among all that it names, and an own success outweighs it.
//
// A Tracker is deterministic, takes the time from its caller, and is not safe for concurrent use.
package suspicion

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/affinity"
)

const (
	// halfLife is the time in which a doubt fades to half: an engine that starts again is ready within a few of them.
	halfLife = 1500 * time.Millisecond
	// most bounds the doubt at one engine, in failures: many routers tell of the same failure.
	most = 4.0
	// succeeded is what of a doubt remains after a request that succeeded here.
	succeeded = 0.5
	// tellPause is how long what one router tells of an engine counts once: the requests in progress at an engine
	// that ends fail together.
	tellPause = time.Second
)

// A router avoids an engine while the doubt is above a bound between these, the higher, the more it prefers the
// engine. So a few routers try an engine first, and if it fails again, the others have heard of it when their turn
// comes: after one failure they come back in the course of 0.2 to 2.6 seconds.
const (
	boundLeast = 0.3
	boundMost  = 0.9
)

// Tracker is what one router knows of failures at engines.
type Tracker struct {
	// router is the name of this one.
	router  string
	engines map[string]*engine
	tellers map[string]*teller
	swept   time.Time
}

type engine struct {
	doubt float64
	at    time.Time
	bound float64
}

// teller is what another router told lately: when it last told of each engine.
type teller struct{ told map[string]time.Time }

// New returns an empty tracker of the router of that name.
func New(router string) *Tracker {
	return &Tracker{router: router, engines: map[string]*engine{}, tellers: map[string]*teller{}}
}

// Failed notes a failure seen here. It reports whether that is news for other routers: it was not told of the same
// engine a moment ago.
func (t *Tracker) Failed(id string, now time.Time) (news bool) {
	news, _ = t.tells(t.router, id, now)
	if news {
		t.raise(id, 1, now)
	}
	return news
}

// Reported notes that another router saw a request fail at an engine.
func (t *Tracker) Reported(router, id string, now time.Time) {
	if news, named := t.tells(router, id, now); news {
		t.raise(id, 1/float64(named), now)
	}
}

// tells notes that a router tells of an engine. It reports whether that counts, and how many engines the router has
// named lately, this one included.
func (t *Tracker) tells(router, id string, now time.Time) (counts bool, named int) {
	t.sweep(now)
	r, ok := t.tellers[router]
	if !ok {
		r = &teller{told: map[string]time.Time{}}
		t.tellers[router] = r
	}
	for other, at := range r.told {
		if now.Sub(at) >= tellPause {
			delete(r.told, other)
		}
	}
	if _, lately := r.told[id]; lately {
		return false, len(r.told)
	}
	r.told[id] = now
	return true, len(r.told)
}

// Succeeded notes that a request succeeded at an engine.
func (t *Tracker) Succeeded(id string) {
	if e, ok := t.engines[id]; ok {
		e.doubt *= succeeded
	}
}

// Suspected reports whether other engines are to be preferred to this one.
func (t *Tracker) Suspected(id string, now time.Time) bool {
	e, ok := t.engines[id]
	return ok && e.faded(now) > e.bound
}

func (t *Tracker) raise(id string, by float64, now time.Time) {
	e, ok := t.engines[id]
	if !ok {
		e = &engine{bound: boundLeast + (boundMost-boundLeast)*affinity.Of(t.router, id)}
		t.engines[id] = e
	}
	e.doubt, e.at = min(e.faded(now)+by, most), now
}

func (e *engine) faded(now time.Time) float64 {
	return e.doubt * math.Exp2(-now.Sub(e.at).Seconds()/halfLife.Seconds())
}

// sweepPause is the pause after which what has faded is dropped.
const sweepPause = 10 * time.Second

// sweep drops engines that are in no doubt any more, and routers that told nothing lately.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepPause {
		return
	}
	t.swept = now
	for id, e := range t.engines {
		if e.faded(now) < boundLeast {
			delete(t.engines, id)
		}
	}
	for router, r := range t.tellers {
		if !r.recent(now) {
			delete(t.tellers, router)
		}
	}
}

func (r *teller) recent(now time.Time) bool {
	for _, at := range r.told {
		if now.Sub(at) < tellPause {
			return true
		}
	}
	return false
}
