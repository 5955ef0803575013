// Package membudget decides which requests a process goes on to receive while many are being received, so that the bytes
// that it holds for its clients stay within a budget.
//
// The load that it answers is a crowd of clients whose requests are each inside the limits, but arrive at once, stop short of their
// end and stay open, or come without end. A request whose length is announced reserves room for all of it before it is received, so
// that one that was begun can be finished, however many come after it. Other requests take room as they grow. A request for which
// there is no room is rejected at once, and holds nothing.
//
// Two rules keep a crowd from taking the room for good. When room is needed, requests give way that have received nothing for a
// while, or arrive so slowly that they can't be whole in time; slow ones that can keep theirs. And a part of the budget is left to
// small requests that are the first on their connection: where that part is as large as all connections together need for one each, there is
// room for every such request.
//
// Answers of servers that are held until they are whole are decided on in the same way, with a budget of their own.
//
// The package is pure: it has no clock, lock or goroutine.
package membudget

import (
	"slices"
	"time"
)

const (
	// StallTime is how long a request may receive nothing before it gives way to others. It allows for a lost packet that is sent
	// again twice, after one and two seconds. A request is also as old as this before its rate is judged.
	StallTime = 4 * time.Second
	// SmallBytes is the size up to which a request is small, SmallShare the part of the budget that is left to small requests.
	SmallBytes = 8 << 10
	SmallShare = 0.4
	// defaultRetry is after how long a rejected client may come again if it is not known when there will be room, minRetry bounds
	// that time from below.
	defaultRetry = time.Second
	minRetry     = 200 * time.Millisecond
)

// Limits bound a budget.
type Limits struct {
	// Total is the number of bytes that all requests together may hold.
	Total int64
	// ReceiveTime is how long a request may take to arrive.
	ReceiveTime time.Duration
}

// Claim is the room that one request takes while it is received. The zero value takes none.
type Claim struct {
	// Behind is set while the request can't be answered, whatever it receives, since others on its connection are answered first. It
	// doesn't give way, and takes no room of small requests.
	Behind bool
	// Length is the number of bytes that the request has in all; zero while that is not known. Its rate is judged by it.
	Length int64

	// size is the number of bytes reserved, received the number of those that have arrived.
	size, received int64
	// small is that of Room.
	small bool
	// began is when the claim was made, progressed when bytes were last received.
	began, progressed time.Time
	// index is the claim's position in Budget.claims plus one; zero if it takes no room.
	index int
}

// Room is the room of a request that was received whole.
type Room struct {
	bytes int64
	// small is set if it may be in the part of small requests.
	small bool
}

// Verdict is the decision on a claim that asks for room.
type Verdict struct {
	// Granted is set if the claim has the room now.
	Granted bool
	// Evicted are the claims that gave way. They take no room any more.
	Evicted []*Claim
	// RetryAfter is when there may be room for a request that was not granted it.
	RetryAfter time.Duration
}

// Budget tracks the bytes that are held. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// held is the sum over all claims and over the requests that were received whole, large the part of it that can't be in the part
	// of small requests.
	held, large int64
	claims      []*Claim
}

// New returns a budget that nothing is taken from.
func New(l Limits) *Budget { return &Budget{limits: l} }

// Total returns the number of bytes that may be held.
func (b *Budget) Total() int64 { return b.limits.Total }

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 { return b.held }

// Reserve asks for room so that the claim takes size bytes in all. A claim that is not granted it keeps what it has.
func (b *Budget) Reserve(c *Claim, size int64, now time.Time) Verdict {
	if c.index == 0 {
		b.claims = append(b.claims, c)
		c.index, c.began, c.progressed = len(b.claims), now, now
	}
	if size <= c.size {
		return Verdict{Granted: true}
	}
	if b.fits(c, size, 0, 0) {
		b.resize(c, size)
		return Verdict{Granted: true}
	}
	return b.makeRoom(c, size, now)
}

