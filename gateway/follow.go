package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// fromStore is the source of updates that this process read from the store itself.
const fromStore = "store"

// fromGrace is the source of a change of the servers in use that no list brought: the grace after an outage is over.
const fromGrace = "grace"

// dependency logs each time that something the process depends on is lost or regained. It belongs to one goroutine.
type dependency struct {
	s    *Service
	what string
	lost bool
}

func (d *dependency) record(err error) {
	if err != nil {
		d.s.metrics.Counter(metrics.StoreErrors).Inc(1)
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
	position, known, refused, failures := store.Position(0), false, "", 0
	for ctx.Err() == nil {
		requested := s.proofs.now()
		r, err := s.readManifest(ctx, position, known)
		if ctx.Err() != nil {
			return
		}
		switch {
		case errors.Is(err, store.ErrNotFound):
			err = nil
			sleep.For(ctx, storeRetryDelay)
		case errors.Is(err, store.ErrMalformed):
			if err.Error() != refused {
				refused = err.Error()
				event.TableRefused.Log(s.log).Str("from", fromStore).Err(err).Msg("")
			}
			known, err = false, nil
			sleep.For(ctx, serverListInterval)
		case err != nil:
			known = false
			failures++
			sleep.For(ctx, s.nextStoreRetry(failures))
		default:
			position, known = r.Position, true
			s.installStored(r, requested)
		}
		if err == nil {
			failures = 0
		}
		s.storeLost.Store(err != nil)
		dep.record(err)
	}
}

// nextStoreRetry returns the delay after a number of failed store calls in a row, with jitter.
func (s *Service) nextStoreRetry(failures int) time.Duration {
	return jitter(retryDelay(s.isStoreReader() || !s.view.synced(), failures))
}

// retryDelay returns the delay after a number of failed store calls in a row. Store readers, and gateways that have
// no state yet, retry soon (urgent). The others receive updates from them and back off exponentially, so that a
// recovering store does not get calls from all of them at once, three a second from each.
func retryDelay(urgent bool, failures int) time.Duration {
	if urgent {
		return storeRetryDelay
	}
	return min(storeRetryDelay<<min(max(failures-1, 0), maxRetryDoublings), maxStoreRetryDelay)
}

// readManifest reads the whole table if none was read or the history was lost, and otherwise waits for a change after
// a position of the store.
func (s *Service) readManifest(ctx context.Context, position store.Position, known bool) (route.StoredTable, error) {
	if !known {
		return s.store.Manifest(ctx)
	}
	wait := manifestWait
	if !s.isStoreReader() {
		wait = manifestIdleWait
	}
	return s.store.NextManifest(ctx, position, wait)
}

// isStoreReader reports whether this process is one of the few that read the store for all gateways.
func (s *Service) isStoreReader() bool { return s.peers.Rank() < storeReaders }

// shouldReadServers reports whether this process is to read the server list from the store: store readers always do,
// other gateways when no reading has been reported for a while, and when the list that they were told lacks versions.
func (s *Service) shouldReadServers() bool {
	if s.isStoreReader() || s.view.lacksVersions() {
		return true
	}
	now := time.Now()
	return !s.view.synced() || min(s.view.listReadAge(now), s.peerLoads.listReadAge(s.view.listVersion(), now)) >= storeReaderTimeout
}

// installStored takes the store's answer to a call that was made at the time requested.
func (s *Service) installStored(stored route.StoredTable, requested time.Duration) {
	if stored.Table == nil {
		return
	}
	s.installTable(stored.Table, stored.Encoded, fromStore)
	s.proofs.recordRead(stored.Table.Version, stored.RowPosition, requested)
}

// installTable puts a table in force unless a newer one is, and announces it to the other gateways.
func (s *Service) installTable(t *route.Table, encoded []byte, from string) {
	if t == nil || !s.view.applyTable(t, encoded) {
		return
	}
	s.proofs.recordVersion(t.Version)
	s.quotas.configure(t.Tenants)
	s.observeVersions()
	s.announceUpdate(from)
	s.metrics.Gauge(metrics.ConfigRevision).Update(t.Version)
	event.TableApplied.Log(s.log).Int64("version", t.Version).Int("routes", len(t.Routes)).Str("from", from).Msg("")
}

// followServers keeps the server list up to date.
func (s *Service) followServers(ctx context.Context) {
	dep := &dependency{s: s, what: "servers"}
	failures := 0
	for ctx.Err() == nil {
		if !s.shouldReadServers() {
			sleep.For(ctx, jitter(serverListInterval))
			continue
		}
		err := s.servers.read(ctx)
		if ctx.Err() != nil {
			return
		}
		dep.record(err)
		if err != nil {
			failures++
			sleep.For(ctx, s.nextStoreRetry(failures))
			continue
		}
		failures = 0
		sleep.For(ctx, jitter(serverListInterval))
	}
}

// serversChanged announces a change of the server list to the other gateways.
func (s *Service) serversChanged(version store.Position, from string) {
	s.announceUpdate(from)
	s.observeVersions()
	s.logServers(version, from)
}

// missingRemoved logs that servers were removed which the list has lacked since an outage.
func (s *Service) missingRemoved() { s.logServers(s.view.listVersion(), fromGrace) }

func (s *Service) logServers(version store.Position, from string) {
	list, _ := s.view.list()
	event.ServersChanged.Log(s.log).Int64("version", version.Version()).Int64("era", version.Era()).Int("servers", len(list)).Strs("leaving", leavingIDs(list)).Str("from", from).Msg("")
}

// maxLoggedLeaving bounds the leaving servers in a line of the log.
const maxLoggedLeaving = 20

// leavingIDs returns the IDs of the servers of a list that leave, of some of them if they are many.
func leavingIDs(list []registry.Server) []string {
	var ids []string
	for _, s := range list {
		if s.Leaving && len(ids) < maxLoggedLeaving {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// announceUpdate has other gateways informed of an update that was read from the store or received from a gateway:
// all of them if a store reader read it, a few otherwise.
func (s *Service) announceUpdate(from string) {
	if from == fromStore && s.isStoreReader() {
		s.peers.Announce()
		return
	}
	s.peers.Spread()
}

// jitter varies d randomly by up to a tenth in either direction.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}
