// Package holdback holds requests back under which servers end. It joins the decision of policy/quarantine to clocks, to
// what other gateways tell, and to the platform's store, where a hold is kept until it ends: a gateway that starts,
// or that hears no other one, has it from there.
//
// Nothing of it is on the path of a request but a look into memory. While neither gateways nor store can be reached,
// a gateway decides by the ends that it has seen itself.
package holdback

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
)

// Sources of holds in the log, beside the names of gateways.
const (
	sourceLocal = "here"
	sourceStore = "store"
)

// Guard is what one process knows of requests under which servers ended. It is safe for concurrent use.
type Guard struct {
	log *log.Logger
	met *metrics.Set
	// off is set when nothing is to be held back.
	off bool
	// updates is sent to when Recent has something new to tell, persistDue when a hold is to be kept or dropped.
	updates, persistDue chan struct{}

	mu     sync.Mutex
	ledger *quarantine.Ledger
	// observations, releases and holds are what began here a moment ago, to be told.
	observations []observation
	releases     map[fingerprint.Digest]time.Time
	localHolds   map[fingerprint.Digest]time.Time
	// decisionScheduled is set while a timer will look for decisions.
	decisionScheduled bool
	// stored are the holds in the store, and those that are to be removed from there.
	stored   map[fingerprint.Digest]storeState
	removals map[fingerprint.Digest]time.Time
}

type observation struct {
	quarantine.Sighting
	at time.Time
}

// New returns a Guard; with off it holds nothing back.
func New(l *log.Logger, m *metrics.Set, off bool) *Guard {
	g := &Guard{
		log: l, met: m, off: off, updates: make(chan struct{}, 1), persistDue: make(chan struct{}, 1), ledger: quarantine.New(),
		releases: map[fingerprint.Digest]time.Time{}, localHolds: map[fingerprint.Digest]time.Time{},
		stored: map[fingerprint.Digest]storeState{}, removals: map[fingerprint.Digest]time.Time{},
	}
	m.GaugeFunc(metrics.RequestsHeld, g.numHolds)
	return g
}

func (g *Guard) numHolds() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.ledger.Holds(time.Now())))
}

// Active reports whether any request is suspect or held.
func (g *Guard) Active() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Watches()
}

// Quarantined reports for how long a request is held still.
func (g *Guard) Quarantined(d fingerprint.Digest) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Held(d, time.Now())
}

// ServerTerminated takes the requests of this process that were in progress at a server that ended.
func (g *Guard) ServerTerminated(server string, broken []quarantine.Broken) {
	if g.off {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range broken {
		s := quarantine.Sighting{Content: b.Content, Server: server, Generated: b.Generated}
		if g.ledger.Sight(s, now) {
			g.observations = append(g.observations, observation{s, now})
		}
	}
	notify(g.updates)
	g.decide()
}

// RequestSucceeded notes that a server answered a request of this process with success.
func (g *Guard) RequestSucceeded(d fingerprint.Digest) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	_, held := g.ledger.Held(d, now)
	if !g.ledger.Clear(d, now) {
		return
	}
	g.releases[d] = now
	notify(g.updates)
	if held {
		g.logRelease(d, sourceLocal)
		g.removals[d] = now
		notify(g.persistDue)
	}
}

// Expire forgets what is too old.
func (g *Guard) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.ledger.Expire(now)
	g.expireUpdates(now, updateTTL)
	maps.DeleteFunc(g.removals, func(_ fingerprint.Digest, at time.Time) bool { return now.Sub(at) >= quarantine.SightingLife })
}

// updateTTL is how long what began here is kept to be told, whatever the pace of reports.
const updateTTL = time.Minute

// decide begins the holds that are due. The caller holds mu.
func (g *Guard) decide() {
	begun, again := g.ledger.Decide(time.Now())
	for _, h := range begun {
		g.met.Counter(metrics.Holds).Inc(1)
		g.localHolds[h.Content] = h.Begun()
		delete(g.removals, h.Content)
		g.logHold(h, sourceLocal)
	}
	if len(begun) > 0 {
		notify(g.updates)
	}
	if again.IsZero() || g.decisionScheduled {
		return
	}
	g.decisionScheduled = true
	time.AfterFunc(time.Until(again), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.decisionScheduled = false
		g.decide()
	})
}

// logHold logs a hold that has become known here. The caller holds mu.
func (g *Guard) logHold(h quarantine.Hold, from string) {
	event.RequestHeld.Log(g.log).Str("content", h.Content.String()).Strs("servers", g.ledger.Ends(h.Content)).
		Dur("left", time.Until(h.Until)).Dur("for", h.For).Str("from", from).Msg("")
	notify(g.persistDue)
}

func (g *Guard) logRelease(d fingerprint.Digest, from string) {
	event.RequestReleased.Log(g.log).Str("content", d.String()).Str("from", from).Msg("")
}

// observedLocally reports whether a request of this process was in progress at one of the ends. The caller holds mu.
func (g *Guard) observedLocally(d fingerprint.Digest) bool {
	return slices.ContainsFunc(g.observations, func(s observation) bool { return s.Content == d })
}

// notify sends to a channel with room for one unless it is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
