package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// These tests guard against gateways that don't count what they admit: a customer sent 761,247 tokens within eight
// seconds through 29 gateways, where 717,492 are allowed.

const customer = "a"

var quota = Terms{Rate: 1000, Burst: 1000, Cost: 100}

// informedQuotas returns the quotas of a process that has run long enough to know the remaining tokens.
func informedQuotas() *SharedQuotas {
	s := NewSharedQuotas(start.Add(-selfInformedAfter))
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
	s := informedQuotas()
	n, last := admit(s, 20, start)
	assert.Equal(t, n, 10)
	assert.Equal(t, last.Reason, outcome.RateLimited)
	n, _ = admit(s, 20, start.Add(time.Second))
	assert.Equal(t, n, 10, "one second refills the bucket")
	n, _ = admit(s, 20, start.Add(time.Hour))
	assert.Equal(t, n, 10, "no more than the burst")
	_, last = admit(s, 1, start.Add(time.Hour))
	assert.Assert(t, !last.Admitted)
	s.Return(customer, 300, start.Add(time.Hour))
	n, _ = admit(s, 20, start.Add(time.Hour))
	assert.Equal(t, n, 3, "what did not run is refunded")
	fresh := NewSharedQuotas(start)
	n, _ = admit(fresh, 20, start)
	assert.Equal(t, n, 1, "right after a start, an eighth of what is available once a report was received")
	fresh = NewSharedQuotas(start)
	fresh.Receive("other", 1, false, true, nil, start)
	n, _ = admit(fresh, 20, start)
	assert.Equal(t, n, 5, "half of the burst while no process knows what remains")
	_, last = admit(s, 1, start)
	assert.Equal(t, s.Admit("unbounded", Terms{Cost: 1e9}, start, nil).Admitted, true)
	assert.Assert(t, !last.Admitted)
}

// TestLargeRequestsAreNotStarved: a request that costs more than remains is admitted while anything remains, and the
// excess is a debt. Otherwise small requests would take whatever becomes free before it.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	s := informedQuotas()
	large := quota
	large.Cost = 5000
	assert.Assert(t, s.Admit(customer, large, start, nil).Admitted)
	n, _ := admit(s, 1, start.Add(3900*time.Millisecond))
	assert.Equal(t, n, 0)
	n, _ = admit(s, 1, start.Add(4100*time.Millisecond))
	assert.Equal(t, n, 1)
}

// TestRetryAfterIsAccurate: a client that retries after the stated time is admitted, though others were asked to retry
// as well.
func TestRetryAfterIsAccurate(t *testing.T) {
	s := informedQuotas()
	admit(s, 10, start)
	var retryAfters []time.Duration
	for range 20 {
		_, d := admit(s, 1, start)
		retryAfters = append(retryAfters, d.RetryAfter)
	}
	for i, retryAfter := range retryAfters {
		n, _ := admit(s, 1, start.Add(retryAfter))
		assert.Equal(t, n, 1, "retry of request %d after %v", i, retryAfter)
	}
}

// TestPeerUsageIsDeducted: messages may be lost, duplicated or reordered.
func TestPeerUsageIsDeducted(t *testing.T) {
	a, b := informedQuotas(), informedQuotas()
	b.Receive("a", 1, true, true, nil, start)
	admit(a, 2, start)
	first, informed := a.Report(true, start)
	assert.Assert(t, informed)
	admit(a, 1, start)
	second, _ := a.Report(true, start)
	for _, usages := range [][]ReportedUsage{second, first, second} {
		b.Receive("a", 1, true, false, usages, start)
	}
	n, _ := admit(b, 20, start)
	assert.Equal(t, n, 7)
	unchanged, _ := a.Report(true, start)
	assert.Equal(t, len(unchanged), 0, "nothing has changed")
	all, _ := a.Report(false, start)
	assert.Equal(t, len(all), 1)
	inactive, _ := a.Report(false, start.Add(activeFor))
	assert.Equal(t, len(inactive), 0, "the customer is no longer active")
}

// TestNewProcessLearnsWhatRemains: a process that starts while a quota is exhausted doesn't grant another one, and does
// not charge tokens that were used long before.
func TestNewProcessLearnsWhatRemains(t *testing.T) {
	old := informedQuotas()
	admit(old, 10, start)
	usages, informed := old.Report(false, start)
	usages[0].Charged += 50_000
	fresh := NewSharedQuotas(start)
	fresh.Configure(customer, quota, start)
	fresh.Receive("old", 7, informed, true, usages, start)
	n, _ := admit(fresh, 20, start)
	assert.Equal(t, n, 0)
	n, _ = admit(fresh, 20, start.Add(time.Second))
	assert.Equal(t, n, 10)
}

// TestNewProcessLearnsEachCustomer: gateways were restarted one after the other while a customer sent eight times its
// usual load, and 1,499,070 of its tokens ran in eight seconds where 1,486,732 are allowed. The first message that a
// new gateway received named another customer; the gateway assumed that it was informed of all, and granted half a
// burst of the exhausted quota.
func TestNewProcessLearnsEachCustomer(t *testing.T) {
	old := informedQuotas()
	old.Configure("other", quota, start)
	admit(old, 10, start)
	exhausted, _ := old.Report(true, start)
	fresh := NewSharedQuotas(start)
	fresh.Configure(customer, quota, start)
	fresh.Configure("other", quota, start)
	fresh.Receive("old", 7, true, false, []ReportedUsage{{Customer: "other", Charged: 100, Remaining: 900}}, start)
	fresh.Receive("old", 7, true, false, exhausted, start)
	n, _ := admit(fresh, 20, start)
	assert.Equal(t, n, 0)
}

