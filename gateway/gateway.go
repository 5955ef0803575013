// Package gateway is the stateless process that stands before the backend servers of
// the users' platform. It learns routes and servers, answers whether it is ready, and
// hands requests to package forward.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fencing"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/kernel"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// ServiceName is the name of the gateway in a kernel.
const ServiceName = "gateway"

// Store is where configuration and servers are read. Its calls return promptly when
// their context ends.
type Store interface {
	// Servers returns the list of backend servers and its version.
	Servers(ctx context.Context) (registry.Snapshot, int64, error)
	// Manifest reads the route table in force.
	Manifest(ctx context.Context) (route.StoredTable, error)
	// DecodeManifest decodes a route table that another gateway read.
	DecodeManifest(encoded []byte) (*route.Table, error)
	// NextManifest waits for a table newer than a version of the store; the reading has none if none came.
	NextManifest(ctx context.Context, version int64, wait time.Duration) (route.StoredTable, error)
	// ConfirmManifest reports whether the table that was read in this row is still in force.
	ConfirmManifest(ctx context.Context, row int64) (bool, error)
}

// Settings configure a gateway.
type Settings struct {
	// VM is the name of this VM and Zone its availability zone.
	VM, Zone string
	// Callers is where clients connect, Ready where readiness is asked, Control where
	// other gateways connect, Metrics where metrics are served; each "ip:port".
	Callers, Ready, Control, Metrics string
	// Datagrams is the UDP port on which gateways tell each other of placement.
	Datagrams int
	// Seeds are addresses of other gateways; they may be stale.
	Seeds []string
	// Drain bounds a graceful shutdown. Notice is how long connections are taken in it
	// after readiness has ended, until the balancer has noticed.
	Drain, Notice time.Duration
	Retry         retrybudget.Limits
	// Keys bounds for how long requests with keys are served under a configuration that is not proved to be
	// the newest.
	Keys freshness.Bounds
	// Off are the mechanisms that are switched off.
	Off mechanism.Set
}

// Intervals and bounds.
const (
	// serversInterval is the pause between two readings of the list of servers. A leaving
	// server must get no new work 2 s after the store took its notice.
	serversInterval = 700 * time.Millisecond
	// manifestWait is how long the store may wait for a change; a connection that went
	// silent is noticed after it.
	manifestWait = 2 * time.Second
	// manifestIdleWait is the same for gateways that are not among the readers.
	manifestIdleWait = 15 * time.Second
	// readers is the number of gateways that read the list of servers; the others hear
	// from them. Two, so that one that is cut off is not missed.
	readers = 2
	// readersSilent is the age of the newest known reading from which a gateway reads
	// the list itself.
	readersSilent = 1500 * time.Millisecond
	// storeRetry is the pause after a failed call, so that a store in trouble is not pressed.
	storeRetry = 300 * time.Millisecond
	// maxStoreRetry bounds it where it grows, with maxRetryDoublings: a gateway that the store has let in again
	// counts as in touch after three seconds.
	maxStoreRetry     = 1500 * time.Millisecond
	maxRetryDoublings = 3
	// callerCheck is the interval at which departed callers are looked for.
	callerCheck = 20 * time.Millisecond
	// DefaultNotice is two questions of the balancer, which asks each second and acts on
	// the second miss, and half a second to spare.
	DefaultNotice = 2500 * time.Millisecond
	// closeMargin is kept from the time of a drain for lookups in progress.
	closeMargin = time.Second
	// drainCheck is the interval at which a drain looks for streams in progress.
	drainCheck = 20 * time.Millisecond
	// sweepInterval is the pause between two looks for idle connections.
	sweepInterval = time.Second
)

// Service is the gateway; it is a kernel.Service.
type Service struct {
	set    Settings
	log    *log.Logger
	batch  *event.Batch
	met    *metrics.Set
	store  Store
	view   *view
	fwd    *forward.Forwarder
	watch  *httpserver.Watcher
	pool   *upstream.Pool
	peers  *peer.Service
	orders Orders
	lease  *fencing.Lease
	// placed is what other gateways told of their placement.
	placed *placed
	// proofs is how old the configuration in force is proved to be.
	proofs *proofs
	// quotas hold customers to what they may use of all gateways together.
	quotas *quotas
	// guard holds requests back under which servers end; holds is where that is kept.
	guard *holdback.Guard
	holds holdback.Table

	servers  []*httpserver.Server
	callers  *httpserver.Server
	draining atomic.Bool
	// storeLost is set while the last reading of the route table failed.
	storeLost atomic.Bool
	ready     atomic.Bool
	stop      context.CancelFunc
	work      sync.WaitGroup
}

// Deps are the parts that a gateway is built from.
type Deps struct {
	Store   Store
	Codec   forward.Codec
	Engines forward.Engines
	// Orders gives orders to engines; Lease is the right to.
	Orders Orders
	Lease  *fencing.Lease
	// Holds keeps which requests are held back.
	Holds holdback.Table
	// Clock goes on while the VM is suspended; nil stands for that of package clock.
	Clock   func() time.Duration
	Pool    *upstream.Pool
	Log     *log.Logger
	Batch   *event.Batch
	Metrics *metrics.Set
}

