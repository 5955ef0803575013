// Package holdback quarantines requests that crash backend servers (poison requests). It runs policy/quarantine with
// real time, the reports of other gateways, and the platform's store, which persists each hold until it ends: a gateway
// that starts, or that receives no reports, gets the holds from there.
//
// A request costs only a lookup in memory. While neither other gateways nor the store can be reached, a gateway decides
// on the terminations that it has observed itself.
package holdback

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
)

// Sources of holds in the log, besides the names of gateways.
const (
	sourceLocal = "here"
	sourceStore = "store"
)

// Guard holds one process's state of suspected and quarantined requests. It is safe for concurrent use.
type Guard struct {
	log *log.Logger
	met *metrics.Set
	// off disables quarantine.
	off bool
	// updates signals that Recent has something new, persistDue that a hold is to be written or removed.
	updates, persistDue chan struct{}

	mu     sync.Mutex
	ledger *quarantine.Ledger
	// observations, releases and localHolds are the recent ones that originate here, to be reported.
	observations []timedObservation
	releases     map[fingerprint.Digest]time.Time
	partReleases map[string]time.Time
	localHolds   map[fingerprint.Digest]time.Time
	// decisionScheduled is set while a timer is running to call decide.
	decisionScheduled bool
	// stored holds the local state of the rows in the store, removals the rows to be removed from there.
	stored   map[fingerprint.Digest]storeState
	removals map[fingerprint.Digest]time.Time
}

type timedObservation struct {
	quarantine.Observation
	at time.Time
}

// New returns a Guard; with off it quarantines nothing.
func New(l *log.Logger, m *metrics.Set, off bool) *Guard {
	g := &Guard{
		log: l, met: m, off: off, updates: make(chan struct{}, 1), persistDue: make(chan struct{}, 1), ledger: quarantine.New(),
		releases: map[fingerprint.Digest]time.Time{}, partReleases: map[string]time.Time{}, localHolds: map[fingerprint.Digest]time.Time{},
		stored: map[fingerprint.Digest]storeState{}, removals: map[fingerprint.Digest]time.Time{},
	}
	m.GaugeFunc(metrics.RequestsQuarantined, g.numHolds)
	return g
}

func (g *Guard) numHolds() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.ledger.Holds(time.Now())))
}

// Active reports whether any request is suspected or quarantined.
func (g *Guard) Active() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Active()
}

// Quarantined reports whether a request with these parts in its prompt is quarantined, and for how much longer.
func (g *Guard) Quarantined(d fingerprint.Digest, parts []string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Quarantined(d, parts, time.Now())
}

// ServerTerminated takes the requests of this process that were in progress at a terminated server.
func (g *Guard) ServerTerminated(server string, broken []quarantine.BrokenAttempt) {
	if g.off {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range broken {
		o := quarantine.Observation{Content: b.Content, Server: server, Generated: b.Generated, Parts: b.Parts}
		if g.ledger.Observe(o, now) {
			g.observations = append(g.observations, timedObservation{o, now})
		}
	}
	notify.Send(g.updates)
	g.decide()
}

// RequestSucceeded records that a server answered a request of this process successfully.
func (g *Guard) RequestSucceeded(d fingerprint.Digest) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	_, held := g.ledger.Quarantined(d, nil, now)
	if !g.ledger.Clear(d, now) {
		return
	}
	g.releases[d] = now
	notify.Send(g.updates)
	if held {
		g.logRelease(d, sourceLocal)
		g.removals[d] = now
		notify.Send(g.persistDue)
	}
}

// RunBegan records that a server began to generate for a request of this process whose prompt has these parts.
func (g *Guard) RunBegan(parts []string) {
	if g.off || len(parts) == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	cleared, changes := g.ledger.RunBegan(parts, now)
	for _, p := range cleared {
		g.partReleases[p] = now
	}
	if len(cleared) > 0 {
		notify.Send(g.updates)
	}
	for _, h := range changes.Ended {
		g.removals[h.Content] = now
	}
	g.applyHoldChanges(changes, sourceLocal)
	if g.ledger.PartsUndecided() {
		g.decide()
	}
}

// applyHoldChanges logs holds that ended or were narrowed because a run began to generate. The caller holds mu.
func (g *Guard) applyHoldChanges(c quarantine.HoldChanges, from string) {
	for _, h := range c.Ended {
		g.logRelease(h.Content, from)
		notify.Send(g.persistDue)
	}
	for _, h := range c.Started {
		g.logHold(h, from)
	}
}

// Expire removes outdated state.
func (g *Guard) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.ledger.Expire(now)
	g.expireUpdates(now, updateTTL)
	maps.DeleteFunc(g.removals, func(_ fingerprint.Digest, at time.Time) bool { return now.Sub(at) >= quarantine.ObservationTTL })
}

// updateTTL is how long updates that originate here are kept for reports, whatever the interval of reports.
const updateTTL = time.Minute

// decide starts the holds that are due. The caller holds mu.
func (g *Guard) decide() {
	started, next := g.ledger.Decide(time.Now())
	for _, h := range started {
		g.met.Counter(metrics.Holds).Inc(1)
		g.localHolds[h.Content] = h.StartedAt()
		delete(g.removals, h.Content)
		g.logHold(h, sourceLocal)
	}
	if len(started) > 0 {
		notify.Send(g.updates)
	}
	if next.IsZero() || g.decisionScheduled {
		return
	}
	g.decisionScheduled = true
	time.AfterFunc(time.Until(next), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.decisionScheduled = false
		g.decide()
	})
}

// logHold logs a new hold and signals that it may have to be persisted. The caller holds mu.
func (g *Guard) logHold(h quarantine.Hold, from string) {
	event.RequestQuarantined.Log(g.log).Str("content", h.Content.String()).Strs("parts", h.Parts).Strs("servers", g.ledger.TerminatedServers(h)).
		Dur("left", time.Until(h.Until)).Dur("for", h.Duration).Str("from", from).Msg("")
	notify.Send(g.persistDue)
}

func (g *Guard) logRelease(d fingerprint.Digest, from string) {
	event.RequestReleased.Log(g.log).Str("content", d.String()).Str("from", from).Msg("")
}

// observedLocally reports whether a recent termination affected a request of this process that the hold matches. The
// caller holds mu.
func (g *Guard) observedLocally(h quarantine.Hold) bool {
	return slices.ContainsFunc(g.observations, func(o timedObservation) bool { return h.Matches(o.Content, o.Parts) })
}
