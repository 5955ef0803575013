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
)

// roleService is the role of backend servers that are plain services.
const roleService = "service"

// pool keeps a peer for each backend server that is not retired.
type pool struct {
	set         Settings
	log         *log.Logger
	tls         *tls.Config
	incarnation string
	state       *dissemination.State
	index       *dissemination.Index
	limits      *limits

	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup

	meter link.Meter

	mu    sync.Mutex
	peers map[string]*peer
	view  *view
	pull  dissemination.Pull[*peer]
}

func newPool(set Settings, l *log.Logger, conf *tls.Config, incarnation string, st *dissemination.State, idx *dissemination.Index) *pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &pool{
		set: set, log: l, tls: conf, incarnation: incarnation, state: st, index: idx,
		ctx: ctx, stop: stop, peers: make(map[string]*peer),
	}
	return p
}

// refresh brings the peers in line with the backend records.
func (p *pool) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = newView(p.view, p.set, p.index.Backends())
	all, want := p.view.active, p.view.chosen
	if p.state.Head() == 0 {
		want = p.seeds()
	}
	for id, pr := range p.peers {
		b, ok := want[id]
		if !ok && pr.isGuest(time.Now()) {
			b, ok = all[id]
		}
		if ok && b.Address == pr.backend.Address && b.Role == pr.backend.Role && slices.Equal(b.Models, pr.backend.Models) {
			continue
		}
		p.retire(pr)
		delete(p.peers, id)
	}
	for id, b := range want {
		if p.peers[id] == nil {
			p.peers[id] = p.add(b)
		}
		p.peers[id].setGuest(time.Time{})
	}
}

// seedPrefix begins the ids of seeds, which no backend record may have.
const seedPrefix = "seed "

// announce tells every sidecar that is behind of a new head; one that lacks it
// answers with its own and is handed the records.
func (p *pool) announce() {
	head := p.state.Head()
	for _, pr := range p.all() {
		if pr.revision() < head {
			pr.beatNow()
		}
	}
}

// offered takes the head that a sidecar has announced, and asks for it when it is
// above this entry's.
func (p *pool) offered(pr *peer, head uint64) {
	p.mu.Lock()
	ask := p.pull.Offer(pr, head, p.state.Head(), time.Now())
	p.mu.Unlock()
	if ask {
		pr.beatNow()
	}
}

// seeds are the sidecars named in the settings: while this entry knows no
// configuration, they hand it theirs, whatever the platform does.
func (p *pool) seeds() map[string]contract.Backend {
	out := make(map[string]contract.Backend, len(p.set.Seeds))
	for _, addr := range p.set.Seeds {
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

// retire keeps the link of a retired peer until its attempts are over.
func (p *pool) retire(pr *peer) {
	p.work.Go(func() {
		defer pr.stop()
		pr.waitIdle(p.ctx, p.set.Timing.Heartbeat)
	})
}

func (p *pool) close() {
	p.stop()
	p.work.Wait()
}

// candidates are the usable peers that serve model in one of roles, except those excluded.
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

// peer returns the peer of a backend server, or nil when there is no such server.
// One outside the entry's subset is linked as a guest for a while.
func (p *pool) peer(id string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr := p.peers[id]
	if pr == nil {
		p.view = newView(p.view, p.set, p.index.Backends())
		b, ok := p.view.active[id]
		if !ok {
			return nil
		}
		pr = p.add(b)
		p.peers[id] = pr
		pr.setGuest(time.Now())
	}
	pr.renewGuest(time.Now())
	return pr
}

// all returns every peer.
func (p *pool) all() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.peers))
}

// usable are the peers of which new work may be asked.
func (p *pool) usable() []*peer {
	return slices.DeleteFunc(p.all(), func(pr *peer) bool { return !pr.usable() })
}

// pick takes the less loaded of two random candidates.
func pick(c []*peer) *peer {
	if len(c) == 0 {
		return nil
	}
	a, b := c[rand.IntN(len(c))], c[rand.IntN(len(c))]
	if b.outstanding() < a.outstanding() {
		return b
	}
	return a
}