// TestReportsBeforeConfiguration: a starting gateway receives reports before it has read its configuration. The
// remaining tokens of quotas that it did not know yet were lost, and it assumed that it was informed, so that each such
// gateway granted a whole burst.
func TestReportsBeforeConfiguration(t *testing.T) {
	old := informedQuotas()
	admit(old, 10, start)
	usages, informed := old.Report(false, start)
	fresh := NewSharedQuotas(start)
	fresh.Receive("old", 7, informed, true, usages, start)
	fresh.Configure(customer, quota, start)
	n, _ := admit(fresh, 20, start)
	assert.Equal(t, n, 5)
	fresh = NewSharedQuotas(start)
	fresh.Receive("old", 7, informed, true, usages, start)
	fresh.Configure(customer, quota, start)
	fresh.Receive("old", 7, informed, true, usages, start)
	n, _ = admit(fresh, 20, start)
	assert.Equal(t, n, 0)
}

// TestShareOfUnresponsiveMemberIsReserved: of ten processes that use a quota alike, one becomes unresponsive. It may
// continue with a tenth, so the others leave it that; once it reports again, its actual use counts.
func TestShareOfUnresponsiveMemberIsReserved(t *testing.T) {
	s := informedQuotas()
	const members = 9
	receive := func(i int, charged float64, now time.Time) {
		s.Receive(fmt.Sprint(i), 1, true, true, []ReportedUsage{{Customer: customer, Charged: charged, Demand: 500}}, now)
	}
	for i := range members {
		receive(i, 0, start)
	}
	s.accounts[customer].reportedDemand = 500
	later := start.Add(1500 * time.Millisecond)
	for i := range members - 1 {
		receive(i, 0, later)
	}
	s.CheckMembers(later)
	a := s.accounts[customer]
	assert.Assert(t, a.reservedShare > 0.09 && a.reservedShare < 0.11, "%.3f", a.reservedShare)
	n, _ := admit(s, 20, later)
	assert.Equal(t, n, 9)

	reported := later.Add(time.Second)
	receive(members-1, 300, reported)
	assert.Equal(t, a.reservedShare, 0.0)
	n, _ = admit(s, 20, reported)
	assert.Equal(t, n, 8, "less what the member has used")
}

// TestIsolatedProcessKeepsToItsShare: a process that receives no reports is itself isolated.
func TestIsolatedProcessKeepsToItsShare(t *testing.T) {
	s := informedQuotas()
	for i := range 9 {
		s.Receive(fmt.Sprint(i), 1, true, true, []ReportedUsage{{Customer: customer, Demand: 500}}, start)
	}
	s.accounts[customer].reportedDemand = 500
	isolatedAt := start.Add(500 * time.Millisecond)
	s.CheckMembers(isolatedAt)
	assert.Assert(t, s.accounts[customer].remaining > 99 && s.accounts[customer].remaining < 101)
	n, _ := admit(s, 20, isolatedAt)
	assert.Assert(t, n <= 2)
	s.account(customer, quota, isolatedAt.Add(10*time.Second))
	assert.Assert(t, s.accounts[customer].remaining < 101, "a tenth of the burst at most")
	s.CheckMembers(start.Add(memberTTL))
	n, _ = admit(s, 20, start.Add(memberTTL+10*time.Second))
	assert.Equal(t, n, 10, "the other members are removed")
}

// TestQuotaChanges: the remaining tokens follow a quota that is raised or lowered, and a removed customer is dropped.
func TestQuotaChanges(t *testing.T) {
	s := informedQuotas()
	admit(s, 10, start)
	raised, lowered := quota, quota
	raised.Rate, raised.Burst = 3000, 3000
	lowered.Rate, lowered.Burst = 200, 200
	s.Configure(customer, raised, start)
	assert.Equal(t, s.accounts[customer].remaining, 2000.0)
	s.Configure(customer, lowered, start)
	assert.Equal(t, s.accounts[customer].remaining, 200.0)
	s.Retain(func(string) bool { return false })
	assert.Equal(t, len(s.accounts), 0)
}

func BenchmarkShared(b *testing.B) {
	for _, members := range []int{29, 410} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			s := informedQuotas()
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

// TestTimeToAdmit: the time at which a request would be admitted agrees with Admit at that time.
func TestTimeToAdmit(t *testing.T) {
	s := informedQuotas()
	assert.Check(t, s.TimeToAdmit(customer, quota, start) < 0)
	s.StartInDebt(customer, 500, start)
	wait := s.TimeToAdmit(customer, quota, start)
	assert.Equal(t, wait, 500*time.Millisecond)
	n, _ := admit(s, 1, start.Add(wait-time.Millisecond))
	assert.Equal(t, n, 0)
	n, _ = admit(s, 1, start.Add(wait+time.Millisecond))
	assert.Equal(t, n, 1)
	s.StartInDebt("nobody", 1, start)
}

// TestWithoutHeartbeats: without heartbeats a nearly exhausted quota is reported only when it is used. Its members
// don't count as unresponsive for that, with or without heartbeats.
func TestWithoutHeartbeats(t *testing.T) {
	for _, heartbeats := range []bool{true, false} {
		s := informedQuotas()
		if !heartbeats {
			s.WithoutHeartbeats()
		}
		s.Receive("other", 1, true, true, []ReportedUsage{{Customer: customer, Charged: 900, Remaining: 100}}, start)
		admit(s, 10, start)
		s.Report(true, start)
		later := start.Add(500 * time.Millisecond)
		s.StartInDebt(customer, 0, later)
		assert.Equal(t, s.UpdateDue(later), heartbeats)
		s.Receive("other", 1, true, false, nil, start.Add(100*time.Millisecond))
		s.CheckMembers(start.Add(110 * time.Millisecond))
		assert.Equal(t, s.UnresponsiveMembers(), 0)
	}
}