// New returns a gateway.
func New(set Settings, d Deps) *Service {
	s := &Service{
		set: set, log: d.Log, batch: d.Batch, met: d.Metrics, store: d.Store, pool: d.Pool,
		orders: d.Orders, lease: d.Lease,
		view: newView(), watch: httpserver.NewWatcher(), proofs: newProofs(set.Keys, d.Clock),
	}
	s.view.proofs = s.proofs
	s.quotas = newQuotas(d.Log, time.Now())
	s.peers = peer.New(set.Control, set.Datagrams, set.Seeds, s)
	s.met.GaugeFunc(metrics.UpstreamDials, d.Pool.Dialed)
	s.met.Gauge(metrics.MechanismsOff).Update(int64(set.Off.Len()))
	s.met.GaugeFunc(metrics.LinkBytesSent, s.peers.Sent)
	s.met.GaugeFunc(metrics.LinkBytesReceived, s.peers.Received)
	s.met.GaugeFunc(metrics.ConfigProofAge, s.proofAge)
	s.met.GaugeFunc(metrics.QuotaReservedPeers, s.quotas.silentNow)
	s.placed = newPlaced(s.view.idOf)
	s.view.onEnded = s.startsEnded
	s.guard, s.holds = holdback.New(d.Log, d.Metrics, set.Off.Has(mechanism.Quarantine)), d.Holds
	s.fwd = forward.New(forward.Config{
		Codec: d.Codec, Engines: d.Engines, View: s.view, Pool: d.Pool, Watcher: s.watch, Guard: s.guard, Quota: s.quotas,
		Log: d.Log, Metrics: d.Metrics, VM: set.VM, Zone: set.Zone, Retry: set.Retry, Off: set.Off,
	})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Start implements kernel.Service. It does not wait for the store.
func (s *Service) Start(_ context.Context, _ *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.work.Go(func() { s.watch.Run(ctx, callerCheck) })
	s.work.Go(func() { s.followManifest(ctx) })
	s.work.Go(func() { s.followServers(ctx) })
	s.work.Go(func() { s.followQuotas(ctx) })
	s.work.Go(func() { s.proveManifest(ctx) })
	s.work.Go(func() { s.askProofs(ctx) })
	s.work.Go(func() { s.sweep(ctx) })
	s.work.Go(func() { s.meet(ctx) })
	s.work.Go(func() { s.planStages(ctx) })
	s.holdBack(ctx)
	if !s.set.Off.Has(mechanism.Datagrams) {
		s.work.Go(func() { s.tellPlacement(ctx) })
	}
	return s.listen()
}

func (s *Service) listen() error {
	var err error
	s.callers, err = s.serve("callers", s.set.Callers, s.fwd, s.fwd.CheckHead)
	if err != nil {
		return err
	}
	if _, err = s.serve("ready", s.set.Ready, http.HandlerFunc(s.answerReady), nil); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.met)
	mux.HandleFunc("GET "+AccessPath, s.answerAccess)
	_, err = s.serve("metrics", s.set.Metrics, mux, nil)
	return err
}

func (s *Service) serve(name, addr string, h http.Handler, head func(*http.Request) int) (*httpserver.Server, error) {
	server, err := httpserver.Start(httpserver.Options{Name: name, Addr: addr, Handler: h, CheckHead: head, Pollers: 1})
	if err == nil && name != "callers" {
		s.servers = append(s.servers, server)
	}
	return server, err
}

// answerReady tells the balancer whether new connections are welcome.
func (s *Service) answerReady(w http.ResponseWriter, _ *http.Request) {
	ready := s.view.informed() && !s.draining.Load()
	if s.ready.Swap(ready) != ready {
		event.ReadyChanged.Log(s.log).Bool("ready", ready).Bool("draining", s.draining.Load()).Msg("")
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// sweep closes idle connections, forgets servers and placements that are gone, and reports
// dropped log lines.
func (s *Service) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	var traffic linkTraffic
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		traffic = s.tellTraffic(traffic)
		live := s.peers.LiveGateways()
		s.view.others.Store(int64(live - 1))
		s.view.routers.Store(int64(max(live, len(s.set.Seeds))))
		s.fwd.SetPeerLoads(s.placed.refresh(s.peers.ExchangeInterval(), time.Now()))
		addrs, ids := s.view.known()
		s.pool.Sweep(func(addr string) bool { return addrs[addr] })
		s.guard.Expire()
		s.fwd.Forget(func(id string) bool { return ids[id] })
		if n := s.batch.TakeDropped(); n > 0 {
			event.LinesDropped.Log(s.log).Int64("lines", n).Msg("")
		}
	}
}

// Drain implements kernel.Service: readiness ends at once. Requests that can be answered
// in time are taken until the balancer has noticed and all streams have ended: when all
// gateways are restarted at once, there is no other to turn to. Then what is in progress
// is finished.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(s.set.Drain)
	}
	s.fwd.Drain(time.Now().Add(s.set.Notice), end)
	s.peers.Leave()
	ending, cancel := context.WithDeadline(ctx, end.Add(-closeMargin))
	defer cancel()
	pause(ending, s.set.Notice)
	for s.fwd.ActiveStreams() > 0 && ending.Err() == nil {
		pause(ending, drainCheck)
	}
	err := s.callers.Shutdown(ctx)
	if err != nil {
		event.DrainIncomplete.Emit(s.log)
	}
	for _, server := range s.servers {
		server.Close()
	}
	s.stop()
	s.work.Wait()
	s.batch.Flush()
	return err
}
