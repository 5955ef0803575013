package peer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func live(m *Members, s float64) string { return strings.Join(m.Live(at(s)), " ") }

func TestMembersComeAndLapse(t *testing.T) {
	m := NewMembers("self")
	m.Heard("b", 1, at(0))
	m.Heard("a", 1, at(1))
	m.Heard("self", 1, at(1))
	m.Heard("", 1, at(1))
	assert.Equal(t, live(m, 2), "a b")
	assert.Equal(t, live(m, 5), "a", "five seconds of silence")
	m.Heard("b", 1, at(6))
	assert.Equal(t, live(m, 6), "b")
}

func TestHearsayDoesNotKeepTheDeadAlive(t *testing.T) {
	a, b := NewMembers("a"), NewMembers("b")
	a.Heard("gone", 1, at(0))
	for s := 0.5; s < 20; s += 0.5 {
		for _, m := range a.Report(false, at(s)) {
			b.Told(m.GetAddr(), m.GetIncarnation(), time.Duration(m.GetAgeMs())*time.Millisecond, at(s))
		}
		for _, m := range b.Report(false, at(s)) {
			a.Told(m.GetAddr(), m.GetIncarnation(), time.Duration(m.GetAgeMs())*time.Millisecond, at(s))
		}
	}
	assert.Equal(t, live(a, 20), "")
	assert.Equal(t, live(b, 20), "")
}

func TestLeavingStaysGone(t *testing.T) {
	m := NewMembers("self")
	m.Heard("a", 1, at(0))
	m.Left("a", 1, at(1))
	m.Told("a", 1, 100*time.Millisecond, at(1))
	assert.Equal(t, live(m, 1), "", "others heard it before it left")
	m.Heard("a", 1, at(2))
	assert.Equal(t, live(m, 2), "a", "it is back")
}

// TestLeavingIsStillReached: one that leaves answers what it has begun, and is told what it has to know for that, as long as
// it talks.
func TestLeavingIsStillReached(t *testing.T) {
	m := NewMembers("self")
	m.Heard("a", 1, at(0))
	m.Heard("b", 1, at(0))
	m.Left("b", 1, at(1))
	assert.Equal(t, live(m, 1), "a")
	assert.Equal(t, strings.Join(m.Reached(at(1)), " "), "a b")
	m.Left("b", 1, at(4))
	assert.Equal(t, strings.Join(m.Reached(at(7)), " "), "b")
	assert.Equal(t, strings.Join(m.Reached(at(9)), " "), "")
}

// TestStartedAgainIsNotTakenForTheOneThatLeft: gateways that were restarted in turn were not heard of for seconds, since
// hearsay of them was taken for that of the ones before, and used quotas that the others did not know of.
func TestStartedAgainIsNotTakenForTheOneThatLeft(t *testing.T) {
	m := NewMembers("self")
	m.Heard("a", 1, at(0))
	m.Left("a", 1, at(1))
	assert.Assert(t, !m.Told("a", 1, 0, at(2)))
	assert.Assert(t, !m.Told("a", 0, 0, at(2)), "gateways of before don't tell which one they heard")
	assert.Assert(t, m.Told("a", 2, 0, at(2)))
	assert.Equal(t, live(m, 2), "a")
	assert.Assert(t, m.Knows("a", 2))
	assert.Assert(t, !m.Knows("a", 3))
	assert.Assert(t, m.Heard("a", 3, at(2)), "started once more")
	assert.Equal(t, len(m.Report(true, at(2))), 1)
}

// TestReportNamesFew: at many gateways one report names some of them, and some reports all.
func TestReportNamesFew(t *testing.T) {
	m := NewMembers("self")
	for i := range 100 {
		m.Heard(fmt.Sprint("gateway-", i), 1, at(0))
	}
	named := map[string]bool{}
	for range 13 {
		report := m.Report(false, at(1))
		assert.Equal(t, len(report), membersTold)
		for _, told := range report {
			named[told.GetAddr()] = true
		}
	}
	assert.Equal(t, len(named), 100)
	assert.Equal(t, len(m.Report(true, at(1))), 100, "all of them to one that has just started")
}

// TestManyMembersStay: one of 300 gateways hears each other in an exchange every 7.5 s, and of eight in each of
// forty exchanges a second. None that lives lapses, and one that has ended does.
func TestManyMembersStay(t *testing.T) {
	const (
		many  = 300
		day   = 60.0
		ended = 30.0
	)
	rng := rand.New(rand.NewPCG(1, 2))
	pace := paceAmong(many).Seconds()
	m := NewMembers("self")
	name := func(i int) string { return fmt.Sprint("gateway-", i) }
	step := pace / many
	lapsed := 0
	for n := 0; float64(n)*step < day; n++ {
		now := float64(n) * step
		if i := n % many; i > 0 || now < ended {
			m.Heard(name(i), 1, at(now))
		}
		for range membersTold {
			i, age := rng.IntN(many), rng.Float64()*pace
			if i > 0 || now-age < ended {
				m.Told(name(i), 1, time.Duration(age*float64(time.Second)), at(now))
			}
		}
		if now > 2*pace && now < ended && len(m.Live(at(now))) < many {
			lapsed++
		}
	}
	assert.Equal(t, lapsed, 0)
	assert.Equal(t, len(m.Live(at(day))), many-1, "the one that ended is gone")
}
