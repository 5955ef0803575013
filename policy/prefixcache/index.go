// Package prefixcache estimates which backend server holds which prompt prefix. It learns from
// cache events, which arrive late and with gaps, from the caller's own placements, and from the
// cached tokens that engines report with their results. Every answer is a hint with a confidence.
//
// An Index is not safe for concurrent use; the caller must lock it. Time is passed in and nothing
// is random, so equal calls give equal answers.
package prefixcache

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// Config bounds the size of an Index and sets how fast its entries lose confidence.
type Config struct {
	// MaxEntries is the maximum number of (backend, prefix) pairs kept. The least recently used one
	// is evicted.
	MaxEntries int
	// HalfLife is the time in which the confidence of an entry halves.
	HalfLife time.Duration
	// PlacedConfidence is the confidence of a placement that no event or result has confirmed yet,
	// in (0, 1].
	PlacedConfidence float64
	// EvictedShare is the fraction of missing events assumed to be evictions, in [0, 1].
	EvictedShare float64
	// MissPenalty is added to the negative logarithm of the confidence of all entries of a backend
	// when a result shows one of them to be wrong.
	MissPenalty float64
}

// DefaultConfig returns settings for an entry process that places some tens of requests a second.
func DefaultConfig() Config {
	return Config{
		MaxEntries:       1 << 16,
		HalfLife:         time.Minute,
		PlacedConfidence: 0.7,
		EvictedShare:     0.5,
		MissPenalty:      0.1,
	}
}

// minConfidence is the confidence below which an entry is ignored.
const minConfidence = 0.02

// Hit is the longest prefix that a backend server is estimated to hold.
type Hit struct {
	// Tokens is the estimated length of the prefix, or zero for no prefix.
	Tokens int
	// Confidence is the estimated probability that the prefix is still held, in [0, 1].
	Confidence float64
}

// Expected returns the expected number of cached tokens.
func (h Hit) Expected() float64 { return float64(h.Tokens) * h.Confidence }

// Index is an approximate index of prefixes by backend server.
type Index struct {
	cfg      Config
	backends map[string]*backend
	lastID   uint32
	slots    map[key]int32
	lru      lruList
}

// key identifies one prefix at one backend server. Backend ids are never reused, so entries of a
// forgotten backend match nothing and are evicted in time.
type key struct {
	hash    uint64
	backend uint32
}

// backend is the state of one backend server as a whole.
type backend struct {
	id uint32
	// lastSequence is the sequence number of the latest event; hasSequence is false before the
	// first event.
	lastSequence uint64
	hasSequence  bool
	// entries is the number of entries kept for this backend.
	entries int
	// negLogSurvival grows with every gap. Its growth since an entry was recorded is the negative
	// logarithm of the probability that no gap hid the eviction of the entry.
	negLogSurvival float64
}

// New returns an empty Index, whose memory grows with its entries.
func New(cfg Config) *Index {
	cfg.MaxEntries = max(cfg.MaxEntries, 1)
	return &Index{
		cfg:      cfg,
		backends: make(map[string]*backend),
		slots:    make(map[key]int32),
		lru:      newLRUList(cfg.MaxEntries),
	}
}

// Len returns the number of entries kept.
func (x *Index) Len() int { return len(x.slots) }

// RecordPlacement records that a prompt with these hashes was sent to a backend server, which will
// hold its prefixes once the prefill is done.
func (x *Index) RecordPlacement(id string, hashes []uint64, now time.Time) {
	b := x.backend(id)
	for i := len(hashes) - 1; i >= 0; i-- {
		x.put(b, hashes[i], prefixTokens(i), x.cfg.PlacedConfidence, now)
	}
}

// RecordResult records that an engine has prefilled a prompt and found its first cached tokens in
// the cache. The engine now holds the whole prompt. If it found less than expected, its cache
// evicts faster than estimated.
func (x *Index) RecordResult(id string, hashes []uint64, cached int, now time.Time) {
	b := x.backend(id)
	if x.Lookup(id, hashes, now).Tokens > cached+engine.PrefixBlockTokens {
		b.negLogSurvival += x.cfg.MissPenalty
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		x.put(b, hashes[i], prefixTokens(i), 1, now)
	}
}

