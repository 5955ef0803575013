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
	heard map[string]time.Time
	// left holds when a gateway said that it leaves, so that hearsay does not bring it back.
	left map[string]time.Time
}

// NewMembers returns the members as seen by the gateway at self.
func NewMembers(self string) *Members {
	return &Members{self: self, heard: map[string]time.Time{}, left: map[string]time.Time{}}
}

// Heard notes that a gateway itself was heard.
func (m *Members) Heard(addr string, now time.Time) {
	if addr == m.self || addr == "" {
		return
	}
	delete(m.left, addr)
	m.heard[addr] = now
}

// Told notes that another gateway heard addr some time ago.
func (m *Members) Told(addr string, age time.Duration, now time.Time) {
	if addr == m.self || addr == "" || age >= m.life() {
		return
	}
	at := now.Add(-age)
	if left, ok := m.left[addr]; ok && !at.After(left) {
		return
	}
	if at.After(m.heard[addr]) {
		m.heard[addr] = at
	}
}

// Left notes that a gateway said that it leaves.
func (m *Members) Left(addr string, now time.Time) {
	delete(m.heard, addr)
	m.left[addr] = now.Add(m.life())
}

// life is how long a gateway counts as live after it was last heard.
func (m *Members) life() time.Duration { return max(memberLife, memberPaces*paceAmong(len(m.heard))) }

// Live returns the addresses of the other live gateways, in order.
func (m *Members) Live(now time.Time) []string {
	life := m.life()
	maps.DeleteFunc(m.heard, func(_ string, at time.Time) bool { return now.Sub(at) >= life })
	maps.DeleteFunc(m.left, func(_ string, at time.Time) bool { return now.After(at) })
	return slices.Sorted(maps.Keys(m.heard))
}

// membersTold is the number of gateways that one report names. A gateway exchanges some forty
// reports a second, so that each of a hundred is named several times a second; all of them
// in each report would make most of its bytes.
const membersTold = 8

// Report returns live gateways, at most membersTold of them in turn, with the time since
// each was heard.
func (m *Members) Report(now time.Time) []*Member {
	live := m.Live(now)
	if len(live) > membersTold {
		from := m.next % len(live)
		m.next = from + membersTold
		live = append(live[from:], live[:from]...)[:membersTold]
	}
	out := make([]*Member, 0, len(live))
	for _, addr := range live {
		out = append(out, &Member{Addr: addr, AgeMs: uint32(now.Sub(m.heard[addr]).Milliseconds())})
	}
	return out
}
