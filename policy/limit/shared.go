package limit

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// SharedQuotas holds customers to quotas by what all processes tell each other of what they have used. Each keeps the bucket
// of all: it takes from it what it admits itself at once, and what others admit as soon as it hears of it.
//
// Load pattern: a customer sends several times its quota for some seconds, through many processes or a few, while its
// callers move between them, processes start, and some are cut off. What is told comes within milliseconds, so that all
// buckets are alike and a quota is used wherever its callers are. Of a process that has fallen silent nobody knows
// whether it has ended or goes on alone. So its share is set apart for it, and a process that hears nobody keeps to its own:
// together they never use more than the quota. A share follows demand as it was when all could hear each other.
//
// A request is admitted while anything is left, whatever it costs, and what it takes beyond is owed. Were as much left
// as it costs to be waited for, small requests would pass all larger ones.
type SharedQuotas struct {
	accounts map[string]*account
	members  map[string]*member
	// silence is the time after which a member that was not heard counts as silent. beat is the pause after which a process
	// tells again of a quota that is nearly used up.
	silence, beat time.Duration
	// pace is the pause between two reports of a pair of processes.
	pace    time.Duration
	started time.Time
	// heard is when any member was last heard.
	heard time.Time
	// informed is set once it is known what is left of quotas, after a start.
	informed bool
	// untold is set when something has changed that is worth telling at once.
	untold bool
	// beatless is set if nobody tells of a quota merely because it is nearly used up.
	beatless bool
}

// account is the quota of one customer.
type account struct {
	rate, burst float64
	// left is what is left of the bucket of all at a time, but for what is set apart for silent members.
	left float64
	at   time.Time
	// apart is the share of the quota that is set apart for silent members.
	apart float64
	// learned is set once another process told what is left, after a start.
	learned bool
	// offered is what is asked for here, demand what was last told of it, and others what others told of theirs.
	offered        meter
	demand, others float64
	// charged and returned are what was admitted here, and what of it did not run; told is their difference
	// when it was last told, active when either changed.
	charged, returned, told float64
	active, toldAt          time.Time
	// tightAt is when the quota was last nearly used up.
	tightAt time.Time
	// promised is what those who were turned away were told to come back for.
	promised float64
	members  map[string]*usage
}

// usage is what one member told of one customer.
type usage struct {
	charged, returned, demand float64
	// known is set once it told of the customer, beats if it saw the quota nearly used up then. used is when it was last
	// heard to have used it.
	known, beats bool
	used         time.Time
	// share is what was set apart for it since it is silent, from the time since; base is what of the bucket was
	// left then.
	share, base float64
	since       time.Time
}

// member is another process.
type member struct {
	incarnation uint64
	heard       time.Time
	silent      bool
	// apart is set while something may be set apart for it.
	apart bool
}

// ReportedUsage is what one process tells of one customer: sums since its start, which only grow.
type ReportedUsage struct {
	Customer          string
	Charged, Returned float64
	// Demand is in units per second, Remaining what is left of the quota of all.
	Demand, Remaining float64
}

