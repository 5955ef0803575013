// Package prefixcache estimates which backend server holds which prompt
// prefix. It learns from cache events, which come late and with gaps, from the
// caller's own placements, and from the cached tokens that engines report with
// their results. Everything it answers is a hint with a confidence.
//
// An Index is not safe for concurrent use; the caller locks it. Time is passed
// in and nothing is random, so equal calls give equal answers.
package prefixcache

import (
	"math"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// Config bounds an Index and sets how fast it forgets.
type Config struct {
	// Entries is the most (backend, prefix) pairs kept. The one that was used
	// least recently gives way.
	Entries int
	// HalfLife is the time in which the confidence of an entry halves.
	HalfLife time.Duration
	// PlacedConfidence is the confidence of a placement that no event and no
	// result has confirmed yet, in (0, 1].
	PlacedConfidence float64
	// EvictedShare is the part of missing events taken to be evictions, in [0, 1].
	EvictedShare float64
	// MissPenalty is added to the negative logarithm of the confidence of all
	// entries of a backend when a result shows one of them to be wrong.
	MissPenalty float64
}

// DefaultConfig is for an entry that places some tens of requests a second.
func DefaultConfig() Config {
	return Config{
		Entries:          1 << 16,
		HalfLife:         time.Minute,
		PlacedConfidence: 0.7,
		EvictedShare:     0.5,
		MissPenalty:      0.1,
	}
}

// minConfidence is the confidence under which an entry is no hint any more.
const minConfidence = 0.02

// Hit is the longest prefix that a backend server is thought to hold.
type Hit struct {
	// Tokens is the estimated length of the prefix; zero means none.
	Tokens int
	// Confidence is the estimated probability that it is still held, in [0, 1].
	Confidence float64
}

// Expected returns the expected number of cached tokens.
func (h Hit) Expected() float64 { return float64(h.Tokens) * h.Confidence }

// Index is the approximate index.
type Index struct {
	cfg      Config
	backends map[string]*backend
	lastID   uint32
	slots    map[key]int32
	lru      list
}

// key names one prefix at one backend server. Ids of backends are never used
// twice, so entries of a forgotten backend match nothing and age out.
type key struct {
	hash    uint64
	backend uint32
}

// backend is what is known of one backend server as a whole.
type backend struct {
	id uint32
	// sequence is that of the latest event; seen tells whether there was one.
	sequence uint64
	seen     bool
	// held is the number of entries kept for this backend.
	held int
	// lost grows with every gap; the difference since an entry was recorded is
	// the negative logarithm of the probability that no gap hid its eviction.
	lost float64
}

// New returns an empty Index, whose memory grows with its entries.
func New(cfg Config) *Index {
	cfg.Entries = max(cfg.Entries, 1)
	return &Index{
		cfg:      cfg,
		backends: make(map[string]*backend),
		slots:    make(map[key]int32),
		lru:      newList(cfg.Entries),
	}
}

// Len returns the number of entries kept.
func (x *Index) Len() int { return len(x.slots) }

// RecordPlacement records that a prompt with these hashes was sent to a backend server,
// which will hold its prefixes once the prefill is done.
func (x *Index) RecordPlacement(id string, hashes []uint64, now time.Time) {
	b := x.backend(id)
	for i := len(hashes) - 1; i >= 0; i-- {
		x.put(b, hashes[i], tokensOf(i), x.cfg.PlacedConfidence, now)
	}
}

// RecordResult records that an engine has prefilled a prompt and found the first
// cached tokens of it in its cache. It holds the whole prompt now; when it found
// less than expected, its cache turns over faster than thought.
func (x *Index) RecordResult(id string, hashes []uint64, cached int, now time.Time) {
	b := x.backend(id)
	if x.Lookup(id, hashes, now).Tokens > cached+engine.PrefixBlockTokens {
		b.lost += x.cfg.MissPenalty
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		x.put(b, hashes[i], tokensOf(i), 1, now)
	}
}

// ApplyEvents records cache events of one backend server. Events at or before the
// latest sequence number are late repetitions and are left out; missing numbers
// lower the confidence of everything recorded earlier for that backend.
func (x *Index) ApplyEvents(id string, events []engine.CacheEvent, now time.Time) {
	b := x.backend(id)
	for _, e := range events {
		if b.seen && e.Sequence <= b.sequence {
			continue
		}
		if b.seen && e.Sequence > b.sequence+1 {
			x.noteGap(b, e.Sequence-b.sequence-1)
		}
		b.sequence, b.seen = e.Sequence, true
		x.applyOne(b, e, now)
	}
}

// Forget drops what is known of a backend server, as when its engine restarts.
func (x *Index) Forget(id string) { delete(x.backends, id) }

// Lookup returns the longest prefix thought to be held by a backend server. It
// takes a logarithmic number of steps and relies on a backend that holds a
// prefix holding the shorter ones as well.
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
	c := float64(n.confidence) * x.decay(now.Sub(n.at)) * math.Exp(n.lost-b.lost)
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

func (x *Index) applyOne(b *backend, e engine.CacheEvent, now time.Time) {
	if e.Evicted {
		x.drop(key{e.PrefixHash, b.id})
		return
	}
	x.put(b, e.PrefixHash, e.Tokens, 1, now)
}

// noteGap accounts for missing events: each that was an eviction hit any one of
// the entries held with the same probability.
func (x *Index) noteGap(b *backend, missing uint64) {
	if b.held == 0 {
		return
	}
	b.lost += x.cfg.EvictedShare * float64(missing) / float64(b.held)
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

// put records an entry. An unconfirmed placement does not lower the confidence
// of an entry that is better known.
func (x *Index) put(b *backend, hash uint64, tokens int, confidence float64, now time.Time) {
	k := key{hash, b.id}
	if slot, ok := x.slots[k]; ok {
		x.renew(b, slot, tokens, confidence, now)
		return
	}
	slot, full := x.lru.take()
	if full {
		x.disown(x.lru.nodes[slot].owner, x.lru.nodes[slot].key)
	}
	x.lru.nodes[slot].entry = entry{
		key: k, owner: b, tokens: int32(tokens), confidence: float32(confidence), at: now, lost: b.lost,
	}
	x.slots[k] = slot
	b.held++
}

func (x *Index) renew(b *backend, slot int32, tokens int, confidence float64, now time.Time) {
	x.lru.touch(slot)
	n := &x.lru.nodes[slot]
	current := float64(n.confidence) * x.decay(now.Sub(n.at)) * math.Exp(n.lost-b.lost)
	n.tokens = int32(tokens)
	n.confidence = float32(max(current, confidence))
	n.at = now
	n.lost = b.lost
}

func (x *Index) drop(k key) {
	slot, ok := x.slots[k]
	if !ok {
		return
	}
	x.disown(x.lru.nodes[slot].owner, k)
	x.lru.release(slot)
}

func (x *Index) disown(owner *backend, k key) {
	delete(x.slots, k)
	owner.held--
}

func tokensOf(block int) int { return (block + 1) * engine.PrefixBlockTokens }
