package limit

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/quotaorder"
)

// SharedQuotas enforces customers' quotas across all processes with a replicated token bucket (global token bucket).
// Each process holds a copy of every customer's bucket: it deducts its own admissions at once, and those of others
// as soon as they are reported.
//
// Load pattern: a customer sends several times its quota for some seconds, through many processes or a few, while its
// clients move between them, processes start, and some are partitioned. Reports arrive within milliseconds, so all
// copies are nearly the same and a quota can be used wherever its clients are. No process can tell whether an
// unresponsive process has terminated or continues in isolation. So its share is reserved for it, and a process that
// receives no reports uses no more than its own share: together they never exceed the quota. Shares follow the demand
// at the time when all could reach each other.
//
// A request is admitted while anything remains, whatever it costs, and the excess is a debt. If a request had to wait
// until its whole cost remained, small requests would starve larger ones.
type SharedQuotas struct {
	accounts map[string]*account
	members  map[string]*member
	// unresponsiveAfter is the time without reports after which a member counts as unresponsive. heartbeatInterval is
	// the interval at which a process repeats its report of a quota that is nearly exhausted.
	unresponsiveAfter, heartbeatInterval time.Duration
	// reportInterval is the interval between two reports of a pair of processes.
	reportInterval time.Duration
	started        time.Time
	// lastReceived is when a report of any member was last received.
	lastReceived time.Time
	// informed is set once this process knows, after its start, the remaining tokens of quotas.
	informed bool
	// updatePending is set when a change is large enough to be reported at once.
	updatePending bool
	// withoutHeartbeats is set if a quota is not reported merely because it is nearly exhausted.
	withoutHeartbeats bool
	// ordered is set if quotas are spent in the order of classes; see OrderQuotas for orderPhase.
	ordered    bool
	orderPhase float64
}

// account is the quota of one customer.
type account struct {
	rate, burst float64
	// remaining is the level of the bucket at the time at, without the tokens reserved for unresponsive members.
	remaining float64
	at        time.Time
	// reservedShare is the share of the quota that is reserved for unresponsive members.
	reservedShare float64
	// learned is set once, after a start, another process has reported the remaining tokens.
	learned bool
	// offered is the demand at this process, reportedDemand its value in the last report, and peerDemand the demand
	// reported by the other processes.
	offered                    rateMeter
	reportedDemand, peerDemand float64
	// charged is the cost of the requests admitted here, and returned the part of it whose requests did not run.
	// reported is their difference in the last report. lastActive is when either last changed.
	charged, returned, reported float64
	lastActive, reportedAt      time.Time
	// nearlyExhaustedAt is when the quota was last nearly exhausted.
	nearlyExhaustedAt time.Time
	// expectedRetries is the cost of the rejected requests that are still expected to be retried.
	expectedRetries float64
	members         map[string]*usage
	// order is the order of the customer's requests; nil until AdmitOrdered has decided on one.
	order *quotaorder.Order
}

// usage is one member's reported use of one customer's quota.
type usage struct {
	charged, returned, demand float64
	// known is set once the member has reported the customer, nearlyExhausted if its last report showed the quota as
	// nearly exhausted. lastUsed is when a report last showed new use.
	known, nearlyExhausted bool
	lastUsed               time.Time
	// reservedShare is the share reserved for the member since reservedSince, when it became unresponsive.
	// reservedAmount is its part of the tokens that then remained in the bucket.
	reservedShare, reservedAmount float64
	reservedSince                 time.Time
}

// member is another process.
type member struct {
	incarnation  uint64
	lastReceived time.Time
	unresponsive bool
	// hasReservation is set while a share may be reserved for the member.
	hasReservation bool
}