// Take asks for room for a request that was received whole at once, until Return is called with it. Behind is that of Claim.
func (b *Budget) Take(size int64, behind bool, now time.Time) (Room, Verdict) {
	c := Claim{Behind: behind}
	if b.fits(&c, size, 0, 0) {
		b.resize(&c, size)
		return c.room(), Verdict{Granted: true}
	}
	v := b.makeRoom(&c, size, now)
	return c.room(), v
}

// makeRoom lets as many claims give way as are needed, or none if that is not enough.
func (b *Budget) makeRoom(c *Claim, size int64, now time.Time) Verdict {
	var victims []*Claim
	for _, other := range b.claims {
		if other != c && !other.Behind && b.givesWay(other, now) {
			victims = append(victims, other)
		}
	}
	slices.SortFunc(victims, func(a, b *Claim) int { return a.progressed.Compare(b.progressed) })
	var freed, freedLarge int64
	for i, v := range victims {
		freed += v.size
		freedLarge += v.room().large()
		if !b.fits(c, size, freed, freedLarge) {
			continue
		}
		for _, v := range victims[:i+1] {
			b.Release(v)
		}
		b.resize(c, size)
		return Verdict{Granted: true, Evicted: victims[:i+1]}
	}
	return Verdict{RetryAfter: b.retryAfter(c, now)}
}

// givesWay reports whether a request is not worth waiting for while others need its room.
func (b *Budget) givesWay(c *Claim, now time.Time) bool {
	if now.Sub(c.progressed) >= StallTime {
		return true
	}
	age := now.Sub(c.began)
	return age >= StallTime && float64(c.received)*b.limits.ReceiveTime.Seconds() < float64(c.Length)*age.Seconds()
}

// Received records that bytes of a request were received.
func (b *Budget) Received(c *Claim, bytes int64, now time.Time) {
	c.received += bytes
	c.progressed = now
}

// Complete records that a request was received whole: it does not give way any more, and takes room until Return is called with
// it. It reports false if the claim takes no room, as after it was evicted.
func (b *Budget) Complete(c *Claim) (r Room, ok bool) {
	if c.index == 0 {
		return Room{}, false
	}
	r = c.room()
	b.remove(c)
	return r, true
}

// Add counts bytes that are held whether there is room or not, such as those of a response that its client does not read; less than
// none are freed. They leave less room to requests.
func (b *Budget) Add(bytes int64) { b.held += bytes }

// Return frees the room of a request that was received whole.
func (b *Budget) Return(r Room) {
	b.held -= r.bytes
	b.large -= r.large()
}

// Release frees the room of a request that is not received any more.
func (b *Budget) Release(c *Claim) {
	if c.index == 0 {
		return
	}
	b.Return(c.room())
	b.remove(c)
}

func (b *Budget) remove(c *Claim) {
	last := b.claims[len(b.claims)-1]
	b.claims[c.index-1], last.index = last, c.index
	b.claims[len(b.claims)-1] = nil
	b.claims = b.claims[:len(b.claims)-1]
	*c = Claim{}
}

func (b *Budget) resize(c *Claim, size int64) {
	b.Return(c.room())
	c.size = size
	c.small = size <= SmallBytes && !c.Behind
	b.held += size
	b.large += c.room().large()
}

func (c *Claim) room() Room { return Room{bytes: c.size, small: c.small} }

// large returns the bytes that can't be in the part of small requests.
func (r Room) large() int64 {
	if r.small {
		return 0
	}
	return r.bytes
}

// fits reports whether a claim may grow to a size once some bytes were freed.
func (b *Budget) fits(c *Claim, size, freed, freedLarge int64) bool {
	if b.held-freed-c.size+size > b.limits.Total {
		return false
	}
	if size <= SmallBytes && !c.Behind {
		return true
	}
	reserved := int64(SmallShare * float64(b.limits.Total))
	return b.large-freedLarge-c.room().large()+size <= b.limits.Total-reserved
}

// retryAfter returns when the next claim gives way if it receives nothing from now on.
func (b *Budget) retryAfter(asking *Claim, now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, c := range b.claims {
		if left := StallTime - now.Sub(c.progressed); c != asking && left > 0 && (wait == 0 || left < wait) {
			wait = left
		}
	}
	if wait == 0 {
		return defaultRetry
	}
	return max(wait, minRetry)
}
