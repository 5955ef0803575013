package entry

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc/drpcerr"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

type entryLink = link.Link[wire.EntryFrame, wire.SidecarFrame]

// peer is one sidecar as this entry knows it. It keeps a link up by redialling.
type peer struct {
	pool    *pool
	backend contract.Backend
	stop    context.CancelFunc

	mu      sync.Mutex
	link    *entryLink
	up      chan struct{}
	welcome *wire.Welcome
	load    *wire.Load
	loadAt  time.Time
	// placedSince and tokensSince count this entry's own requests, and their
	// tokens to be prefilled, since the latest load report.
	placedSince int
	tokensSince int
	// guestSince is set while the peer is outside the entry's subset: it answers
	// for tickets and gets no new work.
	guestSince time.Time
	leaving    bool
	listed     bool
	// told is the revision handed to the sidecar, confirmed that which it says it has.
	told      uint64
	confirmed uint64
	flows     map[wire.Key]*flow
}

func newPeer(p *pool, b contract.Backend) *peer {
	return &peer{pool: p, backend: b, up: make(chan struct{}), flows: make(map[wire.Key]*flow)}
}

// refusedRedial is the pause before a sidecar that speaks another protocol version
// is dialled again; it speaks ours only once it has been replaced.
const refusedRedial = time.Second

// run dials and serves links until ctx ends. A sidecar that stays away is logged once.
func (p *peer) run(ctx context.Context) {
	away := false
	for ctx.Err() == nil {
		served, err := p.connect(ctx)
		if (served || !away) && ctx.Err() == nil {
			endOf(err).Log(p.pool.log).Str("backend", p.backend.ID).Err(err).Msg("")
		}
		away = true
		pause := p.pool.set.Timing.Redial
		if served {
			pause = 0
		}
		if errors.Is(err, errProtocol) {
			pause = max(pause, refusedRedial)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// endOf is the event that tells why a link ended.
func endOf(err error) event.Event {
	switch {
	case errors.Is(err, errProtocol):
		return event.LinkRefused
	case errors.Is(err, link.ErrUnresponsive):
		return event.LinkSilent
	default:
		return event.LinkDown
	}
}

// connect serves one link until it breaks, and reports whether it ever was up.
func (p *peer) connect(ctx context.Context) (served bool, err error) {
	conn, err := link.Dial(ctx, p.backend.Address, p.pool.tls, p.pool.set.Timing.Dial, &p.pool.meter)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCSidecarClient(conn).Session(ctx)
	if err != nil {
		return false, err
	}
	l := p.newLink(stream, conn.Transport())
	var skew error
	err = l.Run(ctx, func(f *wire.SidecarFrame) {
		if skew != nil {
			return
		}
		if skew = checkProtocol(f); skew != nil {
			l.Close()
			return
		}
		p.handle(l, f)
	})
	served = p.down(l)
	switch {
	case skew != nil:
		return served, skew
	case drpcerr.Code(err) == wire.CodeProtocol:
		return served, merry.Wrap(errProtocol, merry.AppendMessage(err.Error()))
	}
	return served, err
}

// checkProtocol refuses a welcome of another version.
func checkProtocol(f *wire.SidecarFrame) error {
	w := f.GetWelcome()
	if w == nil || w.GetProtocol() == wire.Protocol {
		return nil
	}
	return merry.Appendf(errProtocol, "sidecar speaks %d, entry %d", w.GetProtocol(), wire.Protocol)
}

// newLink returns a link on which the hello has been sent.
func (p *peer) newLink(stream wire.DRPCSidecar_SessionClient, transport io.Closer) *entryLink {
	l := link.New(stream, link.Options[wire.EntryFrame]{
		HeartbeatInterval:     p.pool.set.Timing.Beat,
		IdleHeartbeatInterval: p.pool.set.Timing.IdleBeat,
		SilenceLimit:          p.pool.set.Timing.Silence,
		QueueLimit:            p.pool.set.Bounds.LinkQueue,
		Active:                func() bool { return p.outstanding() > 0 },
		MakeHeartbeat:         p.beat,
		Transport:             transport,
		OnDropped: func(err error) {
			event.FrameDropped.Log(p.pool.log).Str("backend", p.backend.ID).Err(err).Msg("")
		},
	})
	_ = l.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Hello{Hello: &wire.Hello{
		Protocol:     wire.Protocol,
		EntryId:      p.pool.set.ID,
		Incarnation:  p.pool.incarnation,
		Zone:         p.pool.set.Zone,
		HeadRevision: p.pool.state.Head(),
	}}})
	return l
}

func (p *peer) beat(interval time.Duration) *wire.EntryFrame {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &wire.EntryFrame{Body: &wire.EntryFrame_Beat{Beat: &wire.EntryBeat{
		HeadRevision:  p.pool.state.Head(),
		IntervalMs:    uint32(interval.Milliseconds()),
		ListedLeaving: p.listed,
	}}}
}

// down tells every flow that the link broke, and reports whether it had been up.
func (p *peer) down(l *entryLink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != l {
		return false
	}
	p.link = nil
	p.up = make(chan struct{})
	for _, f := range p.flows {
		f.push(flowItem{down: true})
	}
	return true
}

// open begins receiving for an attempt.
func (p *peer) open(key wire.Key) *flow {
	f := &flow{peer: p, key: key, wake: make(chan struct{}, 1)}
	p.mu.Lock()
	p.flows[key] = f
	l := p.link
	p.mu.Unlock()
	if l != nil {
		l.Activate()
	}
	return f
}

func (p *peer) forget(key wire.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.flows, key)
}

func (p *peer) send(f *wire.EntryFrame) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return errLinkDown
	}
	return p.link.Send(f)
}

// incarnation returns that of the sidecar last heard of.
func (p *peer) incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.welcome.GetIncarnation()
}

// waitUp blocks until a link is up.
func (p *peer) waitUp(ctx context.Context) error {
	p.mu.Lock()
	up := p.up
	p.mu.Unlock()
	select {
	case <-up:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// revision is the configuration revision that the sidecar is known to have.
func (p *peer) revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmed
}

// setListed notes what the platform's list of VMs says of the backend server.
// A change is told at once.
func (p *peer) setListed(leaving bool) {
	p.mu.Lock()
	changed := p.listed != leaving
	p.listed = leaving
	p.mu.Unlock()
	if changed {
		p.beatNow()
	}
}

// usable reports whether new work may be asked of the sidecar.
func (p *peer) usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link != nil && !p.leaving && !p.listed && p.guestSince.IsZero()
}

// outstanding is the entry's own count of attempts there.
func (p *peer) outstanding() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.flows)
}

// waitIdle blocks until no attempt uses the peer or ctx ends.
func (p *peer) waitIdle(ctx context.Context, check time.Duration) {
	t := time.NewTicker(check)
	defer t.Stop()
	for p.outstanding() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
