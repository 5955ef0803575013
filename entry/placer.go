package entry

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/policy/placement"
	"github.com/hibiscusspur/hibiscusspur/policy/prefixcache"
	"github.com/hibiscusspur/hibiscusspur/policy/retry"
)

// servers is a placement: decode runs the request; prefill is nil when the
// decode server prefills by itself.
type servers struct {
	decode, prefill *peer
	// expected is the expected time to the first token.
	expected time.Duration
	// prefilled is the expected time until the prefill is done, queue included.
	prefilled time.Duration
}

// placer feeds the placement policy with what the peers know. It is safe for
// concurrent use.
type placer struct {
	cfg placement.Config

	mu         sync.Mutex
	picker     placement.Picker
	rng        *rand.Rand
	cache      *prefixcache.Index
	candidates []placement.Candidate
}

func newPlacer(p Policy) (*placer, error) {
	cfg := placement.DefaultConfig()
	picker, err := placement.New(p.Placement, cfg)
	if err != nil {
		return nil, err
	}
	return &placer{
		cfg:    cfg,
		picker: picker,
		rng:    newSource(),
		cache:  prefixcache.New(prefixcache.DefaultConfig()),
	}, nil
}

// modelRoles are the roles of servers that take model work.
var modelRoles = []string{string(engine.RolePrefill), string(engine.RoleDecode), string(engine.RoleMixed)}

// place chooses servers for r, other than those that d excludes as long as there
// are any.
func (p *placer) place(pool *pool, r *request, d retry.Decision) (servers, bool) {
	peers := pool.candidates(r.model, nil, modelRoles...)
	slices.SortFunc(peers, func(a, b *peer) int { return strings.Compare(a.backend.ID, b.backend.ID) })
	now := time.Now()
	req := placement.Request{
		Zone:         pool.set.Zone,
		PromptTokens: r.tokens + engine.EstimateTokens(string(r.text)),
		MaxTokens:    r.max,
		Urgency:      r.class.Urgency,
		TTFTLeft:     max(r.class.TTFT-now.Sub(r.begun), 0),
		ExcludeIDs:   d.ExcludeIDs,
		AvoidZones:   d.AvoidZones,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.describe(peers, r, now)
	choices := p.picker.Pick(req, p.candidates, p.rng)
	if len(choices) == 0 && len(d.ExcludeIDs) > 0 {
		req.ExcludeIDs = nil
		choices = p.picker.Pick(req, p.candidates, p.rng)
	}
	if len(choices) == 0 {
		return servers{}, false
	}
	return p.take(peers, r, &req, choices[0], now), true
}

// describe makes the candidates of peers, in the same order.
func (p *placer) describe(peers []*peer, r *request, now time.Time) {
	p.candidates = p.candidates[:0]
	for _, pr := range peers {
		c := pr.candidate(now)
		hit := p.cache.Lookup(c.ID, r.hashes, now)
		c.CachedTokens, c.CacheConfidence = hit.Tokens, hit.Confidence
		p.candidates = append(p.candidates, c)
	}
}

// take notes the choice at the peers and in the index of prefixes.
func (p *placer) take(peers []*peer, r *request, req *placement.Request, c placement.Choice, now time.Time) servers {
	find := func(id string) int {
		return slices.IndexFunc(peers, func(pr *peer) bool { return pr.backend.ID == id })
	}
	d, f := find(c.Decode), find(c.Prefill)
	times := placement.Estimate(p.cfg, *req, &p.candidates[f], &p.candidates[d])
	sv := servers{decode: peers[d], expected: times.TTFT, prefilled: times.Queue + times.Prefill}
	if !c.Mixed() {
		sv.prefill = peers[f]
	}
	hit := p.candidates[f]
	uncached := req.PromptTokens - int(float64(hit.CachedTokens)*hit.CacheConfidence)
	peers[f].notePrefill(max(uncached, 0))
	peers[d].notePlaced()
	p.cache.RecordPlacement(c.Prefill, r.hashes, now)
	return sv
}

// prefilled notes what a prefill found in the cache of a server.
func (p *placer) prefilled(at *peer, r *request, cached int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.RecordResult(at.backend.ID, r.hashes, cached, time.Now())
}

// candidate describes the peer to the placement policy.
func (p *peer) candidate(now time.Time) placement.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := placement.Candidate{
		ID:                p.backend.ID,
		Zone:              p.backend.Zone,
		Role:              engine.Role(p.backend.Role),
		Outstanding:       len(p.flows),
		PlacedSinceReport: p.placedSince,
		TokensSinceReport: p.tokensSince,
		Rates: placement.Rates{
			PrefillTokensPerSecond: float64(p.welcome.GetPrefillTokensPerSecond()),
			LinkBytesPerSecond:     float64(p.welcome.GetLinkBytesPerSecond()),
			KVBytesPerToken:        float64(p.welcome.GetKvBytesPerToken()),
		},
	}
	if l := p.load; l != nil {
		c.Load = placement.Load{
			Known:          true,
			Age:            now.Sub(p.loadAt),
			Slots:          int(l.GetPlaces()),
			SlotsUsed:      int(l.GetPlacesUsed()),
			Queued:         int(l.GetQueued()),
			PrefillBacklog: time.Duration(l.GetPrefillBacklogMs()) * time.Millisecond,
			LinkBacklog:    time.Duration(l.GetLinkBacklogMs()) * time.Millisecond,
			Step:           time.Duration(l.GetStepUs()) * time.Microsecond,
		}
	}
	return c
}

func (p *peer) notePlaced() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placedSince++
}

func (p *peer) notePrefill(tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokensSince += tokens
}
