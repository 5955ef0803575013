package limit

import "time"

// Report returns the usages to report, and whether this process knows the remaining tokens. With changes set they are
// those that have changed since the last such report, for all other processes; otherwise they are those of all recently
// active customers, for one of them.
func (s *SharedQuotas) Report(changes bool, now time.Time) (usages []ReportedUsage, informed bool) {
	s.updatePending = s.updatePending && !changes
	isolated := s.isolated()
	for name, a := range s.accounts {
		if a.lastActive.IsZero() || now.Sub(a.lastActive) >= activeFor || (changes && a.charged-a.returned == a.reported && !s.sendsHeartbeats(a, now)) {
			continue
		}
		a.refill(now)
		if !isolated {
			// Processes that no longer receive reports from here use the demand reported last.
			a.reportedDemand = a.offered.rate(now)
		}
		if changes {
			a.reported, a.reportedAt = a.charged-a.returned, now
		}
		usages = append(usages, ReportedUsage{
			Customer: name, Charged: a.charged, Returned: a.returned, Demand: a.reportedDemand, Remaining: a.remaining, Classes: s.demandByClass(a, now),
			Ordered: a.order != nil && a.order.ActiveAt(s.level(a, now)),
		})
	}
	return usages, s.isInformed(now)
}

func (s *SharedQuotas) isInformed(now time.Time) bool {
	s.informed = s.informed || now.Sub(s.started) >= selfInformedAfter
	return s.informed
}

// isolated reports whether more than half of the members are unresponsive.
func (s *SharedQuotas) isolated() bool {
	return 2*s.UnresponsiveMembers() > len(s.members)
}

// Receive processes a member's report. With all set it names every customer that is active there, otherwise only those
// whose usage has changed.
func (s *SharedQuotas) Receive(source string, incarnation uint64, informed, all bool, usages []ReportedUsage, now time.Time) {
	m := s.members[source]
	if m == nil || m.incarnation != incarnation {
		s.removeMember(source)
		m = &member{incarnation: incarnation}
		s.members[source] = m
	}
	m.lastReceived, m.unresponsive, s.lastReceived = now, false, now
	learn := informed && !s.isInformed(now)
	// Tokens that a member used before this process began to receive reports may be long past, and are accounted for
	// in the remaining tokens that others report.
	recentlyStarted := now.Sub(s.started) < selfInformedAfter
	for _, r := range usages {
		if a := s.accounts[r.Customer]; a != nil {
			a.release(source, now)
			a.receive(source, r, recentlyStarted, now)
			s.observeDemand(a, source, r, now)
			if learn && !a.learned {
				a.remaining, a.learned = min(a.remaining, r.Remaining), true
			}
		}
	}
	if all && m.hasReservation {
		m.hasReservation = false
		for _, a := range s.accounts {
			a.release(source, now)
			a.refill(now)
		}
	}
	// A customer that a full report does not name has used nothing recently.
	s.informed = s.informed || learn && all && len(s.accounts) > 0
}

// receive processes a member's usage of the customer. The first one counts from the member's start, so it is not
// charged if this process started recently, nor if it is more than can be recent.
func (a *account) receive(source string, r ReportedUsage, recentlyStarted bool, now time.Time) {
	u := a.usageOf(source)
	charged, returned := max(r.Charged, u.charged), max(r.Returned, u.returned)
	delta := charged - u.charged - (returned - u.returned)
	a.peerDemand += r.Demand - u.demand
	if charged != u.charged {
		u.lastUsed = now
	}
	u.charged, u.returned, u.demand = charged, returned, r.Demand
	u.nearlyExhausted = r.Remaining < a.burst/2
	if u.known || !recentlyStarted && delta <= a.burst {
		a.remaining -= delta
	}
	u.known = true
	a.refill(now)
}

// usageOf returns the usage that a member has reported of the customer.
func (a *account) usageOf(source string) *usage {
	u := a.members[source]
	if u == nil {
		u = &usage{}
		a.members[source] = u
	}
	return u
}

// CheckMembers detects members that have become unresponsive.
func (s *SharedQuotas) CheckMembers(now time.Time) {
	isolated := now.Sub(s.lastReceived) >= max(minIsolatedAfter, isolatedIntervals*s.reportInterval/time.Duration(max(len(s.members), 1)))
	for source, m := range s.members {
		sinceReceived := now.Sub(m.lastReceived)
		if sinceReceived >= memberTTL {
			s.removeMember(source)
		} else if isolated || sinceReceived >= s.unresponsiveAfter || (!s.withoutHeartbeats && sinceReceived >= missedHeartbeats*(s.heartbeatInterval+MemberCheckInterval) && s.heartbeatExpected(source, now)) {
			s.setUnresponsive(source, m, now)
		}
	}
}

// heartbeatExpected reports whether a member used a nearly exhausted quota when it last reported.
func (s *SharedQuotas) heartbeatExpected(source string, now time.Time) bool {
	for _, a := range s.accounts {
		if u := a.members[source]; u != nil && u.nearlyExhausted && a.nearlyExhausted() && now.Sub(u.lastUsed) < activeFor-s.heartbeatInterval {
			return true
		}
	}
	return false
}

// MarkUnresponsive records that a member does not answer.
func (s *SharedQuotas) MarkUnresponsive(source string, now time.Time) {
	if m := s.members[source]; m != nil {
		s.setUnresponsive(source, m, now)
	}
}

func (s *SharedQuotas) setUnresponsive(source string, m *member, now time.Time) {
	if m.unresponsive {
		return
	}
	m.unresponsive, m.hasReservation = true, true
	for _, a := range s.accounts {
		a.reserve(source, len(s.members)+1, now)
		if a.order != nil {
			a.order.RemovePeer(source)
		}
	}
}

// reserve reserves the share of a member that has become unresponsive.
func (a *account) reserve(source string, processes int, now time.Time) {
	a.refill(now)
	u := a.usageOf(source)
	if u.reservedShare > 0 {
		return // The member reported in the meantime, but not this customer.
	}
	u.reservedShare = a.demandShare(u.demand, processes)
	u.reservedAmount = max(a.remaining, 0) / max(1-a.reservedShare, 1e-9) * u.reservedShare
	u.reservedSince = now
	a.remaining -= u.reservedAmount
	a.reservedShare = min(a.reservedShare+u.reservedShare, 1)
	a.refill(now)
}

// release returns the share reserved for a member to the bucket. It is called when the member reports again, together
// with the deduction of the member's actual use.
func (a *account) release(source string, now time.Time) {
	u := a.members[source]
	if u == nil || u.reservedShare == 0 {
		return
	}
	a.refill(now)
	a.reservedShare = max(a.reservedShare-u.reservedShare, 0)
	// Tokens above the bucket's capacity are dropped only after the member's usage has been deducted.
	a.remaining += u.reservedAmount + u.reservedShare*a.rate*now.Sub(u.reservedSince).Seconds()
	u.reservedShare, u.reservedAmount = 0, 0
}

// removeMember removes a member. From now on all may use the share reserved for it, but not the tokens accumulated in
// it.
func (s *SharedQuotas) removeMember(source string) {
	delete(s.members, source)
	for _, a := range s.accounts {
		if u := a.members[source]; u != nil {
			a.reservedShare = max(a.reservedShare-u.reservedShare, 0)
			a.peerDemand -= u.demand
			delete(a.members, source)
		}
	}
}
