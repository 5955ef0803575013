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
	fromHere  = "here"
	fromStore = "store"
)

// Guard is what one process knows of requests under which servers ended. It is safe for concurrent use.
type Guard struct {
	log *log.Logger
	met *metrics.Set
	// off is set when nothing is to be held back.
	off bool
	// news is sent to when Recent has something new to tell, unkept when a hold is to be kept or dropped.
	news, unkept chan struct{}

	mu     sync.Mutex
	ledger *quarantine.Ledger
	// sightings, releases and holds are what began here a moment ago, to be told.
	sightings []sighting
	releases  map[fingerprint.Digest]time.Time
	holds     map[fingerprint.Digest]time.Time
	// deciding is set while a timer will look for decisions.
	deciding bool
	// kept are the holds in the store, and those that are to be removed from there.
	kept map[fingerprint.Digest]keptHold
	drop map[fingerprint.Digest]time.Time
}

type sighting struct {
	quarantine.Observation
	at time.Time
}

// New returns a Guard; with off it holds nothing back.
func New(l *log.Logger, m *metrics.Set, off bool) *Guard {
	g := &Guard{
		log: l, met: m, off: off, news: make(chan struct{}, 1), unkept: make(chan struct{}, 1), ledger: quarantine.New(),
		releases: map[fingerprint.Digest]time.Time{}, holds: map[fingerprint.Digest]time.Time{},
		kept: map[fingerprint.Digest]keptHold{}, drop: map[fingerprint.Digest]time.Time{},
	}
	m.GaugeFunc(metrics.RequestsHeld, g.count)
	return g
}

func (g *Guard) count() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.ledger.Holds(time.Now())))
}

// Active reports whether any request is suspect or held.
func (g *Guard) Active() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Active()
}

// Held reports for how long a request is held still.
func (g *Guard) Held(d fingerprint.Digest) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Quarantined(d, time.Now())
}

// ServerTerminated takes the requests of this process that were in progress at a server that ended.
func (g *Guard) ServerTerminated(server string, broken []quarantine.BrokenAttempt) {
	if g.off {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range broken {
		s := quarantine.Observation{Content: b.Content, Server: server, Generated: b.Generated}
		if g.ledger.Observe(s, now) {
			g.sightings = append(g.sightings, sighting{s, now})
		}
	}
	wake(g.news)
	g.decide()
}

// RequestSucceeded notes that a server answered a request of this process with success.
func (g *Guard) RequestSucceeded(d fingerprint.Digest) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	_, held := g.ledger.Quarantined(d, now)
	if !g.ledger.Clear(d, now) {
		return
	}
	g.releases[d] = now
	wake(g.news)
	if held {
		g.released(d, fromHere)
		g.drop[d] = now
		wake(g.unkept)
	}
}

// Expire forgets what is too old.
func (g *Guard) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.ledger.Expire(now)
	g.forgetTold(now, toldFor)
	maps.DeleteFunc(g.drop, func(_ fingerprint.Digest, at time.Time) bool { return now.Sub(at) >= quarantine.ObservationTTL })
}

// toldFor is how long what began here is kept to be told, whatever the pace of reports.
const toldFor = time.Minute

// decide begins the holds that are due. The caller holds mu.
func (g *Guard) decide() {
	begun, again := g.ledger.Decide(time.Now())
	for _, h := range begun {
		g.met.Counter(metrics.Holds).Inc(1)
		g.holds[h.Content] = h.StartedAt()
		delete(g.drop, h.Content)
		g.noteHeld(h, fromHere)
	}
	if len(begun) > 0 {
		wake(g.news)
	}
	if again.IsZero() || g.deciding {
		return
	}
	g.deciding = true
	time.AfterFunc(time.Until(again), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.deciding = false
		g.decide()
	})
}

// noteHeld logs a hold that has become known here. The caller holds mu.
func (g *Guard) noteHeld(h quarantine.Hold, from string) {
	event.RequestHeld.Log(g.log).Str("content", h.Content.String()).Strs("servers", g.ledger.TerminatedServers(h.Content)).
		Dur("left", time.Until(h.Until)).Dur("for", h.Duration).Str("from", from).Msg("")
	wake(g.unkept)
}

func (g *Guard) released(d fingerprint.Digest, from string) {
	event.RequestReleased.Log(g.log).Str("content", d.String()).Str("from", from).Msg("")
}

// sawEnd reports whether a request of this process was in progress at one of the ends. The caller holds mu.
func (g *Guard) sawEnd(d fingerprint.Digest) bool {
	return slices.ContainsFunc(g.sightings, func(s sighting) bool { return s.Content == d })
}

// wake sends to a channel with room for one unless it is full.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
