package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// A customer sent 761,247 tokens within eight seconds through 29 gateways where 717,492 are allowed: none of them counted
// what it admitted.

const customer = "a"

var quota = Terms{Rate: 1000, Burst: 1000, Cost: 100}

// learned is a process that has run for long enough to know what is left.
func learned() *SharedQuotas {
	s := NewSharedQuotas(start.Add(-learnFor))
	s.Configure(customer, quota, start)
	return s
}

func admit(s *SharedQuotas, times int, now time.Time) (admitted int, last Decision) {
	for range times {
		last = s.Admit(customer, quota, now, nil)
		if last.Admitted {
			admitted++
		}
	}
	return admitted, last
}

func TestSharedBucket(t *testing.T) {
	s := learned()
	n, last := admit(s, 20, start)
	assert.Equal(t, n, 10)
	assert.Equal(t, last.Reason, outcome.RateLimited)
	n, _ = admit(s, 20, start.Add(time.Second))
	assert.Equal(t, n, 10, "a second later there is as much again")
	n, _ = admit(s, 20, start.Add(time.Hour))
	assert.Equal(t, n, 10, "no more than the burst")
	_, last = admit(s, 1, start.Add(time.Hour))
	assert.Assert(t, !last.Admitted)
	s.Return(customer, 300, start.Add(time.Hour))
	n, _ = admit(s, 20, start.Add(time.Hour))
	assert.Equal(t, n, 3, "what did not run is given back")
	fresh := NewSharedQuotas(start)
	n, _ = admit(fresh, 20, start)
	assert.Equal(t, n, 1, "an eighth of that right after a start, since nobody was heard yet")
	fresh = NewSharedQuotas(start)
	fresh.Receive("other", 1, false, true, nil, start)
	n, _ = admit(fresh, 20, start)
	assert.Equal(t, n, 5, "half of it while nobody knows what is left")
	_, last = admit(s, 1, start)
	assert.Equal(t, s.Admit("unbounded", Terms{Cost: 1e9}, start, nil).Admitted, true)
	assert.Assert(t, !last.Admitted)
}

// TestLargeRequestsAreNotPassed: a request that costs more than is left is admitted while anything is, and owed: small ones
// would take whatever comes before it.
func TestLargeRequestsAreNotPassed(t *testing.T) {
	s := learned()
	large := quota
	large.Cost = 5000
	assert.Assert(t, s.Admit(customer, large, start, nil).Admitted)
	n, _ := admit(s, 1, start.Add(3900*time.Millisecond))
	assert.Equal(t, n, 0)
	n, _ = admit(s, 1, start.Add(4100*time.Millisecond))
	assert.Equal(t, n, 1)
}

// TestRetryAfterIsTrue: who comes back when told finds room, though others were told to come back as well.
func TestRetryAfterIsTrue(t *testing.T) {
	s := learned()
	admit(s, 10, start)
	var back []time.Duration
	for range 20 {
		_, d := admit(s, 1, start)
		back = append(back, d.RetryAfter)
	}
	for i, after := range back {
		n, _ := admit(s, 1, start.Add(after))
		assert.Equal(t, n, 1, "the one of number %d, told %v", i, after)
	}
}

// TestWhatOthersUsedIsTakenOff: messages may be lost, come twice or in another order.
func TestWhatOthersUsedIsTakenOff(t *testing.T) {
	a, b := learned(), learned()
	b.Receive("a", 1, true, true, nil, start)
	admit(a, 2, start)
	first, informed := a.Report(true, start)
	assert.Assert(t, informed)
	admit(a, 1, start)
	second, _ := a.Report(true, start)
	for _, told := range [][]ReportedUsage{second, first, second} {
		b.Receive("a", 1, true, false, told, start)
	}
	n, _ := admit(b, 20, start)
	assert.Equal(t, n, 7)
	again, _ := a.Report(true, start)
	assert.Equal(t, len(again), 0, "nothing has changed")
	whole, _ := a.Report(false, start)
	assert.Equal(t, len(whole), 1)
	gone, _ := a.Report(false, start.Add(activeFor))
	assert.Equal(t, len(gone), 0, "it is not active any more")
}

// TestNewProcessLearnsWhatIsLeft: a process that starts while a quota is used up doesn't hand out another one, and does not
// charge what was used long before.
func TestNewProcessLearnsWhatIsLeft(t *testing.T) {
	old := learned()
	admit(old, 10, start)
	told, informed := old.Report(false, start)
	told[0].Charged += 50_000
	fresh := NewSharedQuotas(start)
	fresh.Configure(customer, quota, start)
	fresh.Receive("old", 7, informed, true, told, start)
	n, _ := admit(fresh, 20, start)
	assert.Equal(t, n, 0)
	n, _ = admit(fresh, 20, start.Add(time.Second))
	assert.Equal(t, n, 10)
}

// Gateways were restarted in turn while a customer sent eight times its usual: 1,499,070 of its tokens ran in eight seconds
// where 1,486,732 are allowed. The first message that a new gateway heard named another customer; it took that for all that
// was to be known, and handed out half a burst of the one that had used up its quota.
func TestNewProcessLearnsOfEachCustomer(t *testing.T) {
	old := learned()
	old.Configure("other", quota, start)
	admit(old, 10, start)
	usedUp, _ := old.Report(true, start)
	fresh := NewSharedQuotas(start)
	fresh.Configure(customer, quota, start)
	fresh.Configure("other", quota, start)
	fresh.Receive("old", 7, true, false, []ReportedUsage{{Customer: "other", Charged: 100, Remaining: 900}}, start)
	fresh.Receive("old", 7, true, false, usedUp, start)
	n, _ := admit(fresh, 20, start)
	assert.Equal(t, n, 0)
}

