package entry

import (
	"context"
	"crypto/tls"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// roleService is the role of backend servers that are plain services.
const roleService = "service"

// pool holds a peer for each linked backend server that is not retired.
type pool struct {
	settings    Settings
	log         *log.Logger
	tls         *tls.Config
	incarnation string
	state       *dissemination.State
	index       *dissemination.Index
	limiter     *limiter
	// onSuspects receives other entries' reports of suspected requests, with the backend server that passed them on.
	onSuspects func(m *wire.Suspects, backend string)

	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup

	meter link.Meter

	mu    sync.Mutex
	peers map[string]*peer
	view  *backendView
	pull  dissemination.Pull[*peer]
}

func newPool(set Settings, l *log.Logger, tlsConfig *tls.Config, incarnation string, st *dissemination.State, idx *dissemination.Index) *pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &pool{
		settings: set, log: l, tls: tlsConfig, incarnation: incarnation, state: st, index: idx,
		ctx: ctx, stop: stop, peers: make(map[string]*peer),
	}
	return p
}

// broadcast sends a frame to every sidecar that is linked. Each link gets a frame of its own.
func (p *pool) broadcast(newFrame func() *wire.EntryFrame) {
	p.mu.Lock()
	peers := slices.Collect(maps.Values(p.peers))
	p.mu.Unlock()
	for _, peer := range peers {
		// A link that is down is skipped: its sidecar has nothing to pass on.
		_ = peer.send(newFrame())
	}
}

// receiveSuspects takes a report of suspected requests that a sidecar has passed on.
func (p *pool) receiveSuspects(m *wire.Suspects, backend string) {
	if p.onSuspects != nil {
		p.onSuspects(m, backend)
	}
}

// refresh reconciles the peers with the backend records.
func (p *pool) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = newView(p.view, p.settings, p.index.Backends())
	all, wanted := p.view.active, p.view.chosen
	if p.state.Head() == 0 {
		wanted = p.seedBackends()
	}
	for id, pr := range p.peers {
		b, ok := wanted[id]
		if !ok && pr.keepTemporary(time.Now()) {
			b, ok = all[id]
		}
		if ok && b.Address == pr.backend.Address && b.Role == pr.backend.Role && slices.Equal(b.Models, pr.backend.Models) {
			continue
		}
		p.retire(pr)
		delete(p.peers, id)
	}
	for id, b := range wanted {
		if p.peers[id] == nil {
			p.peers[id] = p.add(b)
		}
		p.peers[id].setTemporary(time.Time{})
	}
}

// seedPrefix begins the ids of seeds, which no backend record may have.
const seedPrefix = "seed "

// announceHead announces a new head revision to every sidecar that is behind. A sidecar that lacks it answers
// with its own head and is sent the records.
func (p *pool) announceHead() {
	head := p.state.Head()
	for _, pr := range p.all() {
		if pr.revision() < head {
			pr.sendHeartbeat()
		}
	}
}

// headAnnounced takes the head revision that a sidecar has announced, and requests the records when it is
// above this entry's.
func (p *pool) headAnnounced(pr *peer, head uint64) {
	p.mu.Lock()
	due := p.pull.Offer(pr, head, p.state.Head(), time.Now())
	p.mu.Unlock()
	if due {
		pr.sendHeartbeat()
	}
}

// seedBackends returns the sidecars named in the settings. While this entry has no configuration, they send
// theirs, whether or not the platform answers.
func (p *pool) seedBackends() map[string]contract.Backend {
	out := make(map[string]contract.Backend, len(p.settings.Seeds))
	for _, addr := range p.settings.Seeds {
		id := seedPrefix + addr
		out[id] = contract.Backend{ID: id, Address: addr}
	}
	return out
}

func (p *pool) add(b contract.Backend) *peer {
	pr := newPeer(p, b)
	ctx, cancel := context.WithCancel(p.ctx)
	pr.stop = cancel
	p.work.Go(func() { pr.run(ctx) })
	return pr
}

// retire keeps the link of a removed peer until its attempts have ended.
func (p *pool) retire(pr *peer) {
	p.work.Go(func() {
		defer pr.stop()
		pr.waitIdle(p.ctx, p.settings.Timing.Heartbeat)
	})
}

func (p *pool) close() {
	p.stop()
	p.work.Wait()
}

// candidates returns the usable peers that serve model in one of roles, except those excluded.
func (p *pool) candidates(model string, exclude []string, roles ...string) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	for _, pr := range p.peers {
		if slices.Contains(exclude, pr.backend.ID) || !slices.Contains(roles, pr.backend.Role) || !slices.Contains(pr.backend.Models, model) {
			continue
		}
		if pr.usable() {
			out = append(out, pr)
		}
	}
	return out
}

// peer returns the peer of a backend server, or nil when there is no such server. A server outside the
// entry's subset gets a temporary link.
func (p *pool) peer(id string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[id]
	if pr == nil {
		p.view = newView(p.view, p.settings, p.index.Backends())
		b, ok := p.view.active[id]
		if !ok {
			return nil
		}
		pr = p.add(b)
		p.peers[id] = pr
		pr.setTemporary(time.Now())
	}
	pr.renewTemporary(time.Now())
	return pr
}

// all returns every peer.
func (p *pool) all() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.peers))
}

// usable returns the peers to which new work may be sent.
func (p *pool) usable() []*peer {
	return slices.DeleteFunc(p.all(), func(pr *peer) bool { return !pr.usable() })
}

// pickLessLoaded returns the less loaded of two random candidates (power of two choices).
func pickLessLoaded(c []*peer) *peer {
	if len(c) == 0 {
		return nil
	}
	a, b := c[rand.IntN(len(c))], c[rand.IntN(len(c))]
	if b.outstanding() < a.outstanding() {
		return b
	}
	return a
}
