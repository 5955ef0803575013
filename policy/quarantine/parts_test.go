package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

// serving returns a Ledger of a router at which many runs with a common first part have begun to generate.
func serving() *Ledger {
	l := New()
	for i := range 200 {
		l.RunBegan([]string{"first", fmt.Sprint("document-", i%40)}, at(float64(i)/100))
	}
	return l
}

// lose records that a server terminated with a run that had generated nothing.
func lose(l *Ledger, second float64, server, content string, parts ...string) {
	l.Observe(Observation{Content: named(content), Server: server, Parts: parts}, at(second))
}

// loseThree has three servers terminate under different requests with these parts, each beside a request of its own.
func loseThree(l *Ledger, second float64, parts ...string) {
	for i := range MaxTerminations {
		server := fmt.Sprintf("s%v-%d", second, i)
		lose(l, second+float64(i), server, fmt.Sprint(second, "crashing", i), append([]string{"first"}, parts...)...)
		lose(l, second+float64(i), server, fmt.Sprint(second, "beside", i), "first", fmt.Sprint("document-", i))
	}
}

func heldParts(l *Ledger, second float64) [][]string {
	var out [][]string
	for _, h := range l.Holds(at(second)) {
		out = append(out, h.Parts)
	}
	return out
}

// TestCrashingPartIsHeld: of the parts of lost runs the one is held that no other run has; requests without it are sent.
func TestCrashingPartIsHeld(t *testing.T) {
	l := serving()
	loseThree(l, 10, "bad")
	l.Decide(at(20))
	assert.DeepEqual(t, heldParts(l, 20), [][]string{{"bad"}})
	_, held := l.Quarantined(named("new"), []string{"other", "bad"}, at(20))
	assert.Assert(t, held)
	_, held = l.Quarantined(named("new"), []string{"first", "document-1"}, at(20))
	assert.Assert(t, !held)
	assert.Equal(t, len(l.TerminatedServers(l.Holds(at(20))[0])), MaxTerminations)
}

// TestPartsThatComeTogether: two parts that no run had alone are held together, so that requests with one of them are
// sent. One that begins to generate shows which of the two it is; one that crashes a server does too.
func TestPartsThatComeTogether(t *testing.T) {
	l := serving()
	loseThree(l, 10, "bad", "beside-it")
	l.Decide(at(20))
	assert.DeepEqual(t, heldParts(l, 20), [][]string{{"bad", "beside-it"}})
	for _, part := range []string{"bad", "beside-it"} {
		_, held := l.Quarantined(named("new"), []string{"first", part}, at(20))
		assert.Assert(t, !held, part)
	}
	cleared, changes := l.RunBegan([]string{"first", "beside-it"}, at(21))
	assert.DeepEqual(t, cleared, []string{"first", "beside-it"})
	assert.Equal(t, len(changes.Ended), 1)
	assert.Equal(t, len(changes.Started), 1)
	assert.DeepEqual(t, heldParts(l, 21), [][]string{{"bad"}})

	l = serving()
	loseThree(l, 10, "bad", "beside-it")
	l.Decide(at(20))
	lose(l, 21, "s4", "alone", "first", "bad")
	l.Decide(at(22))
	_, held := l.Quarantined(named("new"), []string{"bad"}, at(22))
	assert.Assert(t, held)
	_, held = l.Quarantined(named("new"), []string{"beside-it"}, at(22))
	assert.Assert(t, !held)
}

// TestRepeatedRequestIsHeldAlone: the terminations under one request that is repeated are explained by that request, and
// none of its parts is held for them.
func TestRepeatedRequestIsHeldAlone(t *testing.T) {
	l := serving()
	for i := range MaxTerminations + 2 {
		lose(l, 10+float64(i), fmt.Sprint("s", i), "repeated", "first", "session")
	}
	l.Decide(at(20))
	holds := l.Holds(at(20))
	assert.Equal(t, len(holds), 1)
	assert.Equal(t, holds[0].Content, named("repeated"))
	lose(l, 21, "s9", "sound", "first", "document-3")
	l.Decide(at(30))
	assert.Equal(t, len(l.Holds(at(30))), 1)
}

// TestBystandersOfPartAreFree: a request that is lost at each of the servers, having generated something, is not held
// once the part is.
func TestBystandersOfPartAreFree(t *testing.T) {
	l := serving()
	for i := range MaxTerminations {
		l.Observe(Observation{Content: named("bystander"), Server: fmt.Sprintf("s10-%d", i), Generated: 20}, at(10+float64(i)))
	}
	loseThree(l, 10, "bad")
	l.Observe(Observation{Content: named("bystander"), Server: "s10-2", Generated: 40}, at(12.1))
	l.Decide(at(20))
	assert.DeepEqual(t, heldParts(l, 20), [][]string{{"bad"}})
}

