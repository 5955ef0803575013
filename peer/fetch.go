package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/policy/catchup"
)

const (
	// partBytes is the size of one part: 26 ms of a link of 10 Mbit/s, so that a part comes
	// through within callTimeout beside twenty other connections.
	partBytes = 32 << 10
	// partTries is how often a part is asked for, each within callTimeout.
	partTries = 3
	// maxStateBytes bounds a state that was fetched: 4,500 routes have 1 MB, 4,500 servers 0.4 MB.
	maxStateBytes = 32 << 20
	// tableGrace is how long a gateway is behind with its route table before it fetches it from
	// another one: nearly all read it from the store by then.
	tableGrace = 500 * time.Millisecond
	// serversGrace is the same for the list of servers, whose changes come in reports.
	serversGrace = 150 * time.Millisecond
	// fetchRest is how long a gateway from which a fetch failed is left alone.
	fetchRest = time.Second
)

var (
	errStateMoved = errors.New("the other side has another version by now")
	errPart       = errors.New("a part does not fit the others")
	errTooLarge   = errors.New("the state is larger than any")
)

// Fetch is one fetch that has ended.
type Fetch struct {
	State   State
	Version int64
	// From is the address of the gateway that was asked.
	From string
	// Bytes is what came over the link.
	Bytes int
	Took  time.Duration
	// Err is nil if the state came whole.
	Err error
}

// fetcher fetches one kind of state whenever this gateway is behind with it, from one gateway at a
// time.
type fetcher struct {
	s     *Service
	state State
	// offered is sent to when another gateway has told its version.
	offered chan struct{}

	mu      sync.Mutex
	planner *catchup.Planner
	// refused is the newest version that came whole and can't be used here: a gateway of a later
	// release may have it in force.
	refused int64
}

func newFetcher(s *Service, state State, grace time.Duration) *fetcher {
	return &fetcher{
		s: s, state: state, offered: make(chan struct{}, 1), refused: -1,
		planner: catchup.New(catchup.Config{Grace: grace, Rest: fetchRest, Life: memberLife}),
	}
}

// offer notes the version of another gateway.
func (f *fetcher) offer(addr string, version int64) {
	f.mu.Lock()
	f.planner.Offer(addr, version, time.Now())
	f.mu.Unlock()
	if version <= f.s.beliefs.Version(f.state) {
		return
	}
	select {
	case f.offered <- struct{}{}:
	default:
	}
}

func (f *fetcher) next() (addr string, wait time.Duration) {
	own := f.s.beliefs.Version(f.state)
	lost := f.s.beliefs.StoreLost()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.planner.Next(max(own, f.refused), lost, time.Now(), rand.IntN)
}

// run fetches until ctx ends.
func (f *fetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		addr, wait := f.next()
		if addr != "" {
			f.fetch(ctx, addr)
			continue
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-f.offered:
		}
		t.Stop()
	}
}

func (f *fetcher) fetch(ctx context.Context, addr string) {
	start, own := time.Now(), f.s.beliefs.Version(f.state)
	done := Fetch{State: f.state, From: addr}
	var data []byte
	data, done.Err = f.transfer(ctx, addr, &done)
	if ctx.Err() != nil {
		return
	}
	done.Took = time.Since(start)
	f.s.beliefs.Fetched(done)
	if done.Err == nil {
		f.take(done, data)
	}
	if errors.Is(done.Err, errStateMoved) || f.s.beliefs.Version(f.state) > own {
		return
	}
	// A gateway that offers what it does not have must not be asked again and again.
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner.Failed(addr, time.Now())
}

func (f *fetcher) take(done Fetch, data []byte) {
	if err := f.s.beliefs.ApplyState(f.state, done.Version, data, done.From); err != nil {
		f.mu.Lock()
		f.refused = done.Version
		f.mu.Unlock()
	}
}

// transfer asks the gateway at addr for all parts.
func (f *fetcher) transfer(ctx context.Context, addr string, done *Fetch) ([]byte, error) {
	caller := &partCaller{net: f.s.net, addr: addr, meter: &f.s.meter}
	defer caller.hangUp()
	var packed []byte
	for {
		part, err := caller.part(ctx, &FetchRequest{State: f.state, Version: done.Version, Offset: uint32(len(packed))})
		if err != nil {
			return nil, err
		}
		if done.Version != 0 && part.GetVersion() != done.Version {
			return nil, errStateMoved
		}
		done.Version = part.GetVersion()
		packed = append(packed, part.GetData()...)
		done.Bytes = len(packed)
		switch size := int(part.GetSize()); {
		case size > maxStateBytes:
			return nil, errTooLarge
		case len(packed) == size && size > 0:
			return unpack(packed)
		case len(part.GetData()) == 0 || len(packed) > size:
			return nil, errPart
		}
	}
}

// partCaller makes the calls of one fetch. A call that fails is made again on a new connection, so that
// a connection that went silent costs one part.
type partCaller struct {
	net   Network
	addr  string
	meter *link.Meter
	conn  peerConn
}

func (c *partCaller) part(ctx context.Context, r *FetchRequest) (part *FetchPart, err error) {
	for range partTries {
		if part, err = c.call(ctx, r); err == nil || ctx.Err() != nil {
			return part, err
		}
		c.hangUp()
	}
	return nil, err
}

func (c *partCaller) call(ctx context.Context, r *FetchRequest) (*FetchPart, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.conn.open(ctx, c.net, c.addr, c.meter); err != nil {
		return nil, err
	}
	return NewDRPCPeersClient(c.conn.Conn).Fetch(ctx, r)
}

func (c *partCaller) hangUp() { c.conn.hangUp() }