// TestHeardBeforeConfigured: a gateway that starts hears of others before it has read its configuration. What was left of quotas
// that it did not know of yet was lost, and it took itself for informed: each handed out a whole burst.
func TestHeardBeforeConfigured(t *testing.T) {
	old := learned()
	admit(old, 10, start)
	told, informed := old.Report(false, start)
	fresh := NewSharedQuotas(start)
	fresh.Receive("old", 7, informed, true, told, start)
	fresh.Configure(customer, quota, start)
	n, _ := admit(fresh, 20, start)
	assert.Equal(t, n, 5)
	fresh = NewSharedQuotas(start)
	fresh.Receive("old", 7, informed, true, told, start)
	fresh.Configure(customer, quota, start)
	fresh.Receive("old", 7, informed, true, told, start)
	n, _ = admit(fresh, 20, start)
	assert.Equal(t, n, 0)
}

// TestSilentMembersHaveTheirShare: of ten processes that use a quota alike, one falls silent. It may go on with a tenth, so
// that the others leave it that; once it is heard again, what it really used counts.
func TestSilentMembersHaveTheirShare(t *testing.T) {
	s := learned()
	const members = 9
	hear := func(i int, charged float64, now time.Time) {
		s.Receive(fmt.Sprint(i), 1, true, true, []ReportedUsage{{Customer: customer, Charged: charged, Demand: 500}}, now)
	}
	for i := range members {
		hear(i, 0, start)
	}
	s.accounts[customer].demand = 500
	later := start.Add(1500 * time.Millisecond)
	for i := range members - 1 {
		hear(i, 0, later)
	}
	s.CheckMembers(later)
	a := s.accounts[customer]
	assert.Assert(t, a.apart > 0.09 && a.apart < 0.11, "%.3f", a.apart)
	n, _ := admit(s, 20, later)
	assert.Equal(t, n, 9)

	back := later.Add(time.Second)
	hear(members-1, 300, back)
	assert.Equal(t, a.apart, 0.0)
	n, _ = admit(s, 20, back)
	assert.Equal(t, n, 8, "but for what it has used")
}

// TestAloneKeepsToItsShare: a process that hears nobody is cut off itself.
func TestAloneKeepsToItsShare(t *testing.T) {
	s := learned()
	for i := range 9 {
		s.Receive(fmt.Sprint(i), 1, true, true, []ReportedUsage{{Customer: customer, Demand: 500}}, start)
	}
	s.accounts[customer].demand = 500
	cut := start.Add(500 * time.Millisecond)
	s.CheckMembers(cut)
	assert.Assert(t, s.accounts[customer].left > 99 && s.accounts[customer].left < 101)
	n, _ := admit(s, 20, cut)
	assert.Assert(t, n <= 2)
	s.account(customer, quota, cut.Add(10*time.Second))
	assert.Assert(t, s.accounts[customer].left < 101, "a tenth of the burst at most")
	s.CheckMembers(start.Add(memberForgotten))
	n, _ = admit(s, 20, start.Add(memberForgotten+10*time.Second))
	assert.Equal(t, n, 10, "the others are forgotten")
}

// TestQuotaChanges: what is left follows a quota that is raised or lowered, and a customer that is gone is forgotten.
func TestQuotaChanges(t *testing.T) {
	s := learned()
	admit(s, 10, start)
	raised, lowered := quota, quota
	raised.Rate, raised.Burst = 3000, 3000
	lowered.Rate, lowered.Burst = 200, 200
	s.Configure(customer, raised, start)
	assert.Equal(t, s.accounts[customer].left, 2000.0)
	s.Configure(customer, lowered, start)
	assert.Equal(t, s.accounts[customer].left, 200.0)
	s.Retain(func(string) bool { return false })
	assert.Equal(t, len(s.accounts), 0)
}

func BenchmarkShared(b *testing.B) {
	for _, members := range []int{29, 410} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			s := learned()
			for i := range members {
				s.Receive(fmt.Sprint(i), 1, true, true, []ReportedUsage{{Customer: customer, Demand: 5}}, start)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Admit(customer, quota, start.Add(time.Duration(i)*time.Millisecond), nil)
			}
		})
	}
}

// TestFree: when a request would be admitted, as Admit says at that moment.
func TestFree(t *testing.T) {
	s := learned()
	assert.Check(t, s.TimeToAdmit(customer, quota, start) < 0)
	s.StartInDebt(customer, 500, start)
	free := s.TimeToAdmit(customer, quota, start)
	assert.Equal(t, free, 500*time.Millisecond)
	n, _ := admit(s, 1, start.Add(free-time.Millisecond))
	assert.Equal(t, n, 0)
	n, _ = admit(s, 1, start.Add(free+time.Millisecond))
	assert.Equal(t, n, 1)
	s.StartInDebt("nobody", 1, start)
}

// TestWithoutBeats: a quota that is nearly used up is told of when it is used and not besides, and nobody counts as silent for
// that.
func TestWithoutBeats(t *testing.T) {
	for _, beats := range []bool{true, false} {
		s := learned()
		if !beats {
			s.WithoutHeartbeats()
		}
		s.Receive("other", 1, true, true, []ReportedUsage{{Customer: customer, Charged: 900, Remaining: 100}}, start)
		admit(s, 10, start)
		s.Report(true, start)
		later := start.Add(500 * time.Millisecond)
		s.StartInDebt(customer, 0, later)
		assert.Equal(t, s.UpdateDue(later), beats)
		s.Receive("other", 1, true, false, nil, start.Add(100*time.Millisecond))
		s.CheckMembers(start.Add(110 * time.Millisecond))
		assert.Equal(t, s.UnresponsiveMembers(), 0)
	}
}