// TestBegunRunReleasesPart: a run that begins to generate, here or at another router, ends the hold; earlier terminations
// no longer count.
func TestBegunRunReleasesPart(t *testing.T) {
	for _, begin := range []func(*Ledger){
		func(l *Ledger) { l.RunBegan([]string{"bad"}, at(21)) },
		func(l *Ledger) { l.ClearPart("bad", at(21)) },
		func(l *Ledger) { l.Clear(fingerprint.OfParts([]string{"bad"}), at(21)) },
	} {
		l := serving()
		loseThree(l, 10, "bad")
		l.Decide(at(20))
		assert.Equal(t, len(l.Holds(at(20))), 1)
		begin(l)
		assert.Equal(t, len(l.Holds(at(22))), 0)
		l.Decide(at(22))
		assert.Equal(t, len(l.Holds(at(22))), 0)
	}
}

// TestHoldWithoutPartsDoesNotReplace: a router that does not know of parts forwards a hold without them.
func TestHoldWithoutPartsDoesNotReplace(t *testing.T) {
	h := Hold{Content: fingerprint.OfParts([]string{"bad"}), Parts: []string{"bad"}, Until: at(100), Duration: 100 * time.Second}
	without := Hold{Content: h.Content, Until: h.Until, Duration: h.Duration}
	for _, order := range [][]Hold{{h, without}, {without, h}} {
		l := New()
		for _, o := range order {
			l.AddHold(o)
		}
		_, held := l.Quarantined(named("any"), []string{"bad"}, at(50))
		assert.Assert(t, held)
	}
}

// TestPartIsHeldAgain: after its hold one more termination starts the next.
func TestPartIsHeldAgain(t *testing.T) {
	l := serving()
	loseThree(l, 10, "bad")
	l.Decide(at(20))
	after := at(20).Add(PartHold + time.Second)
	l.Expire(after)
	_, held := l.Quarantined(named("new"), []string{"bad"}, after)
	assert.Assert(t, !held)
	l.Observe(Observation{Content: named("new"), Server: "again", Parts: []string{"first", "bad"}}, after)
	l.Decide(after.Add(SettleDelay))
	_, held = l.Quarantined(named("new"), []string{"bad"}, after.Add(time.Minute))
	assert.Assert(t, held)
}

// TestEvidenceIsBounded: however many runs are lost and begin, with however many parts, memory stays bounded; what is
// oldest or was counted least is dropped first.
func TestEvidenceIsBounded(t *testing.T) {
	l := New()
	for i := range maxCountedRuns + 2000 {
		lose(l, float64(i)/1000, fmt.Sprint("s", i), fmt.Sprint("c", i), "first", fmt.Sprint("part-", i))
		l.RunBegan([]string{"often", fmt.Sprint("part-", i)}, at(float64(i)/1000))
	}
	assert.Assert(t, len(l.evidence.lost) <= maxLostRuns)
	assert.Assert(t, len(l.evidence.begins) <= maxBegins)
	assert.Assert(t, len(l.evidence.shares.counts) <= maxCountedRuns+1)
	assert.Assert(t, l.evidence.shares.counts["often"] > maxCountedRuns/2)
	l.Expire(at(60).Add(ObservationTTL))
	assert.Equal(t, len(l.evidence.lost)+len(l.evidence.cleared)+len(l.evidence.begins), 0)
}

// TestSharedPartIsHeldForUnrelatedTermination guards against holding a part that sound requests share, since one server more has
// terminated, under a sound request, than under those with the part that crashes servers.
func TestSharedPartIsHeldForUnrelatedTermination(t *testing.T) {
	l := New()
	for i := range 960 {
		l.RunBegan([]string{fmt.Sprint("customer-", i%7)}, at(float64(i)/40))
	}
	for i := range 24 {
		l.RunBegan([]string{"shared"}, at(float64(i)))
	}
	lose(l, 27, "s0", "sound", "shared")
	for i := range 4 {
		lose(l, 27.1+float64(i)/10, fmt.Sprint("s", i+1), fmt.Sprint("crashing-", i), "shared", "bad")
	}
	l.Decide(at(28))
	assert.DeepEqual(t, heldParts(l, 28), [][]string{{"bad", "shared"}})
	_, held := l.Quarantined(named("new"), []string{"shared"}, at(28))
	assert.Assert(t, !held)
}
