package holdback

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
)

// Bounds of one message, which contains the newest updates: 60 observations of 55 bytes with the IDs of parts, and 50 holds of
// 30 bytes and as many releases, together 9 kB, so that it fits a datagram and reports to dozens of gateways pass a link of 10 Mbit/s.
// Updates left out are reported by the gateways where they originate, or are in the store.
const (
	maxObservationsPerReport = 60
	maxHoldsPerReport        = 50
	// maxPartBytesPerReport bounds the IDs of parts; further observations go without.
	maxPartBytesPerReport = 3 << 10
)

// Updates returns a channel that signals that Recent has something new.
func (g *Guard) Updates() <-chan struct{} { return g.updates }

// Recent returns the updates that originated here within some time.
func (g *Guard) Recent(within time.Duration) *peer.Suspects {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.encode(now, within, slices.DeleteFunc(g.ledger.Holds(now), func(h quarantine.Hold) bool {
		at, ok := g.localHolds[h.Content]
		return !ok || now.Sub(at) >= within
	}))
}

// EncodeRecent returns Recent in its wire format.
func (g *Guard) EncodeRecent(within time.Duration) ([]byte, error) {
	return proto.Marshal(g.Recent(within))
}

// ReceiveEncoded applies a report in its wire format.
func (g *Guard) ReceiveEncoded(data []byte, from string) error {
	var in peer.Suspects
	if err := proto.Unmarshal(data, &in); err != nil {
		return err
	}
	g.Receive(&in, from)
	return nil
}

// Report returns the periodic report to every gateway: the updates that originated here within some time, and all holds.
func (g *Guard) Report(within time.Duration) *peer.Suspects {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ledger.Active() && len(g.releases)+len(g.partReleases) == 0 {
		return nil
	}
	return g.encode(now, within, g.ledger.Holds(now))
}

// expireUpdates removes the updates that are older than within. The caller holds mu.
func (g *Guard) expireUpdates(now time.Time, within time.Duration) {
	g.observations = slices.DeleteFunc(g.observations, func(o timedObservation) bool { return now.Sub(o.at) >= within })
	expired := func(_ fingerprint.Digest, at time.Time) bool { return now.Sub(at) >= within }
	maps.DeleteFunc(g.releases, expired)
	maps.DeleteFunc(g.localHolds, expired)
	maps.DeleteFunc(g.partReleases, func(_ string, at time.Time) bool { return now.Sub(at) >= within })
}

// encode encodes holds, and the observations and releases that originated here within some time. The caller holds mu.
func (g *Guard) encode(now time.Time, within time.Duration, holds []quarantine.Hold) *peer.Suspects {
	out := &peer.Suspects{}
	partBytes := 0
	for _, o := range slices.Backward(g.observations) {
		if now.Sub(o.at) >= within || len(out.Sightings) == maxObservationsPerReport {
			break
		}
		s := &peer.Sighting{Content: o.Content[:], Server: o.Server, Generated: uint32(o.Generated), AgeMs: ageMillis(o.at, now)}
		for _, p := range o.Parts {
			partBytes += len(p)
		}
		if partBytes <= maxPartBytesPerReport {
			s.Parts = o.Parts
		}
		out.Sightings = append(out.Sightings, s)
	}
	g.encodeShares(out)
	for _, h := range holds[:min(len(holds), maxHoldsPerReport)] {
		left := h.Until.Sub(now)
		out.Holds = append(out.Holds, &peer.Hold{
			Content: h.Content[:], LeftMs: uint64(left.Milliseconds()), ForMs: uint64(h.Duration.Milliseconds()), Parts: h.Parts,
		})
	}
	for d, at := range g.releases {
		if now.Sub(at) < within && len(out.Releases) < maxHoldsPerReport {
			out.Releases = append(out.Releases, &peer.Release{Content: d[:], AgeMs: ageMillis(at, now)})
		}
	}
	for part, at := range g.partReleases {
		if now.Sub(at) < within && len(out.PartReleases) < maxHoldsPerReport {
			out.PartReleases = append(out.PartReleases, &peer.PartRelease{Part: part, AgeMs: ageMillis(at, now)})
		}
	}
	return out
}

