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

// servers is a placement: decode runs the request; prefill is nil when the decode server prefills by itself.
type servers struct {
	decode, prefill *peer
	// expectedTTFT is the expected time to the first token.
	expectedTTFT time.Duration
	// expectedPrefill is the expected time until the prefill is done, including queueing.
	expectedPrefill time.Duration
}

// placer passes the state of the peers to the placement policy. It is safe for concurrent use.
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
		rng:    newRand(),
		cache:  prefixcache.New(prefixcache.DefaultConfig()),
	}, nil
}

// modelRoles are the roles of servers that run models.
var modelRoles = []string{string(engine.RolePrefill), string(engine.RoleDecode), string(engine.RoleMixed)}

// place chooses servers for r. A server that d excludes is chosen only when there is no other.
func (p *placer) place(pool *pool, r *request, d retry.Decision) (servers, bool) {
	peers := pool.candidates(r.model, nil, modelRoles...)
	slices.SortFunc(peers, func(a, b *peer) int { return strings.Compare(a.backend.ID, b.backend.ID) })
	now := time.Now()
	req := placement.Request{
		Zone:         pool.settings.Zone,
		PromptTokens: r.promptTokens + engine.EstimateTokens(string(r.text)),
		MaxTokens:    r.maxTokens,
		Urgency:      r.class.Urgency,
		TTFTLeft:     max(r.class.TTFT-now.Sub(r.start), 0),
		ExcludeIDs:   d.ExcludeIDs,
		AvoidZones:   d.AvoidZones,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.buildCandidates(peers, r, now)
	choices := p.picker.Pick(req, p.candidates, p.rng)
	if len(choices) == 0 && len(d.ExcludeIDs) > 0 {
		req.ExcludeIDs = nil
		choices = p.picker.Pick(req, p.candidates, p.rng)
	}
	if len(choices) == 0 {
		return servers{}, false
	}
	return p.recordChoice(peers, r, &req, choices[0], now), true
}

// buildCandidates describes peers to the placement policy, in the same order.
func (p *placer) buildCandidates(peers []*peer, r *request, now time.Time) {
	p.candidates = p.candidates[:0]
	for _, pr := range peers {
		c := pr.candidate(now)
		hit := p.cache.Lookup(c.ID, r.prefixHashes, now)
		c.CachedTokens, c.CacheConfidence = hit.Tokens, hit.Confidence
		p.candidates = append(p.candidates, c)
	}
}

// recordChoice records the choice at the peers and in the prefix index, and returns its servers.
func (p *placer) recordChoice(peers []*peer, r *request, req *placement.Request, c placement.Choice, now time.Time) servers {
	indexOf := func(id string) int {
		return slices.IndexFunc(peers, func(pr *peer) bool { return pr.backend.ID == id })
	}
	decode, prefill := indexOf(c.Decode), indexOf(c.Prefill)
	times := placement.Estimate(p.cfg, *req, &p.candidates[prefill], &p.candidates[decode])
	sv := servers{decode: peers[decode], expectedTTFT: times.TTFT, expectedPrefill: times.Queue + times.Prefill}
	if !c.Mixed() {
		sv.prefill = peers[prefill]
	}
	hit := p.candidates[prefill]
	uncached := req.PromptTokens - int(float64(hit.CachedTokens)*hit.CacheConfidence)
	peers[prefill].recordPrefill(max(uncached, 0))
	peers[decode].recordPlaced()
	p.cache.RecordPlacement(c.Prefill, r.prefixHashes, now)
	return sv
}

// recordPrefillResult records how much of the prompt a prefill found in the cache of a server.
func (p *placer) recordPrefillResult(at *peer, r *request, cached int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.RecordResult(at.backend.ID, r.prefixHashes, cached, time.Now())
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
		PlacedSinceReport: p.placedSinceReport,
		TokensSinceReport: p.tokensSinceReport,
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

func (p *peer) recordPlaced() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placedSinceReport++
}

func (p *peer) recordPrefill(tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokensSinceReport += tokens
}