const (
	// firstBurst is the part of a burst that is there after a start, as long as nobody tells what is left: all
	// processes may have ended a moment ago, and what they had used counts still.
	firstBurst = 0.5
	// assumedProcesses is how many there are assumed to be after a start, until one was heard, for assumedFor at most.
	assumedProcesses = 8
	assumedFor       = 2 * time.Second
	// learnFor is the time after which a process knows by itself what is left: what was used before its start
	// is out of any window.
	learnFor = 8 * time.Second
	// assumedDemand is the demand, in parts of the rate, that is assumed of all processes together besides what they told:
	// so that a silent one whose callers come later has something, and one large request is no share.
	assumedDemand = 0.05
	// A process that hears nobody for alonePauses mean pauses between two reports, leastAlone at least, is cut off itself.
	alonePauses = 3
	leastAlone  = 150 * time.Millisecond
	// A member counts as silent after silentPaces pauses between two reports, leastSilence at least.
	silentPaces  = 1.6
	leastSilence = time.Second
	// While a quota is nearly used up, whoever uses it tells so beatsInPace times between two reports, and counts as silent
	// after beatsMissed of them: in a second, a customer that asks for many times its quota takes as much as it holds.
	beatsInPace = 16
	leastBeat   = 150 * time.Millisecond
	beatsMissed = 2
	// tightFor is how long a process goes on telling once a quota is not nearly used up any more as it sees it: others may
	// see it a little later.
	tightFor = 2 * time.Second
	// MemberCheckInterval is the pause between two calls of Refresh.
	MemberCheckInterval = 100 * time.Millisecond
	// memberForgotten is how long a silent member's share is set apart for it.
	memberForgotten = 30 * time.Second
	// activeFor is how long a customer is told of after its last request.
	activeFor = 5 * time.Second
	// toldPart is the part of a burst from which on a change is told at once.
	toldPart = 0.01
	// retryGrain is added to the time at which nothing is owed any more, since there is room a moment later.
	retryGrain = 10 * time.Millisecond
	// mostPromised bounds what is promised, in seconds of the rate: callers come back sooner than that, or never.
	mostPromised = 10
)

// NewSharedQuotas returns the quotas of a process that starts now.
func NewSharedQuotas(now time.Time) *SharedQuotas {
	return &SharedQuotas{accounts: map[string]*account{}, members: map[string]*member{}, started: now, silence: time.Second, beat: leastBeat}
}

// WithoutHeartbeats has members that fall silent found by their reports alone: of quotas that are always nearly used up, where
// what a member takes meanwhile does little harm, nothing need be told that has not changed.
func (s *SharedQuotas) WithoutHeartbeats() *SharedQuotas {
	s.beatless = true
	return s
}

// SetReportInterval takes the pause between two reports of a pair of processes.
func (s *SharedQuotas) SetReportInterval(pace time.Duration) {
	s.pace = pace
	s.silence = max(leastSilence, time.Duration(silentPaces*float64(pace)))
	s.beat = max(leastBeat, pace/beatsInPace)
}

// Retain drops the customers that want does not name.
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

// account returns the account of a customer, brought up to now. With a quota that was raised what is left grows with it.
func (s *SharedQuotas) account(customer string, t Terms, now time.Time) *account {
	a := s.accounts[customer]
	if a == nil {
		a = &account{rate: t.Rate, burst: t.Burst, left: t.Burst, at: now, members: map[string]*usage{}}
		if now.Sub(s.started) < learnFor {
			a.left *= firstBurst
		}
		s.accounts[customer] = a
	}
	a.refill(now)
	if a.rate != t.Rate || a.burst != t.Burst {
		a.left += max(t.Burst-a.burst, 0) * a.usable()
		a.rate, a.burst = t.Rate, t.Burst
		a.refill(now)
	}
	return a
}

// usable is the part of the quota that this process and those that it hears may use.
func (a *account) usable() float64 { return 1 - a.apart }

// refill brings an account up to now.
func (a *account) refill(now time.Time) {
	if elapsed := now.Sub(a.at).Seconds(); elapsed > 0 {
		a.left += a.rate * a.usable() * elapsed
		a.promised = max(a.promised-a.rate*a.usable()*elapsed, 0)
		a.at = now
	}
	a.left = min(a.left, a.burst*a.usable())
	if a.tight() {
		a.tightAt = now
	}
}

// share is the share of one of so many processes that told of a demand.
func (a *account) share(demand float64, processes int) float64 {
	assumed := assumedDemand * a.rate
	return (demand + assumed/float64(max(processes, 1))) / max(a.demand+a.others+assumed, 1e-9)
}

// Admit implements Limiter.
func (s *SharedQuotas) Admit(customer string, t Terms, now time.Time, _ *rand.Rand) Decision {
	if t.Rate <= 0 {
		return admitted(1)
	}
	a := s.account(customer, t, now)
	cost := t.cost()
	a.offered.add(cost, now)
	a.active = now
	if a.left <= s.untouched(a, now) {
		return a.refuse(cost)
	}
	a.left -= cost
	a.charged += cost
	s.noteUntold(a)
	return admitted(1)
}

