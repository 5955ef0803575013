package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

const ms = time.Millisecond

var epoch = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func key(n int) Key { return Key{RequestID: fmt.Sprint("r", n), Attempt: 1} }

func request(n int, customer string) DecodeRequest {
	return DecodeRequest{Key: key(n), Customer: customer, Class: "c", Share: 0.5, Urgency: contract.Prompt, TTFT: time.Second, TBT: 50 * ms, MaxTokens: 100, PrefillTime: 100 * ms}
}

// newTestDecode returns a Decode with 20 slots and a step of 20 ms when all of them run.
func newTestDecode(change func(*DecodeConfig)) *Decode {
	cfg := DefaultDecodeConfig(20)
	cfg.StepBase, cfg.StepPerRun, cfg.LinkBytesPerSecond = 10*ms, 500*time.Microsecond, 1e9
	if change != nil {
		change(&cfg)
	}
	return NewDecode(cfg)
}

// reserveAndStart reserves a slot, which must be free, and starts the run.
func reserveAndStart(t *testing.T, d *Decode, now time.Time, r DecodeRequest) {
	t.Helper()
	d.Reserve(now, r)
	got := d.Advance(now)
	assert.Assert(t, len(got) == 1 && got[0].Verdict == Granted, "%v", got)
	assert.Equal(t, d.Start(now, r.Key).Verdict, Started)
}

// trainLengths records enough output lengths of a customer's class for predictions to use them.
func trainLengths(d *Decode, customer string, tokens ...int) {
	for range 50 {
		for _, n := range tokens {
			d.lengthsOf(request(0, customer)).observe(n)
		}
	}
}

func TestReserve(t *testing.T) {
	cases := []struct {
		name    string
		running int
		after   time.Duration
		change  func(*DecodeRequest)
		want    Verdict
		reason  outcome.Reason
	}{
		{"free", 0, 0, func(*DecodeRequest) {}, Granted, ""},
		{"full", 20, 0, func(*DecodeRequest) {}, Rejected, outcome.NoDecodeSlot},
		{"full, above its share, but no other customer is queued", 20, 0, func(r *DecodeRequest) { r.Customer = "a" }, Rejected, outcome.NoDecodeSlot},
		{"full, but its target allows a wait", 20, 0, func(r *DecodeRequest) { r.TTFT = 5 * time.Second }, Queued, ""},
		{"full only until its prefill is done", 20, 0, func(r *DecodeRequest) { r.PrefillTime, r.TTFT = 2100*ms, 2200*ms }, Granted, ""},
		{"full, but all runs have reached their maximum length", 20, 2 * time.Second, func(*DecodeRequest) {}, Granted, ""},
		{"prefill too long", 0, 0, func(r *DecodeRequest) { r.PrefillTime = 2 * time.Second }, Rejected, outcome.TargetUnreachable},
		{"step too slow", 0, 0, func(r *DecodeRequest) { r.TBT = 10 * ms }, Rejected, outcome.TargetUnreachable},
		{"batch too large for its token gap", 12, 0, func(r *DecodeRequest) { r.TBT = 16 * ms }, Rejected, outcome.NoDecodeSlot},
		{"batch small enough for its token gap", 7, 0, func(r *DecodeRequest) { r.TBT = 16 * ms }, Granted, ""},
		{"link busy", 0, 0, func(r *DecodeRequest) { r.TTFT, r.KVBytes = 2*time.Second, 1e9 }, Rejected, outcome.LinkBusy},
		{"transfer too long", 0, 0, func(r *DecodeRequest) { r.KVBytes = 1e10 }, Rejected, outcome.TargetUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDecode(nil)
			for i := range c.running {
				reserveAndStart(t, d, epoch, request(i, "a"))
			}
			d.link.Plan(epoch, key(-1), epoch, 1e9)
			r := request(100, "b")
			c.change(&r)
			now := at(c.after)
			got := d.Reserve(now, r)
			if advanced := d.Advance(now); len(advanced) > 0 {
				got = advanced[0]
			}
			assert.Equal(t, got.Verdict, c.want)
			assert.Equal(t, got.Reason, c.reason)
			assert.Assert(t, got.Verdict != Rejected || got.RetryAfter >= minRetryAfter)
		})
	}
}

