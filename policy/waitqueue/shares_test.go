package waitqueue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
)

// holdings are the memory that customers hold, all with the same weight.
type holdings map[string]float64

func (h holdings) Holding(customer string) (tokens, weight float64) { return h[customer], 1 }

func customerWaiter(customer string, arrived, need, priority int) *waitqueue.Waiter {
	return &waitqueue.Waiter{Customer: customer, Arrived: ms(arrived), Need: need, Priority: priority}
}

// TestOrderByShare guards against a surging customer that takes all memory that becomes free, and against an urgent
// request that waits behind a less urgent one.
func TestOrderByShare(t *testing.T) {
	held := holdings{"large": 100, "small": 10}
	urgent := customerWaiter("large", 90, 5, 0)
	late := customerWaiter("small", 0, 5, 0)
	late.Late = true
	first, second, third := customerWaiter("large", 10, 5, 1), customerWaiter("large", 20, 5, 1), customerWaiter("small", 30, 5, 1)
	q := waitqueue.Queue{Shares: held}
	for _, w := range []*waitqueue.Waiter{late, first, second, third, urgent} {
		q.Add(w)
	}
	assert.Equal(t, q.Ahead(third), 10, "the urgent one and itself")
	assert.Equal(t, q.Ahead(customerWaiter("small", 99, 5, 1)), 10, "a request that is not queued")
	for _, want := range []*waitqueue.Waiter{urgent, third, first, second, late} {
		assert.Equal(t, q.Next(fitsAlways, time.Second, ms(100)), want)
	}
	assert.Equal(t, q.Reordered(), 1)
}

// TestCustomersAlternate guards against an order that serves all requests of the customer that held least first.
func TestCustomersAlternate(t *testing.T) {
	held := holdings{"a": 0, "b": 1}
	q := waitqueue.Queue{Shares: held}
	for i := range 6 {
		q.Add(customerWaiter([]string{"a", "b"}[i/3], i, 10, 0))
	}
	var got []string
	for w := q.Next(fitsAlways, time.Second, ms(10)); w != nil; w = q.Next(fitsAlways, time.Second, ms(10)) {
		held[w.Customer] += float64(w.Need)
		got = append(got, w.Customer)
	}
	assert.DeepEqual(t, got, []string{"a", "b", "a", "b", "a", "b"})
}

// TestAheadFollowsOrder guards against early rejection in another order than that of service.
func TestAheadFollowsOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 200 {
		held := holdings{}
		q := waitqueue.Queue{Shares: held}
		ahead := map[*waitqueue.Waiter]int{}
		for i := range 30 {
			w := customerWaiter(fmt.Sprint(rng.IntN(5)), i, 1+rng.IntN(9), rng.IntN(2))
			w.Late = rng.IntN(4) == 0
			held[w.Customer] = float64(rng.IntN(40))
			q.Add(w)
			ahead[w] = 0
		}
		for w := range ahead {
			ahead[w] = q.Ahead(w)
		}
		sum := 0
		first := q.Next(fitsAlways, time.Second, ms(100))
		for priority, w := first.Priority, first; w != nil; w = q.Next(fitsAlways, time.Second, ms(100)) {
			if w.Late || w.Priority != priority {
				break // What was placed of the first class changes the order of the next one.
			}
			sum += w.Need
			held[w.Customer] += float64(w.Need)
			assert.Equal(t, ahead[w], sum)
		}
	}
}

// arrivalQueue is the queue without customers: in the order of lateness, priority and arrival.
type arrivalQueue []*waitqueue.Waiter

func (q *arrivalQueue) add(w *waitqueue.Waiter) {
	i, _ := slices.BinarySearchFunc(*q, w, func(a, b *waitqueue.Waiter) int {
		switch {
		case a.Late != b.Late && b.Late:
			return -1
		case a.Late != b.Late:
			return 1
		case a.Priority != b.Priority:
			return a.Priority - b.Priority
		default:
			return a.Arrived.Compare(b.Arrived)
		}
	})
	*q = slices.Insert(*q, i, w)
}

func (q *arrivalQueue) next(fits func(*waitqueue.Waiter) bool, maxBypass time.Duration, now time.Time) *waitqueue.Waiter {
	for i, w := range *q {
		if fits(w) {
			*q = slices.Delete(*q, i, i+1)
			return w
		}
		if !w.Late && now.Sub(w.Arrived) >= maxBypass {
			return nil
		}
	}
	return nil
}

// TestWithoutCustomers guards against another order than before where no request has a customer, with and without
// Shares, and where requests have customers but the queue has no Shares.
func TestWithoutCustomers(t *testing.T) {
	for name, c := range map[string]struct {
		shares   waitqueue.Shares
		customer func(i int) string
	}{
		"no customers":            {nil, func(int) string { return "" }},
		"shares but no customers": {holdings{"": 7}, func(int) string { return "" }},
		"customers but no shares": {nil, func(i int) string { return fmt.Sprint(i % 3) }},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(8, 9))
			q := waitqueue.Queue{Shares: c.shares}
			var want arrivalQueue
			for i := range 5000 {
				w := customerWaiter(c.customer(i), i, 1+rng.IntN(100), rng.IntN(3))
				w.Late = rng.IntN(3) == 0
				q.Add(w)
				want.add(w)
				for range rng.IntN(3) {
					fits := fitsUpTo(rng.IntN(100))
					assert.Equal(t, q.Next(fits, 50*time.Millisecond, ms(i)), want.next(fits, 50*time.Millisecond, ms(i)))
				}
				if len(want) > 0 && rng.IntN(5) == 0 {
					k := rng.IntN(len(want))
					assert.Assert(t, q.Remove(want[k]))
					want = slices.Delete(want, k, k+1)
				}
				assert.Equal(t, q.Len(), len(want))
			}
			assert.Equal(t, q.Reordered(), 0)
		})
	}
}

func benchmarkQueue(n int) (*waitqueue.Queue, []*waitqueue.Waiter) {
	q := &waitqueue.Queue{Shares: holdings{}}
	all := make([]*waitqueue.Waiter, n)
	for i := range all {
		all[i] = customerWaiter(fmt.Sprint(i%16), i, 6000, i%3)
		q.Add(all[i])
	}
	return q, all
}

// BenchmarkNext visits all requests of a queue, none of which fits.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q, _ := benchmarkQueue(n)
			b.ReportAllocs()
			for b.Loop() {
				q.Next(func(*waitqueue.Waiter) bool { return false }, time.Hour, start)
			}
		})
	}
}

// BenchmarkAddNext serves the first request of a queue and queues it again.
func BenchmarkAddNext(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q, all := benchmarkQueue(n)
			b.ReportAllocs()
			for b.Loop() {
				q.Ahead(all[n/2])
				q.Add(q.Next(fitsAlways, time.Hour, start))
			}
		})
	}
}