// encodeShares adds how often the parts of the sightings are in runs that began to generate here. The caller holds mu.
func (g *Guard) encodeShares(out *peer.Suspects) {
	var parts []string
	for _, s := range out.Sightings {
		parts = append(parts, s.Parts...)
	}
	if len(parts) == 0 {
		return
	}
	shares := g.ledger.Shares(parts)
	out.BegunRuns = uint32(shares.Runs)
	for part, n := range shares.Parts {
		out.PartCounts = append(out.PartCounts, &peer.PartCount{Part: part, Runs: uint32(n)})
	}
}

// receiveShares applies how often parts are in runs that began to generate at another gateway. The caller holds mu.
func (g *Guard) receiveShares(in *peer.Suspects, from string, now time.Time) {
	if in.GetBegunRuns() == 0 {
		return
	}
	shares := quarantine.Shares{Runs: int(in.GetBegunRuns()), Parts: map[string]int{}}
	for _, c := range in.GetPartCounts() {
		shares.Parts[c.GetPart()] = int(c.GetRuns())
	}
	g.ledger.ObserveShares(from, shares, now)
}

func ageMillis(at, now time.Time) uint32 { return uint32(now.Sub(at).Milliseconds()) }

// Receive applies a report of another gateway.
func (g *Guard) Receive(in *peer.Suspects, from string) {
	if in == nil || g.off {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range in.GetReleases() {
		if d, ok := parseDigest(r.GetContent()); ok {
			g.applyRelease(d, now.Add(-boundedMillis(uint64(r.GetAgeMs()))), from)
		}
	}
	for _, h := range in.GetHolds() {
		if d, ok := parseDigest(h.GetContent()); ok {
			g.applyHold(quarantine.Hold{
				Content: d, Parts: h.GetParts(), Until: now.Add(boundedMillis(h.GetLeftMs())), Duration: boundedMillis(h.GetForMs()),
			}, from)
		}
	}
	for _, r := range in.GetPartReleases() {
		g.applyHoldChanges(g.ledger.ClearPart(r.GetPart(), now.Add(-boundedMillis(uint64(r.GetAgeMs())))), from)
	}
	g.receiveShares(in, from, now)
	changed := false
	for _, o := range in.GetSightings() {
		if d, ok := parseDigest(o.GetContent()); ok {
			observed := quarantine.Observation{Content: d, Server: o.GetServer(), Generated: int(o.GetGenerated())}
			if validParts(o.GetParts()) {
				observed.Parts = o.GetParts()
			}
			changed = g.ledger.Observe(observed, now.Add(-boundedMillis(uint64(o.GetAgeMs())))) || changed
		}
	}
	// Reports repeat earlier ones, and a decision among 8,000 suspected requests takes a tenth of a millisecond.
	if changed {
		g.decide()
	}
}

// applyHold applies a hold that was decided elsewhere, unless its times are invalid. The caller holds mu.
func (g *Guard) applyHold(h quarantine.Hold, from string) {
	if h.Duration <= 0 || h.Duration > quarantine.MaxHold || h.StartedAt().After(time.Now()) {
		return
	}
	if len(h.Parts) > 0 && (h.Content != fingerprint.OfParts(h.Parts) || !validParts(h.Parts)) {
		return
	}
	if g.ledger.AddHold(h) && h.Until.After(time.Now()) {
		g.logHold(h, from)
	}
}

// applyRelease applies a release from elsewhere, and reports whether it changed anything. The caller holds mu.
func (g *Guard) applyRelease(d fingerprint.Digest, at time.Time, from string) bool {
	_, held := g.ledger.Quarantined(d, nil, time.Now())
	changed := g.ledger.Clear(d, at)
	if _, still := g.ledger.Quarantined(d, nil, time.Now()); held && !still {
		g.logRelease(d, from)
	}
	return changed
}

// validParts reports whether parts of a prompt from the wire are within the bounds.
func validParts(ids []string) bool {
	return len(ids) <= fingerprint.MaxParts && !slices.ContainsFunc(ids, func(id string) bool { return id == "" || len(id) > fingerprint.MaxPartID })
}

// parseDigest returns the digest in b; ok is false if b is not of the length of one.
func parseDigest(b []byte) (d fingerprint.Digest, ok bool) {
	return d, copy(d[:], b) == len(b) && len(b) == len(d)
}

// boundedMillis converts a duration from the wire, bounded by MaxHold, the longest that a gateway reports.
func boundedMillis(n uint64) time.Duration {
	return time.Duration(min(n, uint64(quarantine.MaxHold.Milliseconds()))) * time.Millisecond
}