// ReportedUsage is one process's report of one customer. Charged and Returned are sums since its start, which only
// grow.
type ReportedUsage struct {
	Customer          string
	Charged, Returned float64
	// Demand is in units per second, Remaining the remaining tokens of the quota for all processes.
	Demand, Remaining float64
	// Classes is the demand by class; nil if the quota is not nearly exhausted, and from earlier releases.
	Classes *ReportedDemand
	// Ordered is set while the process spends the quota in the order of classes.
	Ordered bool
}

const (
	// initialBurstShare is the share of a burst that is available after a start until another process reports the
	// remaining tokens: all processes may have just terminated, and the tokens they used still count.
	initialBurstShare = 0.5
	// assumedProcesses is the number of processes assumed after a start, until the first report is received or for
	// assumedProcessesFor at most.
	assumedProcesses    = 8
	assumedProcessesFor = 2 * time.Second
	// selfInformedAfter is the time after which a process knows the remaining tokens without reports: tokens used before
	// its start are outside every window.
	selfInformedAfter = 8 * time.Second
	// assumedDemandShare is the demand, as a share of the rate, that is assumed of all processes together on top of
	// the reported demand. It leaves something to an unresponsive process whose clients arrive later, and keeps one large
	// request from determining a share.
	assumedDemandShare = 0.05
	// A process that receives no report for isolatedIntervals mean intervals between reports, and at least
	// minIsolatedAfter, is itself isolated.
	isolatedIntervals = 3
	minIsolatedAfter  = 150 * time.Millisecond
	// A member counts as unresponsive after unresponsiveIntervals report intervals, and at least minUnresponsiveAfter.
	unresponsiveIntervals = 1.6
	minUnresponsiveAfter  = time.Second
	// While a quota is nearly exhausted, each process that uses it reports it heartbeatsPerInterval times per report
	// interval, and counts as unresponsive after missedHeartbeats of them: within a second, a customer that asks for
	// many times its quota takes as much as the bucket holds.
	heartbeatsPerInterval = 16
	minHeartbeatInterval  = 150 * time.Millisecond
	missedHeartbeats      = 2
	// heartbeatsContinueFor is how long a process continues its heartbeats after a quota is no longer nearly exhausted
	// in its own copy: other processes may see that a little later.
	heartbeatsContinueFor = 2 * time.Second
	// MemberCheckInterval is the interval between two calls of CheckMembers.
	MemberCheckInterval = 100 * time.Millisecond
	// memberTTL is how long the share of an unresponsive member stays reserved.
	memberTTL = 30 * time.Second
	// activeFor is how long a customer is reported after its last request.
	activeFor = 5 * time.Second
	// immediateReportShare is the share of a burst from which a change is reported at once.
	immediateReportShare = 0.01
	// retryMargin is added to the time at which the debt is paid off, since capacity is free only a moment later.
	retryMargin = 10 * time.Millisecond
	// maxExpectedRetries bounds the expected retries, in seconds of the rate: clients retry sooner than that, or never.
	maxExpectedRetries = 10
)

// NewSharedQuotas returns the quotas of a process that starts now.
func NewSharedQuotas(now time.Time) *SharedQuotas {
	return &SharedQuotas{accounts: map[string]*account{}, members: map[string]*member{}, started: now, unresponsiveAfter: time.Second, heartbeatInterval: minHeartbeatInterval}
}

// WithoutHeartbeats turns heartbeats off, so that unresponsive members are found only by missing regular reports. It is
// for quotas that are always nearly exhausted and where the tokens that a member takes in the meantime do little harm:
// only changes are reported.
func (s *SharedQuotas) WithoutHeartbeats() *SharedQuotas {
	s.withoutHeartbeats = true
	return s
}

// SetReportInterval sets the interval between two reports of a pair of processes.
func (s *SharedQuotas) SetReportInterval(interval time.Duration) {
	s.reportInterval = interval
	s.unresponsiveAfter = max(minUnresponsiveAfter, time.Duration(unresponsiveIntervals*float64(interval)))
	s.heartbeatInterval = max(minHeartbeatInterval, interval/heartbeatsPerInterval)
}

