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
	m.Heard("b", at(0))
	m.Heard("a", at(1))
	m.Heard("self", at(1))
	m.Heard("", at(1))
	assert.Equal(t, live(m, 2), "a b")
	assert.Equal(t, live(m, 5), "a", "five seconds of silence")
	m.Heard("b", at(6))
	assert.Equal(t, live(m, 6), "b")
}

func TestHearsayDoesNotKeepTheDeadAlive(t *testing.T) {
	a, b := NewMembers("a"), NewMembers("b")
	a.Heard("gone", at(0))
	for s := 0.5; s < 20; s += 0.5 {
		for _, m := range a.Report(at(s)) {
			b.Told(m.GetAddr(), time.Duration(m.GetAgeMs())*time.Millisecond, at(s))
		}
		for _, m := range b.Report(at(s)) {
			a.Told(m.GetAddr(), time.Duration(m.GetAgeMs())*time.Millisecond, at(s))
		}
	}
	assert.Equal(t, live(a, 20), "")
	assert.Equal(t, live(b, 20), "")
}

func TestLeavingStaysGone(t *testing.T) {
	m := NewMembers("self")
	m.Heard("a", at(0))
	m.Left("a", at(1))
	m.Told("a", 100*time.Millisecond, at(1))
	assert.Equal(t, live(m, 1), "", "others heard it before it left")
	m.Heard("a", at(2))
	assert.Equal(t, live(m, 2), "a", "it is back")
}

// TestReportNamesFew: at many gateways one report names some of them, and some reports all.
func TestReportNamesFew(t *testing.T) {
	m := NewMembers("self")
	for i := range 100 {
		m.Heard(fmt.Sprint("gateway-", i), at(0))
	}
	named := map[string]bool{}
	for range 13 {
		report := m.Report(at(1))
		assert.Equal(t, len(report), membersTold)
		for _, told := range report {
			named[told.GetAddr()] = true
		}
	}
	assert.Equal(t, len(named), 100)
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
			m.Heard(name(i), at(now))
		}
		for range membersTold {
			i, age := rng.IntN(many), rng.Float64()*pace
			if i > 0 || now-age < ended {
				m.Told(name(i), time.Duration(age*float64(time.Second)), at(now))
			}
		}
		if now > 2*pace && now < ended && len(m.Live(at(now))) < many {
			lapsed++
		}
	}
	assert.Equal(t, lapsed, 0)
	assert.Equal(t, len(m.Live(at(day))), many-1, "the one that ended is gone")
}
