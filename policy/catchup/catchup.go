// Package catchup decides when a process that is behind fetches state from another process, and
// from which.
//
// Load pattern: a large table changes. All processes read it from the store, those with small links
// some hundred milliseconds after the others, and all tell each other their versions meanwhile. Who
// reads it himself must not be handed it as well, least of all by everybody: at twenty processes with
// links of 10 Mbit/s, tables handed to those that were thought to be behind filled the links for
// minutes. Other processes can't reach the store and have nobody else to learn from.
//
// So the one that is behind fetches, from one source at a time, and only once its own reading
// has had its chance or has failed. In a replay of 20 processes that read it up to 400 ms after they heard of
// it, none fetches; of 20 that the store shuts out, each fetches once.
//
// A Planner is deterministic, takes time and chance from its caller, and is not safe for
// concurrent use.
package catchup

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Config are the times of a Planner.
type Config struct {
	// Grace is how long a process that reaches the store is behind before it fetches.
	Grace time.Duration
	// Cooldown is how long a source that failed is left alone.
	Cooldown time.Duration
	// OfferTTL is how long an offer counts.
	OfferTTL time.Duration
}

// Planner is what one process knows of the versions of others.
type Planner struct {
	config  Config
	sources map[string]source
	// own is the version at the last decision, and behind since when a newer one is known.
	own    int64
	behind time.Time
}

type source struct {
	version int64
	at      time.Time
	// rests is until when the source is left alone.
	rests time.Time
}

// New returns a planner that knows of nobody.
func New(c Config) *Planner { return &Planner{config: c, sources: map[string]source{}} }

// Offer notes that a source has a version.
func (p *Planner) Offer(id string, version int64, now time.Time) {
	s := p.sources[id]
	s.version, s.at = version, now
	p.sources[id] = s
}

// Failed notes that a fetch from a source failed.
func (p *Planner) Failed(id string, now time.Time) {
	if s, ok := p.sources[id]; ok {
		s.rests = now.Add(p.config.Cooldown)
		p.sources[id] = s
	}
}

// Next returns the source to fetch from, for a process that has version own and may have lost the
// store. If there is none yet, it returns "" and when to ask again, at the latest; draw returns a number
// below n.
func (p *Planner) Next(own int64, storeLost bool, now time.Time, draw func(n int) int) (id string, wait time.Duration) {
	maps.DeleteFunc(p.sources, func(_ string, s source) bool { return now.Sub(s.at) >= p.config.OfferTTL })
	newest := p.newest()
	if newest <= own {
		p.own, p.behind = own, time.Time{}
		return "", p.config.OfferTTL
	}
	// A process that gets on by itself is not late.
	if p.behind.IsZero() || own != p.own {
		p.own, p.behind = own, now
	}
	if late := now.Sub(p.behind); !storeLost && late < p.config.Grace {
		return "", p.config.Grace - late
	}
	free, wait := p.free(newest, now)
	if len(free) > 0 {
		return free[draw(len(free))], 0
	}
	return "", wait
}

// newest is the newest version that is offered.
func (p *Planner) newest() int64 {
	newest := int64(-1)
	for _, s := range p.sources {
		newest = max(newest, s.version)
	}
	return newest
}

// free are the sources of a version that are not left alone, in order, and the time until the next one is
// free if there are none.
func (p *Planner) free(version int64, now time.Time) (ids []string, wait time.Duration) {
	wait = p.config.Cooldown
	for id, s := range p.sources {
		switch {
		case s.version < version:
		case now.Before(s.rests):
			wait = min(wait, s.rests.Sub(now))
		default:
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, cmp.Compare[string])
	return ids, wait
}
