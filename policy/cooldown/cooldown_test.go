package cooldown_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/cooldown"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestRests(t *testing.T) {
	r := cooldown.New()
	assert.Equal(t, r.Remaining("a", start), time.Duration(0))
	r.Record("a", 3*time.Second, start)
	r.Record("a", time.Second, at(time.Second))
	assert.Equal(t, r.Remaining("a", at(time.Second)), 2*time.Second, "a shorter one that comes later ends no longer one")
	r.Record("a", 3*time.Second, at(2*time.Second))
	assert.Equal(t, r.Remaining("a", at(3*time.Second)), 2*time.Second)
	assert.Equal(t, r.Remaining("b", at(3*time.Second)), time.Duration(0))
	assert.Equal(t, r.Remaining("a", at(5*time.Second)), time.Duration(0))
	r.Record("b", time.Hour, at(4*time.Second))
	r.Record("c", time.Hour, at(4*time.Second))
	r.Forget(func(id string) bool { return id != "c" }, at(5*time.Second))
	assert.Equal(t, r.Len(), 1)
}

// TestEnginesThatTurnMostAway replays the load of the package's first lines: nine engines, of which two turn away what
// reaches them and ask for three seconds of rest, and twenty requests a second that go to any engine.
func TestEnginesThatTurnMostAway(t *testing.T) {
	const (
		engines, ill = 9, 2
		perSecond    = 20
		day          = 15 * time.Second
		asks         = 3 * time.Second
	)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	play := func(heeds bool) (refused, inRest int) {
		r, rng := cooldown.New(), rand.New(rand.NewPCG(1, 2))
		asked := cooldown.New()
		for now := start; now.Before(at(day)); now = now.Add(time.Second / perSecond) {
			id := names[rng.IntN(engines)]
			for heeds && r.Remaining(id, now) > 0 {
				id = names[rng.IntN(engines)]
			}
			if asked.Remaining(id, now) > 0 {
				inRest++
			}
			if id < names[ill] {
				refused++
				r.Record(id, asks, now)
				asked.Record(id, asks, now)
			}
		}
		return refused, inRest
	}
	refused, inRest := play(true)
	blindly, blind := play(false)
	t.Logf("refused %d, of them in a rest %d; without %d, %d", refused, inRest, blindly, blind)
	assert.Equal(t, inRest, 0)
	assert.Check(t, refused <= ill*int(day/asks+1))
	assert.Check(t, blindly > 4*refused)
}
