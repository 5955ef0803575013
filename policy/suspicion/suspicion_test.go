package suspicion_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/suspicion"
)

// start is when the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestOneFailureIsForgottenWithinSeconds(t *testing.T) {
	d := suspicion.New("r")
	assert.Check(t, !d.Suspected("e", start))
	d.Reported("other", "e", start)
	assert.Check(t, d.Suspected("e", start.Add(100*time.Millisecond)))
	assert.Check(t, !d.Suspected("e", start.Add(3*time.Second)))
	assert.Check(t, !d.Suspected("f", start))
}

func TestWhatOneRouterTellsOfAnEngineCountsOnceASecond(t *testing.T) {
	once, often := suspicion.New("r"), suspicion.New("r")
	once.Reported("other", "e", start)
	for range 30 {
		often.Reported("other", "e", start)
	}
	for ms := 0; ms < 4000; ms += 50 {
		at := start.Add(time.Duration(ms) * time.Millisecond)
		assert.Check(t, once.Suspected("e", at) == often.Suspected("e", at), "after %d ms", ms)
	}
}

func TestFailuresAreNewsOnceASecond(t *testing.T) {
	d := suspicion.New("r")
	assert.Check(t, d.Failed("e", start))
	assert.Check(t, !d.Failed("e", start.Add(500*time.Millisecond)))
	assert.Check(t, d.Failed("f", start.Add(500*time.Millisecond)))
	assert.Check(t, d.Failed("e", start.Add(time.Second)))
}

func TestSuccessesOutweighWhatIsTold(t *testing.T) {
	d := suspicion.New("r")
	d.Reported("other", "e", start)
	d.Succeeded("e")
	d.Succeeded("e")
	assert.Check(t, !d.Suspected("e", start))
}

// TestRoutersThatAreCutOffAreNotBelieved is a router that can reach no engine any more and says so of all. The others
// can, and go on using all.
func TestRoutersThatAreCutOffAreNotBelieved(t *testing.T) {
	d := suspicion.New("r")
	for s := range 10 {
		for e := range 20 {
			d.Reported("cut off", fmt.Sprint("e", e), start.Add(time.Duration(s)*time.Second))
		}
	}
	in := 0
	for e := range 20 {
		if d.Suspected(fmt.Sprint("e", e), start.Add(9*time.Second+300*time.Millisecond)) {
			in++
		}
	}
	// The first few that it names in a second may be in doubt.
	assert.Check(t, in <= 3, "%d of 20 engines in doubt", in)
}

// play is a replay: routers send requests to engines drawn by chance of those that they don't doubt, and tell each
// other of failures, which takes a while to be noticed and to come. It returns the attempts that failed, and the share
// of all requests that went to the engine at fault.
type play struct {
	routers, engines int
	// fails is the chance that a request fails at the first engine, from the first second to the end.
	fails float64
	end   time.Duration
	told  bool
}

const (
	step = time.Millisecond
	// noticed is when a router knows that an attempt has failed, heard when the others do.
	noticed, heard = 60 * time.Millisecond, 65 * time.Millisecond
	// perStep is the requests that come in each step.
	perStep = 1
)

func (p play) run(seed uint64) (failed int, sent int) {
	r := rand.New(rand.NewPCG(seed, 1))
	var routers []*suspicion.Tracker
	for i := range p.routers {
		routers = append(routers, suspicion.New(fmt.Sprint("r", i)))
	}
	type ending struct {
		router int
		at     time.Duration
		ok     bool
	}
	var endings []ending
	for now := time.Duration(0); now < p.end; now += step {
		at := start.Add(now)
		for range perStep {
			from := r.IntN(p.routers)
			to := p.choose(routers[from], r, at)
			if to != 0 {
				continue
			}
			sent++
			endings = append(endings, ending{router: from, at: now, ok: now < time.Second || r.Float64() >= p.fails})
		}
		for _, e := range endings {
			if e.ok && e.at+noticed == now {
				routers[e.router].Succeeded("e0")
			}
			if !e.ok && e.at+noticed == now {
				failed++
				routers[e.router].Failed("e0", at)
			}
			if !e.ok && e.at+heard == now && p.told {
				for i, other := range routers {
					if i != e.router {
						other.Reported(fmt.Sprint("r", e.router), "e0", at)
					}
				}
			}
		}
	}
	return failed, sent
}

func (p play) choose(d *suspicion.Tracker, r *rand.Rand, now time.Time) int {
	for {
		if e := r.IntN(p.engines); !d.Suspected(fmt.Sprint("e", e), now) {
			return e
		}
	}
}

// TestDoubtsReplayed replays an engine that is gone and still listed for four seconds, and one that fails two requests
// of five, at 30 routers that learn of it each for itself and from each other.
func TestDoubtsReplayed(t *testing.T) {
	cases := []struct {
		name string
		play play
		// least is by how many times fewer attempts fail if routers tell each other.
		least float64
	}{
		{"gone", play{routers: 30, engines: 20, fails: 1, end: 5 * time.Second}, 2},
		{"failing", play{routers: 30, engines: 20, fails: 0.4, end: 11 * time.Second}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			alone, together := 0, 0
			for seed := range uint64(5) {
				p := c.play
				n, _ := p.run(seed)
				alone += n
				p.told = true
				n, sent := p.run(seed)
				together += n
				t.Logf("seed %d: %d sent there", seed, sent)
			}
			t.Logf("failed attempts: %d alone, %d together", alone, together)
			assert.Check(t, float64(alone) >= c.least*float64(together))
		})
	}
}

// TestEnginesThatAreWellAgainAreUsed is an engine that failed for a second; two seconds later it gets its share.
func TestEnginesThatAreWellAgainAreUsed(t *testing.T) {
	var in int
	for r := range 30 {
		d := suspicion.New(fmt.Sprint("r", r))
		for other := range 29 {
			d.Reported(fmt.Sprint("other", other), "e", start)
		}
		// Doubts have a bound: as many failures as there are routers say no more than a few.
		if d.Suspected("e", start.Add(6*time.Second)) {
			in++
		}
	}
	assert.Check(t, in == 0, "%d routers still doubt", in)
}
