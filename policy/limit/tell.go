package limit

import "time"

// Report returns what is to be told, and whether what is left is known here: to all other processes what they were not told
// yet, with changes, and to one of them all customers that were active of late, without.
func (s *SharedQuotas) Report(changes bool, now time.Time) (told []ReportedUsage, informed bool) {
	s.untold = s.untold && !changes
	apart := s.isolated()
	for name, a := range s.accounts {
		if a.active.IsZero() || now.Sub(a.active) >= activeFor || (changes && a.charged-a.returned == a.told && !s.beats(a, now)) {
			continue
		}
		a.refill(now)
		if !apart {
			// Those who don't hear this process any more go by what it told last.
			a.demand = a.offered.rate(now)
		}
		if changes {
			a.told, a.toldAt = a.charged-a.returned, now
		}
		told = append(told, ReportedUsage{Customer: name, Charged: a.charged, Returned: a.returned, Demand: a.demand, Remaining: a.left})
	}
	return told, s.isInformed(now)
}

func (s *SharedQuotas) isInformed(now time.Time) bool {
	s.informed = s.informed || now.Sub(s.started) >= learnFor
	return s.informed
}

// isolated reports whether more than half of the members are silent.
func (s *SharedQuotas) isolated() bool {
	return 2*s.UnresponsiveMembers() > len(s.members)
}

// Receive takes what a member told. With all it told of every customer that is active there, without only of those whose use
// has changed.
func (s *SharedQuotas) Receive(source string, incarnation uint64, informed, all bool, told []ReportedUsage, now time.Time) {
	m := s.members[source]
	if m == nil || m.incarnation != incarnation {
		s.forget(source)
		m = &member{incarnation: incarnation}
		s.members[source] = m
	}
	m.heard, m.silent, s.heard = now, false, now
	learn := informed && !s.isInformed(now)
	// What a member used before this process began to listen may be long ago, and is in what others tell is left.
	fresh := now.Sub(s.started) < learnFor
	for _, t := range told {
		if a := s.accounts[t.Customer]; a != nil {
			a.backAgain(source, now)
			a.hear(source, t, fresh, now)
			if learn && !a.learned {
				a.left, a.learned = min(a.left, t.Remaining), true
			}
		}
	}
	if all && m.apart {
		m.apart = false
		for _, a := range s.accounts {
			a.backAgain(source, now)
			a.refill(now)
		}
	}
	// A customer that is named nowhere in all that is active has used nothing of late.
	s.informed = s.informed || learn && all && len(s.accounts) > 0
}

// hear takes what a member told of the customer. The first that it tells counts from its start, so that it is not charged
// by a process that is fresh, nor if it is more than can be recent.
func (a *account) hear(source string, t ReportedUsage, fresh bool, now time.Time) {
	u := a.member(source)
	charged, returned := max(t.Charged, u.charged), max(t.Returned, u.returned)
	delta := charged - u.charged - (returned - u.returned)
	a.others += t.Demand - u.demand
	if charged != u.charged {
		u.used = now
	}
	u.charged, u.returned, u.demand = charged, returned, t.Demand
	u.beats = t.Remaining < a.burst/2
	if u.known || !fresh && delta <= a.burst {
		a.left -= delta
	}
	u.known = true
	a.refill(now)
}

// member is what is known of a member.
func (a *account) member(source string) *usage {
	u := a.members[source]
	if u == nil {
		u = &usage{}
		a.members[source] = u
	}
	return u
}

// CheckMembers looks for members that have fallen silent.
func (s *SharedQuotas) CheckMembers(now time.Time) {
	alone := now.Sub(s.heard) >= max(leastAlone, alonePauses*s.pace/time.Duration(max(len(s.members), 1)))
	for source, m := range s.members {
		quiet := now.Sub(m.heard)
		if quiet >= memberForgotten {
			s.forget(source)
		} else if alone || quiet >= s.silence || (!s.beatless && quiet >= beatsMissed*(s.beat+MemberCheckInterval) && s.owesBeats(source, now)) {
			s.setSilent(source, m, now)
		}
	}
}

// owesBeats reports whether a member used a quota that is nearly used up, when it was last heard.
func (s *SharedQuotas) owesBeats(source string, now time.Time) bool {
	for _, a := range s.accounts {
		if u := a.members[source]; u != nil && u.beats && a.tight() && now.Sub(u.used) < activeFor-s.beat {
			return true
		}
	}
	return false
}

// MarkUnresponsive notes that a member does not answer.
func (s *SharedQuotas) MarkUnresponsive(source string, now time.Time) {
	if m := s.members[source]; m != nil {
		s.setSilent(source, m, now)
	}
}

func (s *SharedQuotas) setSilent(source string, m *member, now time.Time) {
	if m.silent {
		return
	}
	m.silent, m.apart = true, true
	for _, a := range s.accounts {
		a.setApart(source, len(s.members)+1, now)
	}
}

// setApart sets the share of a member that has fallen silent apart.
func (a *account) setApart(source string, processes int, now time.Time) {
	a.refill(now)
	u := a.member(source)
	if u.share > 0 {
		return // It was heard, and told nothing of the customer.
	}
	u.share = a.share(u.demand, processes)
	u.base = max(a.left, 0) / max(1-a.apart, 1e-9) * u.share
	u.since = now
	a.left -= u.base
	a.apart = min(a.apart+u.share, 1)
	a.refill(now)
}

// backAgain has a silent member's share flow back, at once with what the member tells that it really used.
func (a *account) backAgain(source string, now time.Time) {
	u := a.members[source]
	if u == nil || u.share == 0 {
		return
	}
	a.refill(now)
	a.apart = max(a.apart-u.share, 0)
	// What of it is more than the bucket holds goes once what the member used is taken off.
	a.left += u.base + u.share*a.rate*now.Sub(u.since).Seconds()
	u.share, u.base = 0, 0
}

// forget drops a member. What was set apart for it is there for all from now on; what it had is not.
func (s *SharedQuotas) forget(source string) {
	delete(s.members, source)
	for _, a := range s.accounts {
		if u := a.members[source]; u != nil {
			a.apart = max(a.apart-u.share, 0)
			a.others -= u.demand
			delete(a.members, source)
		}
	}
}