// TestOvercommit checks when slots are reserved before they are free: only when the runs in them are
// predicted to complete by the time the slots are needed.
func TestOvercommit(t *testing.T) {
	cases := []struct {
		name    string
		lengths []int
		prefill time.Duration
		want    int
	}{
		{"lengths known, completing soon", []int{50}, 500 * ms, 5},
		{"lengths known, completing later", []int{50}, 100 * ms, 0},
		{"lengths vary", []int{40, 95, 95, 95, 95}, 500 * ms, 1},
		{"lengths unknown", nil, 500 * ms, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDecode(nil)
			for i := range 20 {
				reserveAndStart(t, d, epoch, request(i, "a"))
			}
			trainLengths(d, "a", c.lengths...)
			now := at(600 * ms)
			for i := range 20 {
				r := request(100+i, "b")
				r.PrefillTime, r.TTFT = c.prefill, 10*time.Second
				d.Reserve(now, r)
			}
			assert.Equal(t, len(d.Advance(now)), c.want)
		})
	}
}

// TestStartWithNoFreeSlot checks that an overcommitted run that finds no free slot when it starts
// gets the next one, before all queued requests, and is rejected after MaxStartWait.
func TestStartWithNoFreeSlot(t *testing.T) {
	d := newTestDecode(nil)
	for i := range 20 {
		reserveAndStart(t, d, epoch, request(i, "a"))
	}
	trainLengths(d, "a", 10)
	for i := 100; i < 102; i++ {
		r := request(i, "b")
		r.PrefillTime, r.TTFT = 300*ms, 2*time.Second
		d.Reserve(epoch, r)
	}
	assert.Equal(t, len(d.Advance(epoch)), 2)
	now := at(200 * ms)
	assert.Equal(t, d.Start(now, key(100)).Verdict, Delayed)
	assert.Equal(t, d.Start(now, key(101)).Verdict, Delayed)
	assert.Assert(t, d.safetyFactor > minSafetyFactor)
	d.Completed(now, key(3), 10)
	got := d.Advance(now)
	assert.Assert(t, len(got) == 1 && got[0].Key == key(100) && got[0].Verdict == Started)
	got = d.Advance(now.Add(DefaultMaxStartWait))
	assert.Assert(t, len(got) == 1 && got[0].Key == key(101) && got[0].Reason == outcome.ReservationLapsed)
}

// TestLentShareIsReclaimed checks that a customer that was idle gets every slot that becomes free
// until it has its share, although the other customer, which uses the lent share, has as many
// queued requests.
func TestLentShareIsReclaimed(t *testing.T) {
	for _, fifo := range []bool{false, true} {
		d := newTestDecode(func(c *DecodeConfig) { c.FIFO = fifo })
		for i := range 20 {
			reserveAndStart(t, d, epoch, request(i, "a"))
		}
		for i := range 20 {
			a, b := request(100+i, "a"), request(200+i, "b")
			a.TTFT, b.TTFT = time.Minute, time.Minute
			d.Reserve(at(time.Duration(i)), a)
			d.Reserve(at(time.Duration(i)), b)
		}
		reclaimed := 0
		for i := range 10 {
			now := at(time.Duration(i+1) * 10 * ms)
			d.Completed(now, key(i), 50)
			for _, got := range d.Advance(now) {
				if got.Key.RequestID >= "r200" {
					reclaimed++
				}
			}
		}
		assert.Equal(t, reclaimed, map[bool]int{false: 10, true: 5}[fifo])
	}
}

// TestSlotIsReservedForRejectedCustomer checks that a customer rejected within its share gets a
// slot when it retries, and that the slot is reserved for a bounded time only.
func TestSlotIsReservedForRejectedCustomer(t *testing.T) {
	d := newTestDecode(nil)
	for i := range 20 {
		reserveAndStart(t, d, epoch, request(i, "a"))
	}
	b := request(100, "b")
	rejection := d.Reserve(epoch, b)
	assert.Equal(t, rejection.Reason, outcome.NoDecodeSlot)
	assert.Equal(t, d.Reserve(epoch, request(102, "a")).Reason, outcome.ShareExceeded)
	overShare := request(101, "a")
	overShare.TTFT = time.Minute
	d.Reserve(epoch, overShare)
	d.Completed(epoch, key(0), 50)
	assert.Equal(t, len(d.Advance(epoch)), 0)
	expiry := at(rejection.RetryAfter + debtGrace)
	assert.Equal(t, len(d.Advance(expiry.Add(-ms))), 0)
	d.Reserve(expiry.Add(-ms), b)
	got := d.Advance(expiry.Add(-ms))
	assert.Assert(t, len(got) == 1 && got[0].Key == b.Key)
	d.Cancel(b.Key)
	assert.Equal(t, len(d.Advance(expiry)), 1)
}

