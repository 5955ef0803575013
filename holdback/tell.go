package holdback

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
)

// Bounds of what one message tells, the newest: 60 sightings of 55 bytes, 50 holds of 30 and as many releases, 6 kB, so
// that it fits a datagram, and reports to dozens of gateways come through a link of 10 Mbit/s. What is left out is told by
// the gateways that it began at, or is in the store.
const (
	toldSightings = 60
	toldHolds     = 50
)

// News is sent to when Recent has something new to tell.
func (g *Guard) News() <-chan struct{} { return g.news }

// Recent is what began here within some time.
func (g *Guard) Recent(within time.Duration) *peer.Suspects {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tell(now, within, slices.DeleteFunc(g.ledger.Holds(now), func(h quarantine.Hold) bool {
		at, ok := g.holds[h.Content]
		return !ok || now.Sub(at) >= within
	}))
}

// Report is what every gateway has to hear: what began here within some time, and all holds.
func (g *Guard) Report(within time.Duration) *peer.Suspects {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ledger.Active() && len(g.releases) == 0 {
		return nil
	}
	return g.tell(now, within, g.ledger.Holds(now))
}

// forgetTold drops what was told for long enough. The caller holds mu.
func (g *Guard) forgetTold(now time.Time, within time.Duration) {
	g.sightings = slices.DeleteFunc(g.sightings, func(s sighting) bool { return now.Sub(s.at) >= within })
	old := func(_ fingerprint.Digest, at time.Time) bool { return now.Sub(at) >= within }
	maps.DeleteFunc(g.releases, old)
	maps.DeleteFunc(g.holds, old)
}

// tell encodes what began here within some time, and holds. The caller holds mu.
func (g *Guard) tell(now time.Time, within time.Duration, holds []quarantine.Hold) *peer.Suspects {
	out := &peer.Suspects{}
	for _, s := range slices.Backward(g.sightings) {
		if now.Sub(s.at) >= within || len(out.Sightings) == toldSightings {
			break
		}
		out.Sightings = append(out.Sightings, &peer.Sighting{
			Content: s.Content[:], Server: s.Server, Generated: uint32(s.Generated), AgeMs: ageOf(s.at, now),
		})
	}
	for _, h := range holds[:min(len(holds), toldHolds)] {
		left := h.Until.Sub(now)
		out.Holds = append(out.Holds, &peer.Hold{
			Content: h.Content[:], LeftMs: uint64(left.Milliseconds()), ForMs: uint64(h.Duration.Milliseconds()),
		})
	}
	for d, at := range g.releases {
		if now.Sub(at) < within && len(out.Releases) < toldHolds {
			out.Releases = append(out.Releases, &peer.Release{Content: d[:], AgeMs: ageOf(at, now)})
		}
	}
	return out
}

func ageOf(at, now time.Time) uint32 { return uint32(now.Sub(at).Milliseconds()) }

// Take takes what another gateway told.
func (g *Guard) Take(in *peer.Suspects, from string) {
	if in == nil || g.off {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range in.GetReleases() {
		if d, ok := digestOf(r.GetContent()); ok {
			g.takeRelease(d, now.Add(-millis(uint64(r.GetAgeMs()))), from)
		}
	}
	for _, h := range in.GetHolds() {
		if d, ok := digestOf(h.GetContent()); ok {
			g.takeHold(quarantine.Hold{Content: d, Until: now.Add(millis(h.GetLeftMs())), Duration: millis(h.GetForMs())}, from)
		}
	}
	news := false
	for _, s := range in.GetSightings() {
		if d, ok := digestOf(s.GetContent()); ok {
			seen := quarantine.Observation{Content: d, Server: s.GetServer(), Generated: int(s.GetGenerated())}
			news = g.ledger.Observe(seen, now.Add(-millis(uint64(s.GetAgeMs())))) || news
		}
	}
	// Reports repeat what was told, and a look at 8,000 suspects takes a tenth of a millisecond.
	if news {
		g.decide()
	}
}

// takeHold takes a hold that was decided elsewhere, unless it is impossible. The caller holds mu.
func (g *Guard) takeHold(h quarantine.Hold, from string) {
	if h.Duration <= 0 || h.Duration > quarantine.MaxHold || h.StartedAt().After(time.Now()) {
		return
	}
	if g.ledger.AddHold(h) && h.Until.After(time.Now()) {
		g.noteHeld(h, from)
	}
}

// takeRelease takes a release from elsewhere, and reports whether it changed anything. The caller holds mu.
func (g *Guard) takeRelease(d fingerprint.Digest, at time.Time, from string) bool {
	_, held := g.ledger.Quarantined(d, time.Now())
	changed := g.ledger.Clear(d, at)
	if _, still := g.ledger.Quarantined(d, time.Now()); held && !still {
		g.released(d, from)
	}
	return changed
}

// digestOf is the digest that b holds; ok is false if it holds none.
func digestOf(b []byte) (d fingerprint.Digest, ok bool) {
	return d, copy(d[:], b) == len(b) && len(b) == len(d)
}

// millis is a time of the wire; more than MaxHold is none that a gateway tells.
func millis(n uint64) time.Duration {
	return time.Duration(min(n, uint64(quarantine.MaxHold.Milliseconds()))) * time.Millisecond
}
