package peer

import (
	"maps"
	"slices"
	"time"
)

const (
	// memberTTL is the minimum time for which a gateway counts as live after its last contact with this
	// process or with one that reported it. It covers a freeze of some seconds.
	memberTTL = 5 * time.Second
	// memberTTLIntervals is the time to live in exchange intervals where these are long, so that one exchange
	// may fail. Among 300 gateways each pair exchanges every 7.5 s; with a shorter time to live, expired
	// gateways were redialled, 31 connections a second.
	memberTTLIntervals = 2
)

// Members tracks the gateways that are presumed live. It is a pure state machine and not safe for concurrent
// use. Gateways are identified by the address on which they listen.
type Members struct {
	self string
	// next is the position in the list of live gateways at which the next report starts.
	next     int
	contacts map[string]contact
	// departures are gateways that announced that they leave, so that reports of other gateways don't add them
	// again.
	departures map[string]departure
}

// contact is the time of the last contact with a gateway, and its incarnation; zero if unknown.
type contact struct {
	at          time.Time
	incarnation uint64
}

// departure is a gateway that announced that it leaves. Reports of contact with it up to until are ignored,
// unless they name another incarnation.
type departure struct {
	contact
	until time.Time
}

// NewMembers returns the members known to the gateway at self.
func NewMembers(self string) *Members {
	return &Members{self: self, contacts: map[string]contact{}, departures: map[string]departure{}}
}

// RecordContact records direct contact with a gateway, and reports whether it is new.
func (m *Members) RecordContact(addr string, incarnation uint64, now time.Time) bool {
	if addr == m.self || addr == "" {
		return false
	}
	delete(m.departures, addr)
	old, ok := m.contacts[addr]
	m.contacts[addr] = contact{now, incarnation}
	return !ok || old.incarnation != incarnation
}

// RecordReported records that another gateway had contact with addr some time ago, and reports whether it is
// new.
func (m *Members) RecordReported(addr string, incarnation uint64, age time.Duration, now time.Time) bool {
	if addr == m.self || addr == "" || age >= m.ttl() {
		return false
	}
	at := now.Add(-age)
	if departed, ok := m.departures[addr]; ok {
		restarted := incarnation != 0 && incarnation != departed.incarnation
		if !restarted && !at.After(departed.until) {
			return false
		}
	}
	old, ok := m.contacts[addr]
	if at.After(old.at) {
		m.contacts[addr] = contact{at, incarnation}
	}
	return !ok
}

// RecordLeaving records that a gateway announced that it leaves.
func (m *Members) RecordLeaving(addr string, incarnation uint64, now time.Time) {
	delete(m.contacts, addr)
	m.departures[addr] = departure{contact: contact{now, incarnation}, until: now.Add(m.ttl())}
}

// Knows reports whether an incarnation of a gateway is known.
func (m *Members) Knows(addr string, incarnation uint64) bool {
	return m.contacts[addr].incarnation == incarnation || m.departures[addr].incarnation == incarnation
}

// ttl is the time for which a gateway counts as live after the last contact.
func (m *Members) ttl() time.Duration {
	return max(memberTTL, memberTTLIntervals*intervalAmong(len(m.contacts)))
}

// Live returns the addresses of the other live gateways, sorted.
func (m *Members) Live(now time.Time) []string {
	ttl := m.ttl()
	maps.DeleteFunc(m.contacts, func(_ string, c contact) bool { return now.Sub(c.at) >= ttl })
	maps.DeleteFunc(m.departures, func(_ string, d departure) bool { return now.After(d.until) })
	return slices.Sorted(maps.Keys(m.contacts))
}

// Reachable returns the addresses of the other gateways that still communicate: live ones and those that are
// leaving. The latter finish the requests that they have begun, and serve ones that still arrive, based on
// the reports they receive.
func (m *Members) Reachable(now time.Time) []string {
	out := m.Live(now)
	for addr, d := range m.departures {
		if now.Sub(d.at) < memberTTL {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// membersPerReport is the number of gateways that one report names. A gateway exchanges some forty reports a
// second, so each of a hundred is named several times a second; naming all of them in each report would
// account for most of its bytes.
const membersPerReport = 8

// Report returns live gateways with the time since the last contact: all of them, or at most membersPerReport
// in round-robin order.
func (m *Members) Report(all bool, now time.Time) []*Member {
	live := m.Live(now)
	if len(live) > membersPerReport && !all {
		from := m.next % len(live)
		m.next = from + membersPerReport
		live = append(live[from:], live[:from]...)[:membersPerReport]
	}
	out := make([]*Member, 0, len(live))
	for _, addr := range live {
		c := m.contacts[addr]
		out = append(out, &Member{Addr: addr, AgeMs: uint32(now.Sub(c.at).Milliseconds()), Incarnation: c.incarnation})
	}
	return out
}
