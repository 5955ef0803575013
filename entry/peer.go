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

// peer is this entry's local state of one sidecar. It keeps a link up by redialling.
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
	// placedSinceReport and tokensSinceReport count this entry's own requests, and their tokens to be
	// prefilled, since the latest load report.
	placedSinceReport int
	tokensSinceReport int
	// temporaryUsedAt is when a peer outside the entry's subset was last used, or zero for a peer of the
	// subset. A temporary peer answers claims of tickets and gets no new work.
	temporaryUsedAt time.Time
	leaving         bool
	listedLeaving   bool
	// sentRevision is the latest revision that was sent to the sidecar or reported by it, confirmedRevision
	// the latest that it has reported.
	sentRevision      uint64
	confirmedRevision uint64
	flows             map[wire.Key]*flow
}

func newPeer(p *pool, b contract.Backend) *peer {
	return &peer{pool: p, backend: b, up: make(chan struct{}), flows: make(map[wire.Key]*flow)}
}

// protocolRedialInterval is the minimum interval before a sidecar of another protocol version is dialled
// again; it changes its version only when it is replaced.
const protocolRedialInterval = time.Second

// run dials and serves links until ctx ends. An unreachable sidecar is logged once.
func (p *peer) run(ctx context.Context) {
	unreachable := false
	for ctx.Err() == nil {
		served, err := p.connect(ctx)
		if (served || !unreachable) && ctx.Err() == nil {
			disconnectEvent(err).Log(p.pool.log).Str("backend", p.backend.ID).Err(err).Msg("")
		}
		unreachable = true
		interval := p.pool.settings.Timing.Redial
		if served {
			interval = 0
		}
		if errors.Is(err, errProtocol) {
			interval = max(interval, protocolRedialInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// disconnectEvent returns the log event for the error that ended a link.
func disconnectEvent(err error) event.Event {
	switch {
	case errors.Is(err, errProtocol):
		return event.LinkRefused
	case errors.Is(err, link.ErrUnresponsive):
		return event.LinkUnresponsive
	default:
		return event.LinkDown
	}
}

// connect serves one link until it breaks, and reports whether it was ever up.
func (p *peer) connect(ctx context.Context) (served bool, err error) {
	conn, err := link.Dial(ctx, p.backend.Address, p.pool.tls, p.pool.settings.Timing.Dial, &p.pool.meter)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCSidecarClient(conn).Session(ctx)
	if err != nil {
		return false, err
	}
	l := p.newLink(stream, conn.Transport())
	var protocolErr error
	err = l.Run(ctx, func(f *wire.SidecarFrame) {
		if protocolErr != nil {
			return
		}
		if protocolErr = checkProtocol(f); protocolErr != nil {
			l.Close()
			return
		}
		p.handle(l, f)
	})
	served = p.dropLink(l)
	switch {
	case protocolErr != nil:
		return served, protocolErr
	case drpcerr.Code(err) == wire.CodeProtocol:
		return served, merry.Wrap(errProtocol, merry.AppendMessage(err.Error()))
	}
	return served, err
}

// checkProtocol returns an error for a welcome of another protocol version.
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
		HeartbeatInterval:     p.pool.settings.Timing.Heartbeat,
		IdleHeartbeatInterval: p.pool.settings.Timing.IdleHeartbeat,
		SilenceLimit:          p.pool.settings.Timing.Silence,
		QueueLimit:            p.pool.settings.Bounds.LinkQueue,
		Active:                func() bool { return p.outstanding() > 0 },
		MakeHeartbeat:         p.makeHeartbeat,
		Transport:             transport,
		OnDropped: func(err error) {
			event.FrameDropped.Log(p.pool.log).Str("backend", p.backend.ID).Err(err).Msg("")
		},
	})
	_ = l.Send(&wire.EntryFrame{Body: &wire.EntryFrame_Hello{Hello: &wire.Hello{
		Protocol:     wire.Protocol,
		EntryId:      p.pool.settings.ID,
		Incarnation:  p.pool.incarnation,
		Zone:         p.pool.settings.Zone,
		HeadRevision: p.pool.state.Head(),
	}}})
	return l
}

func (p *peer) makeHeartbeat(interval time.Duration) *wire.EntryFrame {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &wire.EntryFrame{Body: &wire.EntryFrame_Beat{Beat: &wire.EntryBeat{
		HeadRevision:  p.pool.state.Head(),
		IntervalMs:    uint32(interval.Milliseconds()),
		ListedLeaving: p.listedLeaving,
	}}}
}

// dropLink notifies every flow that the link broke, and reports whether the link had been up.
func (p *peer) dropLink(l *entryLink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != l {
		return false
	}
	p.link = nil
	p.up = make(chan struct{})
	for _, f := range p.flows {
		f.push(flowItem{linkDown: true})
	}
	return true
}

// openFlow begins receiving for an attempt.
func (p *peer) openFlow(key wire.Key) *flow {
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

func (p *peer) closeFlow(key wire.Key) {
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

// incarnation returns the incarnation in the sidecar's latest welcome.
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

// revision returns the configuration revision that the sidecar has confirmed.
func (p *peer) revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedRevision
}

// setListedLeaving records whether the platform's list of VMs marks the backend server as leaving. A change
// is reported to the sidecar at once.
func (p *peer) setListedLeaving(leaving bool) {
	p.mu.Lock()
	changed := p.listedLeaving != leaving
	p.listedLeaving = leaving
	p.mu.Unlock()
	if changed {
		p.sendHeartbeat()
	}
}

// usable reports whether new work may be sent to the sidecar.
func (p *peer) usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link != nil && !p.leaving && !p.listedLeaving && p.temporaryUsedAt.IsZero()
}

// outstanding returns the entry's own count of attempts there.
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
