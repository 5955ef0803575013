package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// fromStore is where news come from that this process read itself.
const fromStore = "store"

// dependency logs each time that something the process depends on is lost or regained.
// It belongs to one goroutine.
type dependency struct {
	s    *Service
	what string
	lost bool
}

func (d *dependency) note(err error) {
	if err != nil {
		d.s.met.Counter(metrics.StoreErrors).Inc(1)
	}
	if lost := err != nil; lost != d.lost {
		d.lost = lost
		if lost {
			event.StoreLost.Log(d.s.log).Str("what", d.what).Err(err).Msg("")
			return
		}
		event.StoreRegained.Log(d.s.log).Str("what", d.what).Msg("")
	}
}

// followManifest keeps the route table up to date.
func (s *Service) followManifest(ctx context.Context) {
	dep := &dependency{s: s, what: "manifest"}
	version, known, refused, failures := int64(0), false, "", 0
	for ctx.Err() == nil {
		asked := s.proofs.now()
		r, err := s.readManifest(ctx, version, known)
		if ctx.Err() != nil {
			return
		}
		switch {
		case errors.Is(err, store.ErrNotFound):
			err = nil
			pause(ctx, storeRetry)
		case errors.Is(err, store.ErrMalformed):
			if err.Error() != refused {
				refused = err.Error()
				event.TableRefused.Log(s.log).Str("from", fromStore).Err(err).Msg("")
			}
			known, err = false, nil
			pause(ctx, serversInterval)
		case err != nil:
			known = false
			failures++
			pause(ctx, s.storePause(failures))
		default:
			version, known = r.Version, true
			s.takeReading(r, asked)
		}
		if err == nil {
			failures = 0
		}
		s.storeLost.Store(err != nil)
		dep.note(err)
	}
}

// storePause is the pause after calls of the store that failed in a row.
func (s *Service) storePause(failures int) time.Duration {
	return jitter(retryPause(s.readsForAll() || !s.view.informed(), failures))
}

// retryPause is the pause after calls of the store that failed in a row. Those that read for all, and those that know
// nothing yet, ask again soon. The others hear from them, and ask less and less: a store that comes back
// does not meet the calls of all at once, three a second of each.
func retryPause(first bool, failures int) time.Duration {
	if first {
		return storeRetry
	}
	return min(storeRetry<<min(max(failures-1, 0), maxRetryDoublings), maxStoreRetry)
}

// readManifest reads the whole table when none was read or the history was lost, and
// waits for a change otherwise.
func (s *Service) readManifest(ctx context.Context, version int64, known bool) (route.StoredTable, error) {
	if !known {
		return s.store.Manifest(ctx)
	}
	wait := manifestWait
	if !s.readsForAll() {
		wait = manifestIdleWait
	}
	return s.store.NextManifest(ctx, version, wait)
}

// readsForAll reports whether this process is one of the few that read the store for all.
func (s *Service) readsForAll() bool { return s.peers.Rank() < readers }

// reads reports whether this process is to read the list of servers from the store: the
// first few gateways do, and all others when nobody has told of a reading for a while.
func (s *Service) reads() bool {
	if s.readsForAll() {
		return true
	}
	now := time.Now()
	return !s.view.informed() || min(s.view.readAge(now), s.placed.readAge(now)) >= readersSilent
}

// takeReading takes what the store answered to a question that was sent at asked.
func (s *Service) takeReading(r route.StoredTable, asked time.Duration) {
	if r.Table == nil {
		return
	}
	s.takeTable(r.Table, r.Encoded, fromStore)
	s.proofs.read(r.Table.Version, r.RowVersion, asked)
}

// takeTable puts a table in force unless a newer one is, and has the other gateways told.
func (s *Service) takeTable(t *route.Table, encoded []byte, from string) {
	if t == nil || !s.view.applyTable(t, encoded) {
		return
	}
	s.proofs.inForce(t.Version)
	s.quotas.configure(t.Tenants)
	s.tellNews(from)
	s.met.Gauge(metrics.ConfigRevision).Update(t.Version)
	event.TableApplied.Log(s.log).Int64("version", t.Version).Int("routes", len(t.Routes)).Str("from", from).Msg("")
}

// followServers keeps the list of servers up to date.
func (s *Service) followServers(ctx context.Context) {
	dep := &dependency{s: s, what: "servers"}
	faults, failures := entryFaults{}, 0
	for ctx.Err() == nil {
		if !s.reads() {
			pause(ctx, jitter(serversInterval))
			continue
		}
		reading, version, err := s.store.Servers(ctx)
		if ctx.Err() != nil {
			return
		}
		dep.note(err)
		if err != nil {
			failures++
			pause(ctx, s.storePause(failures))
			continue
		}
		failures = 0
		reading = reading.RequireStartTimes(s.view.latestStart)
		faults.note(s, reading.Faults)
		s.view.noteRead(time.Now())
		if s.view.applyServers(version, reading.List(), time.Now()) {
			s.serversChanged(version, fromStore)
		}
		pause(ctx, jitter(serversInterval))
	}
}

// serversChanged has the other gateways told of a change of the list of servers.
func (s *Service) serversChanged(version int64, from string) {
	s.tellNews(from)
	list, _ := s.view.list()
	event.ServersChanged.Log(s.log).Int64("version", version).Int("servers", len(list)).Str("from", from).Msg("")
}

// tellNews has other gateways told of what was read from the store or heard from a gateway: all of them by
// one of the few that are meant to read for all, a few by any other.
func (s *Service) tellNews(from string) {
	if from == fromStore && s.readsForAll() {
		s.peers.Announce()
		return
	}
	s.peers.Spread()
}

// jitter spreads d by a tenth to both sides.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
