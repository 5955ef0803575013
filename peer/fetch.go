package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/policy/catchup"
)

const (
	// partBytes is the size of one part: 26 ms on a link of 10 Mbit/s, so that a part arrives within
	// callTimeout beside twenty other connections.
	partBytes = 32 << 10
	// partAttempts is the maximum number of requests for a part, each bounded by callTimeout.
	partAttempts = 3
	// maxStateBytes bounds a fetched state: 4,500 routes take 1 MB, 4,500 servers 0.4 MB.
	maxStateBytes = 32 << 20
	// tableGrace is how long a gateway's route table may be outdated before the gateway fetches it from
	// another one; nearly all gateways read it from the store within that time.
	tableGrace = 500 * time.Millisecond
	// serversGrace is the same for the list of servers, whose changes arrive in reports.
	serversGrace = 150 * time.Millisecond
	// fetchCooldown is how long a gateway is avoided after a failed fetch from it.
	fetchCooldown = time.Second
)

var (
	errVersionChanged = errors.New("the peer's version of the state changed during the fetch")
	errPartSize       = errors.New("the parts do not add up to the size of the state")
	errTooLarge       = errors.New("the state exceeds the size limit")
)

// Fetch is the result of a fetch.
type Fetch struct {
	State   State
	Version int64
	// From is the address of the gateway that served the fetch.
	From string
	// Bytes is the number of bytes received.
	Bytes int
	Took  time.Duration
	// Err is nil if the state was received completely.
	Err error
}

// fetcher fetches one kind of state from one gateway at a time whenever the local version is outdated.
type fetcher struct {
	service *Service
	state   State
	// offered receives a token when another gateway reports a newer version.
	offered chan struct{}

	mu      sync.Mutex
	planner *catchup.Planner
	// rejected is the newest version that was received completely but can't be used here, for instance because
	// gateways of a later release have it in force.
	rejected int64
}

func newFetcher(s *Service, state State, grace time.Duration) *fetcher {
	return &fetcher{
		service: s, state: state, offered: make(chan struct{}, 1), rejected: -1,
		planner: catchup.New(catchup.Config{Grace: grace, Cooldown: fetchCooldown, OfferTTL: memberTTL}),
	}
}

// offer records the version reported by another gateway.
func (f *fetcher) offer(addr string, version int64) {
	f.mu.Lock()
	f.planner.Offer(addr, version, time.Now())
	f.mu.Unlock()
	if version <= f.service.local.Version(f.state) {
		return
	}
	notify.Send(f.offered)
}

func (f *fetcher) next() (addr string, wait time.Duration) {
	own := f.service.local.Version(f.state)
	storeLost := f.service.local.StoreLost()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.planner.Next(max(own, f.rejected), storeLost, time.Now(), rand.IntN)
}

// run fetches outdated state until ctx ends.
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
	start, own := time.Now(), f.service.local.Version(f.state)
	done := Fetch{State: f.state, From: addr}
	var data []byte
	data, done.Err = f.transfer(ctx, addr, &done)
	if ctx.Err() != nil {
		return
	}
	done.Took = time.Since(start)
	f.service.local.Fetched(done)
	if done.Err == nil {
		f.apply(done, data)
	}
	if errors.Is(done.Err, errVersionChanged) || f.service.local.Version(f.state) > own {
		return
	}
	// A gateway that reports a version that it doesn't have must not be asked in a loop.
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner.Failed(addr, time.Now())
}

func (f *fetcher) apply(done Fetch, data []byte) {
	if err := f.service.local.ApplyState(f.state, done.Version, data, done.From); err != nil {
		f.mu.Lock()
		f.rejected = done.Version
		f.mu.Unlock()
	}
}

// transfer requests all parts from the gateway at addr.
func (f *fetcher) transfer(ctx context.Context, addr string, done *Fetch) ([]byte, error) {
	caller := &partCaller{net: f.service.net, addr: addr, meter: &f.service.meter}
	defer caller.disconnect()
	var compressed []byte
	for {
		era, number := splitVersion(f.state, done.Version)
		part, err := caller.part(ctx, &FetchRequest{State: f.state, Version: number, Era: era, Offset: uint32(len(compressed))})
		if err != nil {
			return nil, err
		}
		version := joinVersion(f.state, part.GetEra(), part.GetVersion())
		if done.Version != 0 && version != done.Version {
			return nil, errVersionChanged
		}
		done.Version = version
		compressed = append(compressed, part.GetData()...)
		done.Bytes = len(compressed)
		switch size := int(part.GetSize()); {
		case size > maxStateBytes:
			return nil, errTooLarge
		case len(compressed) == size && size > 0:
			return decompress(compressed)
		case len(part.GetData()) == 0 || len(compressed) > size:
			return nil, errPartSize
		}
	}
}

// partCaller makes the calls of one fetch. A failed call is repeated on a new connection, so an unresponsive
// connection costs one part only.
type partCaller struct {
	net   Network
	addr  string
	meter *link.Meter
	conn  peerConn
}

func (c *partCaller) part(ctx context.Context, r *FetchRequest) (part *FetchPart, err error) {
	for range partAttempts {
		if part, err = c.call(ctx, r); err == nil || ctx.Err() != nil {
			return part, err
		}
		c.disconnect()
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

func (c *partCaller) disconnect() { c.conn.disconnect() }