func TestRetryAfterIsSpread(t *testing.T) {
	d := newTestDecode(nil)
	d.meanSlotTime = 4 * time.Second
	for i := range 20 {
		reserveAndStart(t, d, epoch, request(i, "a"))
	}
	seen := make(map[time.Duration]bool)
	for i := range 200 {
		after := d.Reserve(epoch, request(100+i, "b")).RetryAfter
		assert.Assert(t, after >= minRetryAfter && after <= maxRetryAfter*5/4)
		seen[after] = true
	}
	assert.Assert(t, len(seen) > 190)
}

// runRandomCalls makes random calls to a Decode, checks its invariants after each, and returns all
// decisions.
func runRandomCalls(t *testing.T, seed uint64, maxOvercommit int) []Decision {
	rng := rand.New(rand.NewPCG(seed, 2))
	d := newTestDecode(func(c *DecodeConfig) { c.MaxOvercommit = maxOvercommit })
	var log []Decision
	now := epoch
	for i := range 3000 {
		now = now.Add(time.Duration(rng.IntN(20)) * ms)
		k := key(max(0, i-rng.IntN(60)))
		switch rng.IntN(6) {
		case 0, 1:
			r := request(i, fmt.Sprint(rng.IntN(8)))
			r.Urgency, r.Share = contract.Urgency(rng.IntN(3)), rng.Float64()
			r.PrefillTime, r.KVBytes = time.Duration(rng.IntN(900))*ms, rng.Int64N(1e8)
			r.TTFT = time.Duration(rng.IntN(4000)) * ms
			log = append(log, d.Reserve(now, r))
		case 2, 3:
			log = append(log, d.Start(now, k))
		case 4:
			d.Completed(now, k, 1+rng.IntN(100))
		case 5:
			d.Cancel(k)
		}
		log = append(log, d.Advance(now)...)
		assert.Assert(t, d.running <= 20 && len(d.byGrant) <= 20+maxOvercommit, "%d running, %d slots in use", d.running, len(d.byGrant))
		assert.Equal(t, len(d.slots), len(d.byGrant))
		assert.Equal(t, len(d.queued), d.queue.Len())
		assert.Assert(t, d.link.Len() <= len(d.slots))
	}
	for i := range 3000 {
		d.Cancel(key(i))
	}
	assert.Equal(t, d.Load(now), Load{Slots: 20, Step: d.stepModel.stepTime(1)})
	assert.Equal(t, d.queue.Customers()+d.link.Len()+d.running, 0)
	return log
}

func TestRandom(t *testing.T) {
	for seed := range uint64(10) {
		for _, maxOvercommit := range []int{0, 5} {
			assert.DeepEqual(t, runRandomCalls(t, seed, maxOvercommit), runRandomCalls(t, seed, maxOvercommit))
		}
	}
}

// BenchmarkReserve measures a reservation, the completion of a run and the next grant while 2,000
// requests of 340 customers are queued.
func BenchmarkReserve(b *testing.B) {
	for _, slots := range []int{20, 64} {
		b.Run(fmt.Sprint(slots), func(b *testing.B) {
			d := NewDecode(DefaultDecodeConfig(slots))
			d.cfg.StepBase, d.stepModel.base, d.cfg.MaxQueued = 10*ms, 10*ms, 1<<20
			reserve := func(i int) {
				r := request(i, fmt.Sprint("customer-", i%340))
				r.Share, r.TTFT, r.Urgency = 0.003, time.Hour, contract.Urgency(i%3)
				d.Reserve(epoch, r)
			}
			for i := range 2000 + slots {
				reserve(i)
				for _, g := range d.Advance(epoch) {
					d.Start(epoch, g.Key)
				}
			}
			b.ReportAllocs()
			for i := 2000 + slots; b.Loop(); i++ {
				reserve(i)
				d.Completed(epoch, d.byGrant[0].request.Key, 50)
				for _, g := range d.Advance(epoch) {
					d.Start(epoch, g.Key)
				}
			}
		})
	}
}