// mostFree bounds what Free returns.
const mostFree = time.Hour

// StartInDebt has a customer's quota begin with a debt, which every process knows of itself.
func (s *SharedQuotas) StartInDebt(customer string, cost float64, now time.Time) {
	if a := s.accounts[customer]; a != nil {
		a.refill(now)
		a.left = min(a.left, -cost)
	}
}

// TimeToAdmit is how long it takes until a request of a customer would be admitted. Below zero it is how long one would have been
// already.
func (s *SharedQuotas) TimeToAdmit(customer string, t Terms, now time.Time) time.Duration {
	a := s.account(customer, t, now)
	rate := max(a.rate*a.usable(), 1e-9)
	return time.Duration(min((s.untouched(a, now)-a.left)/rate, mostFree.Seconds()) * float64(time.Second))
}

// untouched is what of the bucket is not used right after a start: a process meets the others within some tenths of a second,
// and leaves them most of it until one was heard.
func (s *SharedQuotas) untouched(a *account, now time.Time) float64 {
	if len(s.members) > 0 || now.Sub(s.started) >= assumedFor {
		return 0
	}
	return a.burst * firstBurst * (1 - 1.0/assumedProcesses)
}

// refuse turns a request away until there will be room for it and for those that were turned away before.
func (a *account) refuse(cost float64) Decision {
	rate := max(a.rate*a.usable(), 1e-9)
	wait := time.Duration((a.promised - a.left) / rate * float64(time.Second))
	a.promised = min(a.promised+cost, a.rate*mostPromised)
	return refused(outcome.RateLimited, wait+retryGrain)
}

// Return gives back what was charged for a request that has not run.
func (s *SharedQuotas) Return(customer string, cost float64, now time.Time) {
	a := s.accounts[customer]
	if a == nil {
		return
	}
	a.left += cost
	a.refill(now)
	a.returned += cost
	a.active = now
	s.noteUntold(a)
}

func (s *SharedQuotas) noteUntold(a *account) {
	if change := a.charged - a.returned - a.told; change >= toldPart*a.burst || -change >= toldPart*a.burst {
		s.untold = true
	}
}

// UpdateDue reports whether something is worth telling at once.
func (s *SharedQuotas) UpdateDue(now time.Time) bool {
	if s.untold {
		return true
	}
	for _, a := range s.accounts {
		if s.beats(a, now) && now.Sub(a.toldAt) >= s.beat {
			return true
		}
	}
	return false
}

// tight reports whether the quota is nearly used up.
func (a *account) tight() bool { return a.left < a.burst*a.usable()/2 }

// beats reports whether this process has to show that it uses a quota that is nearly used up.
func (s *SharedQuotas) beats(a *account, now time.Time) bool {
	return !s.beatless && now.Sub(a.active) < activeFor && now.Sub(a.tightAt) < tightFor
}

// State is what is known of one customer's quota.
type State struct {
	Rate, Burst float64
	// Remaining is what is left of it for this process and those that it hears; ReservedShare is the share that is set apart for others.
	Remaining, ReservedShare float64
	// Charged is what was admitted here and has run, Demand what is asked for here a second.
	Charged, Demand float64
}

// States returns the state of each customer that has a quota.
func (s *SharedQuotas) States(now time.Time) map[string]State {
	out := make(map[string]State, len(s.accounts))
	for name, a := range s.accounts {
		a.refill(now)
		out[name] = State{
			Rate: a.rate, Burst: a.burst, Remaining: a.left, ReservedShare: 1 - a.usable(),
			Charged: a.charged - a.returned, Demand: a.offered.rate(now),
		}
	}
	return out
}

// UnresponsiveMembers is the number of members that are not heard.
func (s *SharedQuotas) UnresponsiveMembers() int {
	silent := 0
	for _, m := range s.members {
		if m.silent {
			silent++
		}
	}
	return silent
}

// Done implements Limiter; requests in progress are not bounded here.
func (s *SharedQuotas) Done(string) {}

// Observe implements Limiter; what servers tell plays no part.
func (s *SharedQuotas) Observe(string, string, Load, float64, time.Time) {}
