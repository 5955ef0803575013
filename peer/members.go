package peer

import (
	"maps"
	"slices"
	"time"
)

const (
	// memberLife is how long a gateway counts as live after it was last heard, by this
	// process or by one that told of it, at least. It covers a freeze of some seconds.
	memberLife = 5 * time.Second
	// memberPaces is how many pauses between two exchanges of a pair it counts as live where they are long:
	// one may fail. Among 300 an exchange comes each 7.5 s, and gateways that lapsed before were dialled
	// anew, 31 connections a second.
	memberPaces = 2
)

// Members are the gateways that are thought to live. It is a pure state machine and not
// safe for concurrent use. Gateways are known by the address at which they listen.
type Members struct {
	self string
	// next is where the next report begins in the list of live gateways.
	next  int
	heard map[string]seen
	// left are gateways that said that they leave, so that hearsay does not bring them back.
	left map[string]leave
}

// seen is when a gateway was last heard, and its incarnation; zero if that was not told.
type seen struct {
	at          time.Time
	incarnation uint64
}

// leave is a gateway that said that it leaves. Until then hearsay of it is of before, unless of another incarnation.
type leave struct {
	seen
	until time.Time
}

// NewMembers returns the members as seen by the gateway at self.
func NewMembers(self string) *Members {
	return &Members{self: self, heard: map[string]seen{}, left: map[string]leave{}}
}

// Heard notes that a gateway itself was heard, and reports whether it is new here.
func (m *Members) Heard(addr string, incarnation uint64, now time.Time) bool {
	if addr == m.self || addr == "" {
		return false
	}
	delete(m.left, addr)
	old, ok := m.heard[addr]
	m.heard[addr] = seen{now, incarnation}
	return !ok || old.incarnation != incarnation
}

// Told notes that another gateway heard addr some time ago, and reports whether it is new here.
func (m *Members) Told(addr string, incarnation uint64, age time.Duration, now time.Time) bool {
	if addr == m.self || addr == "" || age >= m.life() {
		return false
	}
	at := now.Add(-age)
	if left, ok := m.left[addr]; ok {
		another := incarnation != 0 && incarnation != left.incarnation
		if !another && !at.After(left.until) {
			return false
		}
	}
	old, ok := m.heard[addr]
	if at.After(old.at) {
		m.heard[addr] = seen{at, incarnation}
	}
	return !ok
}

// Left notes that a gateway said that it leaves.
func (m *Members) Left(addr string, incarnation uint64, now time.Time) {
	delete(m.heard, addr)
	m.left[addr] = leave{seen: seen{now, incarnation}, until: now.Add(m.life())}
}

// Knows reports whether an incarnation of a gateway was heard of.
func (m *Members) Knows(addr string, incarnation uint64) bool {
	return m.heard[addr].incarnation == incarnation || m.left[addr].incarnation == incarnation
}

// life is how long a gateway counts as live after it was last heard.
func (m *Members) life() time.Duration { return max(memberLife, memberPaces*paceAmong(len(m.heard))) }

// Live returns the addresses of the other live gateways, in order.
func (m *Members) Live(now time.Time) []string {
	life := m.life()
	maps.DeleteFunc(m.heard, func(_ string, s seen) bool { return now.Sub(s.at) >= life })
	maps.DeleteFunc(m.left, func(_ string, l leave) bool { return now.After(l.until) })
	return slices.Sorted(maps.Keys(m.heard))
}

// Reached returns the addresses of the other gateways that still talk: the live ones, and those that leave. These answer what
// they have begun, and requests that still come to them, by what they are told.
func (m *Members) Reached(now time.Time) []string {
	out := m.Live(now)
	for addr, l := range m.left {
		if now.Sub(l.at) < memberLife {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// membersTold is the number of gateways that one report names. A gateway exchanges some forty
// reports a second, so that each of a hundred is named several times a second; all of them
// in each report would make most of its bytes.
const membersTold = 8

// Report returns live gateways with the time since each was heard: all of them, or at most membersTold in turn.
func (m *Members) Report(all bool, now time.Time) []*Member {
	live := m.Live(now)
	if len(live) > membersTold && !all {
		from := m.next % len(live)
		m.next = from + membersTold
		live = append(live[from:], live[:from]...)[:membersTold]
	}
	out := make([]*Member, 0, len(live))
	for _, addr := range live {
		s := m.heard[addr]
		out = append(out, &Member{Addr: addr, AgeMs: uint32(now.Sub(s.at).Milliseconds()), Incarnation: s.incarnation})
	}
	return out
}
