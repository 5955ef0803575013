package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/streamversions"
)

const (
	// maxStreamsPerDatagram bounds the streams in one datagram: some 12 bytes each.
	maxStreamsPerDatagram = 400
	// maxStreamQueries bounds the queries that one datagram may contain.
	maxStreamQueries = 64
	// maxVersionBytes bounds the version of a server, as the store bounds its names.
	maxVersionBytes = 200
)

// streamNetwork is the streamversions.Network of a gateway.
type streamNetwork struct{ s *Service }

// Others implements streamversions.Network.
func (n streamNetwork) Others() []string {
	if n.s.settings.Datagrams == 0 || n.s.settings.Off.Has(mechanism.Datagrams) {
		return nil
	}
	return n.s.peers.Reachable()
}

// Keepers implements streamversions.Network: the gateways that read the store for all write for all, too.
func (n streamNetwork) Keepers() []string {
	others := n.Others()
	if len(others) == 0 || n.s.isStoreReader() {
		return nil
	}
	slices.Sort(others)
	return others[:min(len(others), storeReaders)]
}

// Ask implements streamversions.Network.
func (n streamNetwork) Ask(to []string, q streamversions.Query) {
	n.s.peers.Send(to, &peer.Placement{StreamQueries: []*peer.StreamQuery{{Stream: uint64(q.Stream), Service: q.Service, Query: q.Number}}})
}

// announceStreams tells other gateways the versions of streams that clients may resume, until ctx ends.
func (s *Service) announceStreams(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.streams.Updates():
		}
		sleep.For(ctx, datagramBatchInterval)
		byGateway := map[string][]streamversions.Update{}
		others := streamNetwork{s}.Others()
		told, kept := s.streams.TakeUpdates()
		for _, u := range told {
			for _, addr := range streamversion.Told(u.Stream, others) {
				byGateway[addr] = append(byGateway[addr], u)
			}
		}
		for _, addr := range (streamNetwork{s}).Keepers() {
			byGateway[addr] = append(byGateway[addr], kept...)
		}
		for addr, updates := range byGateway {
			s.sendStreams(addr, updates)
		}
	}
}

// sendStreams sends the versions of streams to one gateway, in several datagrams if they are too many for one.
func (s *Service) sendStreams(to string, updates []streamversions.Update) {
	now := time.Now()
	for len(updates) > 0 {
		n := min(len(updates), maxStreamsPerDatagram)
		s.peers.Send([]string{to}, &peer.Placement{StreamVersions: encodeStreams(updates[:n], now)})
		updates = updates[n:]
	}
}

// receiveStreams handles what a datagram says of streams, and reports whether it is about streams: those contain nothing
// else.
func (s *Service) receiveStreams(p *peer.Placement) bool {
	if p.GetStreamVersions() == nil && len(p.GetStreamQueries())+len(p.GetUnknownStreams()) == 0 {
		return false
	}
	s.streams.Receive(decodeStreams(p.GetStreamVersions(), time.Now()))
	for _, u := range p.GetUnknownStreams() {
		s.streams.ReceiveUnknown(p.GetAddr(), streamversions.Unknown{
			Stream: streamversion.Key(u.GetStream()), Query: u.GetQuery(),
			Possible: streamversion.Possible{Versions: validVersions(u.GetSeen()), Complete: u.GetComplete(), Current: u.GetCurrent()},
		})
	}
	if queries := p.GetStreamQueries(); len(queries) > 0 && p.GetAddr() != "" {
		s.peers.Send([]string{p.GetAddr()}, s.answerQueries(queries[:min(len(queries), maxStreamQueries)]))
	}
	return true
}

// answerQueries says of each stream at which version it was begun, or that it is not known here.
func (s *Service) answerQueries(queries []*peer.StreamQuery) *peer.Placement {
	answer := &peer.Placement{}
	var known []streamversions.Update
	for _, q := range queries {
		u, unknown, ok := s.streams.Answer(streamversions.Query{
			Stream: streamversion.Key(q.GetStream()), Service: q.GetService(), Number: q.GetQuery(),
		})
		if ok {
			known = append(known, u)
			continue
		}
		answer.UnknownStreams = append(answer.UnknownStreams, &peer.UnknownStream{
			Stream: uint64(unknown.Stream), Seen: unknown.Versions, Complete: unknown.Complete, Current: unknown.Current,
			Query: unknown.Query,
		})
	}
	answer.StreamVersions = encodeStreams(known, time.Now())
	return answer
}

// encodeStreams returns nil if there is nothing to report.
func encodeStreams(updates []streamversions.Update, now time.Time) *peer.StreamVersions {
	if len(updates) == 0 {
		return nil
	}
	out := &peer.StreamVersions{}
	index := map[string]uint32{}
	for _, u := range updates {
		i, ok := index[u.Version]
		if !ok {
			i = uint32(len(out.Versions))
			index[u.Version] = i
			out.Versions = append(out.Versions, u.Version)
		}
		out.Streams, out.Version = append(out.Streams, uint64(u.Stream)), append(out.Version, i)
		out.LeftMs = append(out.LeftMs, uint32(min(max(u.Until.Sub(now), 0), streamversions.MaxStreamLeft).Milliseconds()))
	}
	return out
}

// decodeStreams drops what no gateway sends, which a faulty process may report.
func decodeStreams(m *peer.StreamVersions, now time.Time) []streamversions.Update {
	n := min(len(m.GetStreams()), len(m.GetVersion()), len(m.GetLeftMs()), maxStreamsPerDatagram)
	out := make([]streamversions.Update, 0, n)
	for i := range n {
		version := int(m.GetVersion()[i])
		if version >= len(m.GetVersions()) || !validVersion(m.GetVersions()[version]) {
			continue
		}
		left := min(time.Duration(m.GetLeftMs()[i])*time.Millisecond, streamversions.MaxStreamLeft)
		out = append(out, streamversions.Update{
			Stream: streamversion.Key(m.GetStreams()[i]),
			Record: streamversion.Record{Version: m.GetVersions()[version], Until: now.Add(left)},
		})
	}
	return out
}

func validVersion(v string) bool { return v != "" && len(v) <= maxVersionBytes }

func validVersions(versions []string) []string {
	var out []string
	for _, v := range versions {
		if validVersion(v) {
			out = append(out, v)
		}
	}
	return out
}

// keepVersions keeps in the store which versions of each service were seen, until ctx ends.
func (s *Service) keepVersions(ctx context.Context) {
	s.streams.KeepHistory(ctx, s.versionCalls(ctx, "versions kept"))
}

// keepStreams keeps in the store at which versions streams were begun, until ctx ends.
func (s *Service) keepStreams(ctx context.Context) {
	s.streams.KeepStreams(ctx, s.versionCalls(ctx, "streams kept"))
}

func (s *Service) versionCalls(ctx context.Context, what string) streamversions.StoreCalls {
	dep := &dependency{s: s, what: what}
	return streamversions.StoreCalls{
		Writes: s.isStoreReader, Report: dep.record,
		BackOff: func(failures int) { sleep.For(ctx, s.nextStoreRetry(failures)) },
	}
}

// observeVersions has the directory of streams take the list of servers in force, of services whose streams may be resumed.
func (s *Service) observeVersions() {
	table := s.view.Table()
	if table == nil {
		return
	}
	services := table.ResumableServices()
	if len(services) == 0 {
		return
	}
	s.streams.Observe(s.view.serversOf(services))
	if era := s.view.listVersion().Era(); s.streamsEra.Swap(era) != era {
		s.streams.StoreRestored()
	}
}
