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

func TestMembersJoinAndExpire(t *testing.T) {
	m := NewMembers("self")
	m.RecordContact("b", 1, at(0))
	m.RecordContact("a", 1, at(1))
	m.RecordContact("self", 1, at(1))
	m.RecordContact("", 1, at(1))
	assert.Equal(t, live(m, 2), "a b")
	assert.Equal(t, live(m, 5), "a", "no contact for five seconds")
	m.RecordContact("b", 1, at(6))
	assert.Equal(t, live(m, 6), "b")
}

func TestReportsDoNotKeepTerminatedMembersLive(t *testing.T) {
	a, b := NewMembers("a"), NewMembers("b")
	a.RecordContact("gone", 1, at(0))
	for s := 0.5; s < 20; s += 0.5 {
		for _, m := range a.Report(false, at(s)) {
			b.RecordReported(m.GetAddr(), m.GetIncarnation(), time.Duration(m.GetAgeMs())*time.Millisecond, at(s))
		}
		for _, m := range b.Report(false, at(s)) {
			a.RecordReported(m.GetAddr(), m.GetIncarnation(), time.Duration(m.GetAgeMs())*time.Millisecond, at(s))
		}
	}
	assert.Equal(t, live(a, 20), "")
	assert.Equal(t, live(b, 20), "")
}

func TestReportsDoNotRestoreLeavingMember(t *testing.T) {
	m := NewMembers("self")
	m.RecordContact("a", 1, at(0))
	m.RecordLeaving("a", 1, at(1))
	m.RecordReported("a", 1, 100*time.Millisecond, at(1))
	assert.Equal(t, live(m, 1), "", "others had contact before it left")
	m.RecordContact("a", 1, at(2))
	assert.Equal(t, live(m, 2), "a", "it started again")
}

// TestLeavingMemberIsReachable: a leaving gateway finishes the requests that it has begun, and receives the
// updates needed for them as long as it communicates.
func TestLeavingMemberIsReachable(t *testing.T) {
	m := NewMembers("self")
	m.RecordContact("a", 1, at(0))
	m.RecordContact("b", 1, at(0))
	m.RecordLeaving("b", 1, at(1))
	assert.Equal(t, live(m, 1), "a")
	assert.Equal(t, strings.Join(m.Reachable(at(1)), " "), "a b")
	m.RecordLeaving("b", 1, at(4))
	assert.Equal(t, strings.Join(m.Reachable(at(7)), " "), "b")
	assert.Equal(t, strings.Join(m.Reachable(at(9)), " "), "")
}

// TestRestartedMemberIsNotTakenForTheOneThatLeft: gateways restarted one after another stayed unknown for
// seconds, since reports of them were attributed to the earlier incarnations, and used quotas without the
// others' knowledge.
func TestRestartedMemberIsNotTakenForTheOneThatLeft(t *testing.T) {
	m := NewMembers("self")
	m.RecordContact("a", 1, at(0))
	m.RecordLeaving("a", 1, at(1))
	assert.Assert(t, !m.RecordReported("a", 1, 0, at(2)))
	assert.Assert(t, !m.RecordReported("a", 0, 0, at(2)), "gateways of earlier releases don't send the incarnation")
	assert.Assert(t, m.RecordReported("a", 2, 0, at(2)))
	assert.Equal(t, live(m, 2), "a")
	assert.Assert(t, m.Knows("a", 2))
	assert.Assert(t, !m.Knows("a", 3))
	assert.Assert(t, m.RecordContact("a", 3, at(2)), "restarted again")
	assert.Equal(t, len(m.Report(true, at(2))), 1)
}

// TestReportNamesBoundedMembers: with many gateways one report names some of them, and several reports name
// all.
func TestReportNamesBoundedMembers(t *testing.T) {
	m := NewMembers("self")
	for i := range 100 {
		m.RecordContact(fmt.Sprint("gateway-", i), 1, at(0))
	}
	named := map[string]bool{}
	for range 13 {
		report := m.Report(false, at(1))
		assert.Equal(t, len(report), membersPerReport)
		for _, member := range report {
			named[member.GetAddr()] = true
		}
	}
	assert.Equal(t, len(named), 100)
	assert.Equal(t, len(m.Report(true, at(1))), 100, "a gateway that has just started gets all of them")
}

// TestManyMembersDoNotExpire: one of 300 gateways has direct contact with each other one every 7.5 s, and
// receives reports of eight in each of forty exchanges a second. No live gateway expires, and one that
// terminated does.
func TestManyMembersDoNotExpire(t *testing.T) {
	const (
		gatewayCount = 300
		duration     = 60.0
		terminatedAt = 30.0
	)
	rng := rand.New(rand.NewPCG(1, 2))
	interval := intervalAmong(gatewayCount).Seconds()
	m := NewMembers("self")
	name := func(i int) string { return fmt.Sprint("gateway-", i) }
	step := interval / gatewayCount
	expired := 0
	for n := 0; float64(n)*step < duration; n++ {
		now := float64(n) * step
		if i := n % gatewayCount; i > 0 || now < terminatedAt {
			m.RecordContact(name(i), 1, at(now))
		}
		for range membersPerReport {
			i, age := rng.IntN(gatewayCount), rng.Float64()*interval
			if i > 0 || now-age < terminatedAt {
				m.RecordReported(name(i), 1, time.Duration(age*float64(time.Second)), at(now))
			}
		}
		if now > 2*interval && now < terminatedAt && len(m.Live(at(now))) < gatewayCount {
			expired++
		}
	}
	assert.Equal(t, expired, 0)
	assert.Equal(t, len(m.Live(at(duration))), gatewayCount-1, "the terminated one has expired")
}
