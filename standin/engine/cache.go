package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

const maxCacheEvents = 8192

// prefixCache is an LRU cache of prompt prefixes by block. The last blocks of a
// prefix are evicted first, so that no block is cached without those before it.
type prefixCache struct {
	blocks   int
	order    *list.List // front is the most recently used
	byKey    map[blockKey]*list.Element
	events   []timedEvent
	sequence uint64
	delay    time.Duration
	loss     float64
	random   *rand.Rand
}

// blockKey identifies a block of a model; two models have the same hash for the
// same text.
type blockKey struct {
	model string
	hash  uint64
}

type block struct {
	key    blockKey
	tokens int
}

type timedEvent struct {
	visibleAt time.Time
	event     engine.CacheEvent
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{
		blocks: cfg.CacheTokens / engine.PrefixBlockTokens,
		order:  list.New(),
		byKey:  make(map[blockKey]*list.Element),
		delay:  cfg.EventDelay,
		loss:   cfg.EventLoss,
		random: rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// lookup returns the length in tokens of the longest cached prefix of text.
func (p *prefixCache) lookup(model, text string) int {
	tokens := 0
	for _, h := range engine.PrefixHashes(text) {
		if p.byKey[blockKey{model, h}] == nil {
			break
		}
		tokens += engine.PrefixBlockTokens
	}
	return tokens
}

// insert stores the blocks of text, evicting the least recently used.
func (p *prefixCache) insert(now time.Time, model, text string) {
	hashes := engine.PrefixHashes(text)
	hashes = hashes[:min(len(hashes), p.blocks)]
	for i := len(hashes) - 1; i >= 0; i-- {
		p.touch(now, block{blockKey{model, hashes[i]}, (i + 1) * engine.PrefixBlockTokens})
	}
	for p.order.Len() > p.blocks {
		last := p.order.Back()
		b := last.Value.(block)
		p.order.Remove(last)
		delete(p.byKey, b.key)
		p.emit(now, b, true)
	}
}

func (p *prefixCache) touch(now time.Time, b block) {
	if el := p.byKey[b.key]; el != nil {
		p.order.MoveToFront(el)
		return
	}
	p.byKey[b.key] = p.order.PushFront(b)
	p.emit(now, b, false)
}

// emit numbers an event and drops some events at random, so that readers see gaps.
func (p *prefixCache) emit(now time.Time, b block, evicted bool) {
	p.sequence++
	if p.random.Float64() < p.loss {
		return
	}
	e := engine.CacheEvent{Sequence: p.sequence, PrefixHash: b.key.hash, Tokens: b.tokens, Evicted: evicted}
	p.events = append(p.events, timedEvent{now.Add(p.delay), e})
	if len(p.events) > maxCacheEvents {
		p.events = p.events[len(p.events)-maxCacheEvents:]
	}
}

// after returns the events after a sequence number that are visible at the time now.
func (p *prefixCache) after(now time.Time, sequence uint64) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, t := range p.events {
		if t.event.Sequence > sequence && !t.visibleAt.After(now) {
			out = append(out, t.event)
		}
	}
	return out
}

func (p *prefixCache) freeTokens() int {
	return (p.blocks - p.order.Len()) * engine.PrefixBlockTokens
}
