package membudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replayedClient is one client of the replayed crowd. It comes again once it was rejected or evicted.
type replayedClient struct {
	claim    *Claim
	size     int64
	received int64
	// stopsAt is the number of bytes after which it sends nothing more, rate what it sends in a tick.
	stopsAt, rate int64
	announced     bool
	comesAt       time.Time
}

const (
	replayTick     = 50 * time.Millisecond
	replayDuration = 30 * time.Second
	crowdSize      = 200
)

// TestReplayOfCrowd replays a crowd whose clients announce large bodies or send chunks, mostly stop short of their end and stay
// open, and come again, beside sound clients with small requests and one with slow requests at the limit.
func TestReplayOfCrowd(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 70))
			b := newBudget()
			crowd := make([]*replayedClient, crowdSize)
			for i := range crowd {
				crowd[i] = newReplayedClient(r)
			}
			slow := &replayedClient{size: limitBody, stopsAt: limitBody, rate: limitBody / 300, announced: true}
			byClaim := map[*Claim]*replayedClient{}
			var small, smallServed, slowServed int
			var inProgress []Room
			for now := start; now.Before(start.Add(replayDuration)); now = now.Add(replayTick) {
				for _, room := range inProgress {
					b.Return(room)
				}
				inProgress = inProgress[:0]
				if slow.claim != nil && byClaim[slow.claim] == nil {
					t.Fatalf("seed %d: the slow client lost its turn after %d bytes", seed, slow.received)
				}
				for _, s := range append(crowd, slow) {
					if room, whole := s.step(b, byClaim, now); whole {
						inProgress = append(inProgress, room)
						if s == slow {
							slowServed++
						}
					}
				}
				small++
				var c Claim
				if b.Reserve(&c, 1000, now).Granted {
					smallServed++
				}
				b.Release(&c)
				assert.Assert(t, b.Held() <= testTotal, "seed %d: %d bytes held", seed, b.Held())
			}
			assert.Check(t, smallServed == small, "seed %d: %d of %d small requests have room", seed, smallServed, small)
			assert.Check(t, slowServed > 0, "seed %d: no slow request at the limit was served", seed)
		})
	}
}

func newReplayedClient(r *rand.Rand) *replayedClient {
	s := &replayedClient{size: limitBody - r.Int64N(mb), announced: r.IntN(2) == 0, rate: 1 << (8 + r.IntN(10)), comesAt: start.Add(time.Duration(r.Int64N(int64(time.Second))))}
	s.stopsAt = s.size
	if r.IntN(8) > 0 {
		s.stopsAt = r.Int64N(s.size)
	}
	return s
}

// step lets a client send for a tick. It returns the room of a request that became whole.
func (s *replayedClient) step(b *Budget, byClaim map[*Claim]*replayedClient, now time.Time) (room Room, whole bool) {
	if s.claim != nil && byClaim[s.claim] == nil {
		s.leave(now)
	}
	if now.Before(s.comesAt) {
		return room, false
	}
	if s.claim == nil {
		s.claim = &Claim{}
		if s.announced {
			s.claim.Length = s.size
		}
		byClaim[s.claim] = s
		if s.announced && !s.reserve(b, byClaim, s.size, now) {
			return room, false
		}
	}
	n := min(s.rate, s.stopsAt-s.received)
	if n == 0 {
		return room, false
	}
	if !s.announced && !s.reserve(b, byClaim, s.received+n, now) {
		return room, false
	}
	s.received += n
	b.Received(s.claim, n, now)
	if s.received < s.size {
		return room, false
	}
	room, whole = b.Complete(s.claim)
	delete(byClaim, s.claim)
	s.leave(now)
	return room, whole
}

func (s *replayedClient) reserve(b *Budget, byClaim map[*Claim]*replayedClient, size int64, now time.Time) bool {
	v := b.Reserve(s.claim, size, now)
	for _, c := range v.Evicted {
		delete(byClaim, c)
	}
	if v.Granted {
		return true
	}
	b.Release(s.claim)
	delete(byClaim, s.claim)
	s.leave(now)
	return false
}

// leave closes the connection of a client, which comes again.
func (s *replayedClient) leave(now time.Time) {
	s.claim, s.received, s.comesAt = nil, 0, now.Add(100*time.Millisecond)
}