// ApplyEvents applies cache events of one backend server. Events at or before the latest sequence
// number are late duplicates and are ignored; missing numbers lower the confidence of everything
// recorded earlier for that backend.
func (x *Index) ApplyEvents(id string, events []engine.CacheEvent, now time.Time) {
	b := x.backend(id)
	for _, e := range events {
		if b.hasSequence && e.Sequence <= b.lastSequence {
			continue
		}
		if b.hasSequence && e.Sequence > b.lastSequence+1 {
			x.recordGap(b, e.Sequence-b.lastSequence-1)
		}
		b.lastSequence, b.hasSequence = e.Sequence, true
		x.applyEvent(b, e, now)
	}
}

// Forget drops the state of a backend server, for instance when its engine restarts.
func (x *Index) Forget(id string) { delete(x.backends, id) }

// Lookup returns the longest prefix that a backend server is estimated to hold. It is a binary
// search, and assumes that a backend that holds a prefix also holds the shorter ones.
func (x *Index) Lookup(id string, hashes []uint64, now time.Time) Hit {
	b := x.backends[id]
	if b == nil || len(hashes) == 0 {
		return Hit{}
	}
	var best Hit
	low, high := 0, len(hashes)
	for low < high {
		mid := (low + high) / 2
		h := x.hit(b, hashes[mid], now)
		if h.Tokens == 0 {
			high = mid
			continue
		}
		best = h
		low = mid + 1
	}
	return best
}

func (x *Index) hit(b *backend, hash uint64, now time.Time) Hit {
	slot, ok := x.slots[key{hash, b.id}]
	if !ok {
		return Hit{}
	}
	n := &x.lru.nodes[slot]
	c := float64(n.confidence) * x.decay(now.Sub(n.recorded)) * math.Exp(n.negLogSurvival-b.negLogSurvival)
	if c < minConfidence {
		return Hit{}
	}
	return Hit{Tokens: int(n.tokens), Confidence: c}
}

func (x *Index) decay(age time.Duration) float64 {
	if age <= 0 || x.cfg.HalfLife <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(x.cfg.HalfLife))
}

func (x *Index) applyEvent(b *backend, e engine.CacheEvent, now time.Time) {
	if e.Evicted {
		x.remove(key{e.PrefixHash, b.id})
		return
	}
	x.put(b, e.PrefixHash, e.Tokens, 1, now)
}

// recordGap accounts for missing events: each eviction among them removed any one of the backend's
// entries with equal probability.
func (x *Index) recordGap(b *backend, missing uint64) {
	if b.entries == 0 {
		return
	}
	b.negLogSurvival += x.cfg.EvictedShare * float64(missing) / float64(b.entries)
}

func (x *Index) backend(id string) *backend {
	if b := x.backends[id]; b != nil {
		return b
	}
	x.lastID++
	b := &backend{id: x.lastID}
	x.backends[id] = b
	return b
}

// put records an entry. An unconfirmed placement does not lower the confidence of an existing
// entry.
func (x *Index) put(b *backend, hash uint64, tokens int, confidence float64, now time.Time) {
	k := key{hash, b.id}
	if slot, ok := x.slots[k]; ok {
		x.update(b, slot, tokens, confidence, now)
		return
	}
	slot, reused := x.lru.acquire()
	if reused {
		x.unindex(x.lru.nodes[slot].backend, x.lru.nodes[slot].key)
	}
	x.lru.nodes[slot].entry = entry{
		key: k, backend: b, tokens: int32(tokens), confidence: float32(confidence), recorded: now, negLogSurvival: b.negLogSurvival,
	}
	x.slots[k] = slot
	b.entries++
}

func (x *Index) update(b *backend, slot int32, tokens int, confidence float64, now time.Time) {
	x.lru.touch(slot)
	n := &x.lru.nodes[slot]
	current := float64(n.confidence) * x.decay(now.Sub(n.recorded)) * math.Exp(n.negLogSurvival-b.negLogSurvival)
	n.tokens = int32(tokens)
	n.confidence = float32(max(current, confidence))
	n.recorded = now
	n.negLogSurvival = b.negLogSurvival
}

func (x *Index) remove(k key) {
	slot, ok := x.slots[k]
	if !ok {
		return
	}
	x.unindex(x.lru.nodes[slot].backend, k)
	x.lru.release(slot)
}

func (x *Index) unindex(owner *backend, k key) {
	delete(x.slots, k)
	owner.entries--
}

func prefixTokens(block int) int { return (block + 1) * engine.PrefixBlockTokens }