// Retain removes the customers for which want is false.
func (s *SharedQuotas) Retain(want func(customer string) bool) {
	for name := range s.accounts {
		if !want(name) {
			delete(s.accounts, name)
		}
	}
}

// Configure sets the quota of a customer.
func (s *SharedQuotas) Configure(customer string, t Terms, now time.Time) {
	s.account(customer, t, now)
}

// account returns the account of a customer, refilled up to now. When the burst is raised, the remaining
// tokens grow with it.
func (s *SharedQuotas) account(customer string, t Terms, now time.Time) *account {
	a := s.accounts[customer]
	if a == nil {
		a = &account{rate: t.Rate, burst: t.Burst, remaining: t.Burst, at: now, members: map[string]*usage{}}
		if now.Sub(s.started) < selfInformedAfter {
			a.remaining *= initialBurstShare
		}
		s.accounts[customer] = a
	}
	a.refill(now)
	if a.rate != t.Rate || a.burst != t.Burst {
		a.remaining += max(t.Burst-a.burst, 0) * a.usableShare()
		a.rate, a.burst = t.Rate, t.Burst
		a.refill(now)
	}
	return a
}

// usableShare is the share of the quota for this process and the members that respond.
func (a *account) usableShare() float64 { return 1 - a.reservedShare }

// refill adds the tokens that the bucket has gained by now.
func (a *account) refill(now time.Time) {
	if elapsed := now.Sub(a.at).Seconds(); elapsed > 0 {
		a.remaining += a.rate * a.usableShare() * elapsed
		a.expectedRetries = max(a.expectedRetries-a.rate*a.usableShare()*elapsed, 0)
		a.at = now
	}
	a.remaining = min(a.remaining, a.burst*a.usableShare())
	if a.nearlyExhausted() {
		a.nearlyExhaustedAt = now
	}
}

// demandShare returns the share of the quota for a process that reported the demand, one of that many processes.
func (a *account) demandShare(demand float64, processes int) float64 {
	assumed := assumedDemandShare * a.rate
	return (demand + assumed/float64(max(processes, 1))) / max(a.reportedDemand+a.peerDemand+assumed, 1e-9)
}

// Admit implements Limiter.
func (s *SharedQuotas) Admit(customer string, t Terms, now time.Time, _ *rand.Rand) Decision {
	if t.Rate <= 0 {
		return admitted(1)
	}
	a := s.account(customer, t, now)
	cost := t.cost()
	a.offered.add(cost, now)
	a.lastActive = now
	if a.remaining <= s.startupReserve(a, now) {
		return a.reject(cost)
	}
	a.remaining -= cost
	a.charged += cost
	s.recordUpdate(a)
	return admitted(1)
}

// maxTimeToAdmit bounds the result of TimeToAdmit.
const maxTimeToAdmit = time.Hour

// StartInDebt starts a customer's quota with a debt that every process records by itself, without a report.
func (s *SharedQuotas) StartInDebt(customer string, cost float64, now time.Time) {
	if a := s.accounts[customer]; a != nil {
		a.refill(now)
		a.remaining = min(a.remaining, -cost)
	}
}

// TimeToAdmit returns the time until a request of a customer would be admitted. If it is negative, a request would have
// been admitted for that long already.
func (s *SharedQuotas) TimeToAdmit(customer string, t Terms, now time.Time) time.Duration {
	a := s.account(customer, t, now)
	rate := max(a.rate*a.usableShare(), 1e-9)
	return bounded.Seconds(min((s.startupReserve(a, now)-a.remaining)/rate, maxTimeToAdmit.Seconds()))
}

// startupReserve is the part of the bucket that is not used right after a start: a process receives the first reports
// within some tenths of a second, and until then leaves most of the bucket to the others.
func (s *SharedQuotas) startupReserve(a *account, now time.Time) float64 {
	if len(s.members) > 0 || now.Sub(s.started) >= assumedProcessesFor {
		return 0
	}
	return a.burst * initialBurstShare * (1 - 1.0/assumedProcesses)
}

