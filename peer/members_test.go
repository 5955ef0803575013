package peer

import (
	"fmt"
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
