package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
)

var epoch = time.Unix(1_000_000, 0)

func item(key int, customer string, weight float64, u contract.Urgency, cost time.Duration) Item[int] {
	return Item[int]{Key: key, Customer: customer, Weight: weight, Urgency: u, Cost: cost}
}

// serve pops n items, releases each at once, and counts them by customer.
func serve(q *Queue[int], n int) map[string]int {
	got := make(map[string]int)
	for range n {
		it, ok := q.Pop()
		if !ok {
			break
		}
		got[it.Customer]++
		q.Release(it.Customer)
	}
	return got
}

func TestServesByWeight(t *testing.T) {
	q := New[int](Config{Slots: 20})
	for i := range 600 {
		q.Push(epoch, item(2*i, "a", 0.75, contract.Prompt, time.Second))
		q.Push(epoch, item(2*i+1, "b", 0.25, contract.Prompt, time.Second))
	}
	got := serve(q, 400)
	assert.Assert(t, got["a"] >= 298 && got["a"] <= 302, "%v", got)
}

func TestOrder(t *testing.T) {
	long, short := 5*time.Second, 100*time.Millisecond
	cases := []struct {
		name      string
		items     []Item[int]
		inService map[string]int
		first     int
	}{
		{"interactive before deferred work of the same customer", []Item[int]{item(0, "a", .5, contract.Deferred, long), item(1, "a", .5, contract.Interactive, short)}, nil, 1},
		{"interactive before deferred work of other customers", []Item[int]{item(0, "a", .5, contract.Deferred, long), item(1, "b", .1, contract.Interactive, short)}, nil, 1},
		{"customer below its share first", []Item[int]{item(0, "a", .5, contract.Prompt, long), item(1, "b", .5, contract.Prompt, long)}, map[string]int{"a": 10, "b": 9}, 1},
		{"interactive work may exceed the share by a quarter", []Item[int]{item(0, "b", .5, contract.Prompt, long), item(1, "a", .5, contract.Interactive, short)}, map[string]int{"a": 10, "b": 9}, 1},
		{"interactive work may not exceed the share by more", []Item[int]{item(0, "a", .5, contract.Interactive, short), item(1, "b", .5, contract.Deferred, long)}, map[string]int{"a": 13, "b": 9}, 1},
		{"idle share is lent", []Item[int]{item(0, "a", .1, contract.Prompt, long)}, map[string]int{"a": 19}, 0},
		{"shares with a sum above 1 are scaled down", []Item[int]{item(0, "a", 1, contract.Prompt, long), item(1, "b", 1, contract.Prompt, long)}, map[string]int{"a": 11, "b": 1}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New[int](DefaultConfig(20))
			for customer, n := range c.inService {
				for range n {
					q.Acquire(customer, weightOf(c.items, customer))
				}
			}
			for _, it := range c.items {
				q.Push(epoch, it)
			}
			got, ok := q.Pop()
			assert.Assert(t, ok)
			assert.Equal(t, got.Key, c.first)
		})
	}
}

func weightOf(items []Item[int], customer string) float64 {
	for _, it := range items {
		if it.Customer == customer {
			return it.Weight
		}
	}
	return 0
}

// TestUrgentWorkDoesNotStarveDeferred checks that a continuous stream of urgent work delays deferred
// work, of another customer and of the same one, by a bounded amount only.
func TestUrgentWorkDoesNotStarveDeferred(t *testing.T) {
	for _, urgentCustomer := range []string{"other", "same"} {
		q := New[int](DefaultConfig(0))
		q.Push(epoch, item(-1, "same", 0.5, contract.Deferred, time.Second))
		served := 0
		for ; q.Has(-1); served++ {
			assert.Assert(t, served < 100, "%s customer starves deferred work", urgentCustomer)
			q.Push(epoch.Add(time.Duration(served)*100*time.Millisecond), item(served, urgentCustomer, 0.5, contract.Interactive, 100*time.Millisecond))
			serve(q, 1)
		}
	}
}

func TestExpire(t *testing.T) {
	q := New[int](Config{})
	for i, d := range []time.Duration{3, 1, 2, 0} {
		it := item(i, "a", 1, contract.Prompt, time.Second)
		if d > 0 {
			it.Deadline = epoch.Add(d * time.Second)
		}
		q.Push(epoch, it)
	}
	next, _ := q.NextDeadline()
	assert.Equal(t, next, epoch.Add(time.Second))
	expired := q.Expire(epoch.Add(2 * time.Second))
	assert.Equal(t, len(expired), 2)
	assert.Equal(t, expired[0].Key, 1)
	assert.Equal(t, q.Len(), 2)
}

// TestRandom makes random calls and checks that Walk agrees with Pop, that every item leaves the
// queue exactly once, and that an idle queue keeps no state.
func TestRandom(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		q := New[int](DefaultConfig(8))
		inService := []string{}
		in, out := 0, 0
		for i := range 2000 {
			now := epoch.Add(time.Duration(i) * time.Millisecond)
			switch op := rng.IntN(10); {
			case op < 5:
				it := item(i, fmt.Sprint(rng.IntN(12)), 0.1, contract.Urgency(rng.IntN(3)), time.Duration(rng.IntN(1000))*time.Millisecond)
				it.Deadline = now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
				assert.Assert(t, q.Push(now, it) && q.WorkAhead(it.Customer, 0.1, it.Urgency) >= 0)
				in++
			case op < 7 && q.Len() > 0:
				var first Item[int]
				q.Walk(1, func(it Item[int]) bool { first = it; return false })
				it, _ := q.Pop()
				assert.Equal(t, it.Key, first.Key)
				inService = append(inService, it.Customer)
				out++
			case op < 8 && len(inService) > 0:
				q.Release(inService[0])
				inService = inService[1:]
			case op < 9 && q.Remove(rng.IntN(i+1)):
				out++
			default:
				out += len(q.Expire(now))
			}
		}
		out += len(q.Expire(epoch.Add(time.Hour)))
		for _, c := range inService {
			q.Release(c)
		}
		assert.Equal(t, in, out)
		assert.Equal(t, q.Customers()+q.Len(), 0)
		assert.Equal(t, q.activeWeight, int64(0))
	}
}

func BenchmarkPushPop(b *testing.B) {
	q, names := filledQueue(2000, 340)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		it, _ := q.Pop()
		q.Release(it.Customer)
		q.Push(epoch, item(2000+i, names[i%340], 0.003, contract.Urgency(i%3), time.Second))
	}
}

func BenchmarkAhead(b *testing.B) {
	q, names := filledQueue(2000, 340)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.WorkAhead(names[i%340], 0.003, contract.Prompt)
	}
}

func filledQueue(n, customers int) (*Queue[int], []string) {
	q := New[int](DefaultConfig(20))
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprintf("customer-%d", i)
	}
	for i := range n {
		q.Push(epoch, item(i, names[i%customers], 0.003, contract.Urgency(i%3), time.Second))
	}
	return q, names
}