// reject rejects a request until there will be capacity for it and for the retries of those rejected before.
func (a *account) reject(cost float64) Decision {
	rate := max(a.rate*a.usableShare(), 1e-9)
	wait := bounded.Seconds((a.expectedRetries - a.remaining) / rate)
	a.expectedRetries = min(a.expectedRetries+cost, a.rate*maxExpectedRetries)
	return rejected(outcome.RateLimited, wait+retryMargin)
}

// Return refunds the cost charged for a request that did not run.
func (s *SharedQuotas) Return(customer string, cost float64, now time.Time) {
	a := s.accounts[customer]
	if a == nil {
		return
	}
	a.remaining += cost
	a.refill(now)
	a.returned += cost
	a.lastActive = now
	s.recordUpdate(a)
}

func (s *SharedQuotas) recordUpdate(a *account) {
	if change := a.charged - a.returned - a.reported; change >= immediateReportShare*a.burst || -change >= immediateReportShare*a.burst {
		s.updatePending = true
	}
}

// UpdateDue reports whether there is something to report to the other processes at once.
func (s *SharedQuotas) UpdateDue(now time.Time) bool {
	if s.updatePending {
		return true
	}
	for _, a := range s.accounts {
		if s.sendsHeartbeats(a, now) && now.Sub(a.reportedAt) >= s.heartbeatInterval {
			return true
		}
	}
	return false
}

// nearlyExhausted reports whether less than half of the usable burst remains.
func (a *account) nearlyExhausted() bool { return a.remaining < a.burst*a.usableShare()/2 }

// sendsHeartbeats reports whether this process has to send heartbeats because it uses a quota that is nearly exhausted.
func (s *SharedQuotas) sendsHeartbeats(a *account, now time.Time) bool {
	return !s.withoutHeartbeats && now.Sub(a.lastActive) < activeFor && now.Sub(a.nearlyExhaustedAt) < heartbeatsContinueFor
}

// State is the local state of one customer's quota.
type State struct {
	Rate, Burst float64
	// Remaining is the number of tokens left for this process and the members that respond, ReservedShare the share reserved
	// for those that don't.
	Remaining, ReservedShare float64
	// Charged is the cost of the requests admitted here that have run, Demand the demand here in units per second.
	Charged, Demand float64
	// Classes are those with any demand. Ordered is set while the quota is spent in their order.
	Classes []ClassState
	Ordered bool
}

// States returns the state of each customer that has a quota.
func (s *SharedQuotas) States(now time.Time) map[string]State {
	out := make(map[string]State, len(s.accounts))
	for name := range s.accounts {
		out[name] = s.StateOf(name, now)
	}
	return out
}

// StateOf returns the state of one customer; zero if it has no quota.
func (s *SharedQuotas) StateOf(customer string, now time.Time) State {
	a := s.accounts[customer]
	if a == nil {
		return State{}
	}
	a.refill(now)
	classes, ordered := a.classStates(now)
	return State{
		Rate: a.rate, Burst: a.burst, Remaining: a.remaining, ReservedShare: 1 - a.usableShare(),
		Charged: a.charged - a.returned, Demand: a.offered.rate(now), Classes: classes, Ordered: ordered,
	}
}

// UnresponsiveMembers returns the number of unresponsive members.
func (s *SharedQuotas) UnresponsiveMembers() int {
	unresponsive := 0
	for _, m := range s.members {
		if m.unresponsive {
			unresponsive++
		}
	}
	return unresponsive
}

// Done implements Limiter; requests in progress are not limited here.
func (s *SharedQuotas) Done(string) {}

// Observe implements Limiter; loads that sidecars report are not used.
func (s *SharedQuotas) Observe(string, string, Load, float64, time.Time) {}
