// Package gateway is the stateless process in front of the backend servers of the users' platform. It follows the
// route table and the server list, answers readiness checks and passes requests to package forward.
package gateway

import (
	"context"
	"crypto/rand"
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
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/kernel"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/retrybudget"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/streamversions"
	"github.com/hibiscusspur/hibiscusspur/upstream"
	"github.com/hibiscusspur/hibiscusspur/vmfiles"
	"github.com/hibiscusspur/hibiscusspur/vmlink"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// ServiceName is the name under which the gateway is registered in a kernel.
const ServiceName = "gateway"

// Store reads the configuration and the server list. Its calls return promptly when their context ends.
type Store interface {
	// Servers returns the list of backend servers and the position at which it was read.
	Servers(ctx context.Context) (registry.Snapshot, store.Position, error)
	// Manifest returns the route table in force.
	Manifest(ctx context.Context) (route.StoredTable, error)
	// DecodeManifest decodes a route table that another gateway read.
	DecodeManifest(encoded []byte) (*route.Table, error)
	// NextManifest waits for a route table newer than a position of the store; the result holds no table if none
	// appeared. If the store was restored, the result is the table that it holds now.
	NextManifest(ctx context.Context, after store.Position, wait time.Duration) (route.StoredTable, error)
	// ConfirmManifest reports whether the route table whose row was written at this position is still in force.
	ConfirmManifest(ctx context.Context, row store.Position) (bool, error)
}

// Settings configure a gateway.
type Settings struct {
	// VM is the name of this VM, Zone its availability zone.
	VM, Zone string
	// Listen addresses, each "ip:port": ClientAddr for clients, ReadyAddr for readiness checks, ControlAddr for other
	// gateways, MetricsAddr for metrics.
	ClientAddr, ReadyAddr, ControlAddr, MetricsAddr string
	// Datagrams is the UDP port on which gateways report changes of placement to each other.
	Datagrams int
	// Seeds are addresses of other gateways; they may be stale.
	Seeds []string
	// Drain bounds a graceful shutdown. Notice is how long new connections are still accepted after readiness has
	// ended, until the load balancer has noticed.
	Drain, Notice time.Duration
	Retry         retrybudget.Limits
	// Freshness bounds how long requests with keys are served under a configuration that is not proved to be the
	// newest.
	Freshness freshness.Bounds
	// MemoryBytes is the memory of the VM that this process may use; zero stands for what the machine has.
	MemoryBytes int64
	// MaxFiles is the number of file descriptors that this process may have; zero stands for what the system allows.
	MaxFiles int
	// Off is the set of disabled mechanisms.
	Off mechanism.Set
}

// Intervals and bounds.
const (
	// serverListInterval is the interval between two readings of the server list. A leaving server must get no new
	// work 2 s after the store has accepted its notice.
	serverListInterval = 700 * time.Millisecond
	// manifestWait is how long the store may wait for a change; a connection that became unresponsive is noticed
	// after it.
	manifestWait = 2 * time.Second
	// manifestIdleWait is the same for gateways that are not store readers.
	manifestIdleWait = 15 * time.Second
	// storeReaders is the number of gateways that read the server list from the store; the others receive it from
	// them. There are two, so that one of them may be cut off.
	storeReaders = 2
	// storeReaderTimeout is the age of the latest known reading from which a gateway reads the list itself.
	storeReaderTimeout = 1500 * time.Millisecond
	// storeRetryDelay is the delay after a failed call, so that retries do not overload a failing store.
	storeRetryDelay = 300 * time.Millisecond
	// maxStoreRetryDelay bounds the delay where it grows exponentially, by maxRetryDoublings doublings at most: a
	// gateway counts as connected three seconds after the store accepts it again.
	maxStoreRetryDelay = 1500 * time.Millisecond
	maxRetryDoublings  = 3
	// callerCheckInterval is the interval between two checks for disconnected callers.
	callerCheckInterval = 20 * time.Millisecond
	// DefaultNotice covers two checks by the load balancer, which checks each second and acts on the second failure,
	// and half a second of margin.
	DefaultNotice = 2500 * time.Millisecond
	// closeMargin is the part of a drain's time that is left for lookups in progress.
	closeMargin = time.Second
	// drainCheckInterval is the interval at which a drain checks for streams in progress.
	drainCheckInterval = 20 * time.Millisecond
	// writeBuffer is the number of bytes that may wait for one client: those of all connections that a small VM may have fit its
	// memory.
	writeBuffer = 32 << 10
	// sweepInterval is the interval between two sweeps for idle connections.
	sweepInterval = time.Second
)

// Service is the gateway; it is a kernel.Service.
type Service struct {
	settings Settings
	log      *log.Logger
	batch    *event.Batch
	metrics  *metrics.Set
	store    Store
	view     *view
	fwd      *forward.Forwarder
	watcher  *httpserver.Watcher
	pool     *upstream.Pool
	link     *vmlink.Link
	memory   *vmmemory.Memory
	peers    *peer.Service
	orders   Orders
	lease    *fencing.Lease
	// peerLoads is the load that other gateways report.
	peerLoads *peerLoads
	// customerMu guards customerNames, which are those of the table that was last used to decode customers' memory. It
	// is held while that is handed on, so that newer figures are not replaced by older ones.
	customerMu    sync.Mutex
	customerNames *customerNames
	// customersChanged is signalled when the other gateways report other figures of customers' memory.
	customersChanged chan struct{}
	// proofs tracks how recently the configuration in force was proved to be the newest.
	proofs *proofs
	// quotas enforce customers' quotas across all gateways.
	quotas *quotas
	// streams knows the software versions of streams that clients may resume.
	streams *streamversions.Directory
	// streamsEra is the era of the store in which streams were last kept.
	streamsEra atomic.Int64
	// servers reads the list of servers.
	servers *serverReader
	// connections limits the callers' new connections.
	connections *connectionLimit
	// guard quarantines requests that crash servers; holds is the table that persists the quarantine.
	guard *holdback.Guard
	holds holdback.Table

	listeners []*httpserver.Server
	callers   *httpserver.Server
	draining  atomic.Bool
	// storeLost is set while the last reading of the route table failed.
	storeLost atomic.Bool
	ready     atomic.Bool
	stop      context.CancelFunc
	work      sync.WaitGroup
}

// Deps are the dependencies of a gateway.
type Deps struct {
	Store   Store
	Codec   forward.Codec
	Engines forward.Engines
	// Orders sends orders to engines; Lease is the right to send them.
	Orders Orders
	Lease  *fencing.Lease
	// Holds persists which requests are quarantined.
	Holds holdback.Table
	// Versions persists which software versions of each service were seen; see streamversions.History.
	Versions store.Table
	// Streams persists at which software versions streams were begun; see streamversions.StreamRows.
	Streams store.Table
	// Clock continues while the VM is suspended; nil stands for that of package clock.
	Clock func() time.Duration
	Pool  *upstream.Pool
	// Link is the network link of this VM; nil is not accounted for.
	Link    *vmlink.Link
	Log     *log.Logger
	Batch   *event.Batch
	Metrics *metrics.Set
}

// New returns a gateway.
func New(settings Settings, d Deps) *Service {
	s := &Service{
		settings: settings, log: d.Log, batch: d.Batch, metrics: d.Metrics, store: d.Store, pool: d.Pool, link: d.Link,
		orders: d.Orders, lease: d.Lease,
		view: newView(), watcher: httpserver.NewWatcher(), proofs: newProofs(settings.Freshness, d.Clock),
		customersChanged: make(chan struct{}, 1),
	}
	s.memory = vmmemory.New(settings.MemoryBytes, httpserver.DefaultReadTimeout)
	s.view.proofs = s.proofs
	s.quotas = newQuotas(d.Log, d.Metrics, settings.Off, time.Now())
	s.peers = peer.New(settings.ControlAddr, settings.Datagrams, settings.Seeds, s)
	s.peers.SetLink(d.Link)
	s.peers.SetLimits(link.Limits{Conns: vmfiles.For(settings.MaxFiles).Processes, Memory: s.memory.Messages()})
	s.metrics.GaugeFunc(metrics.NetworkBytesSent, d.Link.BytesSent)
	s.metrics.GaugeFunc(metrics.NetworkBytesReceived, d.Link.BytesReceived)
	s.metrics.GaugeFunc(metrics.NetworkWait, func() int64 { return d.Link.Wait().Microseconds() })
	s.metrics.GaugeFunc(metrics.UpstreamDials, d.Pool.Dialed)
	s.metrics.Gauge(metrics.MechanismsOff).Update(int64(settings.Off.Len()))
	s.metrics.GaugeFunc(metrics.LinkBytesSent, s.peers.Sent)
	s.metrics.GaugeFunc(metrics.LinkBytesReceived, s.peers.Received)
	s.metrics.GaugeFunc(metrics.ConfigProofAge, s.proofAge)
	s.metrics.GaugeFunc(metrics.StoreEra, func() int64 { return s.view.listVersion().Era() })
	s.metrics.GaugeFunc(metrics.QuotaReservedPeers, s.quotas.unresponsiveGateways)
	s.peerLoads = newPeerLoads(s.view.incarnationID)
	s.view.onReplaced, s.view.onRemoved = s.incarnationsReplaced, s.missingRemoved
	s.connections = newConnectionLimit(d.Log, d.Metrics, d.Link)
	s.guard, s.holds = holdback.New(d.Log, d.Metrics, settings.Off.Has(mechanism.Quarantine)), d.Holds
	s.servers = newServerReader(s)
	s.streams = streamversions.New(streamversions.Config{
		Network: streamNetwork{s}, Lists: s.servers, History: streamversions.NewHistory(d.Versions),
		Rows: streamversions.NewStreamRows(d.Streams, settings.VM+"/"+rand.Text()), Metrics: d.Metrics, Clock: s.proofs.now,
	})
	s.fwd = forward.New(forward.Config{
		Codec: d.Codec, Engines: d.Engines, View: s.view, Pool: d.Pool, Watcher: s.watcher, Guard: s.guard, Quota: s.quotas, Streams: s.streams, Memory: s.memory.Answers(),
		Log: d.Log, Metrics: d.Metrics, VM: settings.VM, Zone: settings.Zone, Retry: settings.Retry, Off: settings.Off,
	})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Start implements kernel.Service. It does not wait for the store.
func (s *Service) Start(_ context.Context, _ *kernel.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.work.Go(func() { s.watcher.Run(ctx, callerCheckInterval) })
	s.work.Go(func() { s.followManifest(ctx) })
	s.work.Go(func() { s.followServers(ctx) })
	s.work.Go(func() { s.refreshQuotas(ctx) })
	s.work.Go(func() { s.proveManifest(ctx) })
	s.work.Go(func() { s.requestPeerProofs(ctx) })
	s.work.Go(func() { s.sweep(ctx) })
	s.work.Go(func() { s.followCustomerMemory(ctx) })
	s.work.Go(func() { s.exchangeReports(ctx) })
	s.work.Go(func() { s.planStages(ctx) })
	s.startQuarantine(ctx)
	s.memory.Report(ctx, s.log, s.metrics)
	if !s.settings.Off.Has(mechanism.Shedding) {
		s.work.Go(func() { s.connections.probe(ctx) })
	}
	s.work.Go(func() { s.keepVersions(ctx) })
	s.work.Go(func() { s.keepStreams(ctx) })
	if !s.settings.Off.Has(mechanism.Datagrams) {
		s.work.Go(func() { s.announceChanges(ctx) })
		s.work.Go(func() { s.announceStreams(ctx) })
	}
	return s.listen()
}

func (s *Service) listen() error {
	var err error
	o := httpserver.Options{Name: "callers", Addr: s.settings.ClientAddr, Handler: s.fwd, CheckHead: s.fwd.CheckHead, Rejection: s.countRejection, Limits: s.callerLimits, RetryAfter: s.fwd.RetryAfter, MaxOpen: vmfiles.For(s.settings.MaxFiles).Callers}
	if !s.settings.Off.Has(mechanism.Shedding) {
		o.Accept, o.ClosesConnections = s.connections.accept, s.connections.isRejecting
	}
	s.callers, err = s.serve(o)
	if err != nil {
		return err
	}
	s.connections.setLateBodies(s.callers.LateBodies)
	s.metrics.GaugeFunc(metrics.ConnectionsReplaced, s.callers.Replaced)
	s.metrics.GaugeFunc(metrics.ConnectionsOverrun, s.callers.Overrun)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.metrics)
	mux.HandleFunc("GET "+AccessPath, s.handleAccess)
	mux.HandleFunc("GET "+ServersPath, s.handleServers)
	if err := s.serveOther("metrics", s.settings.MetricsAddr, mux); err != nil {
		return err
	}
	// Last, so that nobody is told that it is ready before all else listens.
	return s.serveOther("ready", s.settings.ReadyAddr, http.HandlerFunc(s.handleReady))
}

func (s *Service) serve(o httpserver.Options) (*httpserver.Server, error) {
	o.Pollers, o.Link, o.Memory, o.MaxWriteBuffer = 1, s.link, s.memory, writeBuffer
	return httpserver.Start(o)
}

// callerLimits returns the limits of the configuration in force.
func (s *Service) callerLimits() httpserver.Limits {
	table := s.view.Table()
	if table == nil {
		return httpserver.Limits{}
	}
	l := table.Limits
	return httpserver.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// countRejection counts a request that the HTTP server rejects by itself. CheckHead has counted those that it rejects.
func (s *Service) countRejection(status int) (http.Header, []byte) {
	if status != http.StatusUnauthorized {
		s.metrics.Refused(httpserver.ReasonOf(status))
	}
	return nil, nil
}

// serveOther starts a server for others than callers.
func (s *Service) serveOther(name, addr string, h http.Handler) error {
	server, err := s.serve(httpserver.Options{Name: name, Addr: addr, Handler: h, MaxBody: httpserver.NoBody, MaxOpen: vmfiles.For(s.settings.MaxFiles).Operators})
	if err == nil {
		s.listeners = append(s.listeners, server)
	}
	return err
}

// handleReady reports to the load balancer whether to send new connections. A gateway whose processor leaves no request to be
// answered in time is not ready, though this handler still answers.
func (s *Service) handleReady(w http.ResponseWriter, _ *http.Request) {
	ready := s.view.synced() && !s.draining.Load() && !s.connections.isUnresponsive()
	if s.ready.Swap(ready) != ready {
		event.ReadyChanged.Log(s.log).Bool("ready", ready).Bool("draining", s.draining.Load()).Msg("")
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// sweep closes idle connections, drops the state of removed servers, expires old placement reports and logs the
// number of dropped log lines.
func (s *Service) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	var traffic linkTraffic
	use := networkUse{s: s, at: time.Now()}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		traffic = s.recordTraffic(traffic)
		use.record(time.Now())
		live := s.peers.LiveGateways()
		s.view.others.Store(int64(live - 1))
		s.view.routers.Store(int64(max(live, len(s.settings.Seeds))))
		s.fwd.SetPeerLoads(s.peerLoads.refresh(s.peers.ExchangeInterval(), time.Now()))
		s.fwd.RecordPaces()
		s.updateCustomerMemory()
		addrs, ids := s.view.knownServers()
		s.pool.Sweep(func(addr string) bool { return addrs[addr] })
		s.guard.Expire()
		s.observeVersions()
		s.streams.Expire(s.view.confirmedAge(time.Now()) < maxConfirmAge)
		s.fwd.Forget(func(id string) bool { return ids[id] })
		if n := s.batch.TakeDropped(); n > 0 {
			event.LinesDropped.Log(s.log).Int64("lines", n).Msg("")
		}
	}
}

// Drain implements kernel.Service. Readiness ends at once. Requests that can be answered in time are accepted until
// the load balancer has noticed and all streams have ended: when all gateways restart at once, there is no other
// gateway to send them to. Then the requests in progress are finished.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(s.settings.Drain)
	}
	s.fwd.Drain(time.Now().Add(s.settings.Notice), end)
	s.peers.Leave()
	drainCtx, cancel := context.WithDeadline(ctx, end.Add(-closeMargin))
	defer cancel()
	sleep.For(drainCtx, s.settings.Notice)
	for s.fwd.ActiveStreams() > 0 && drainCtx.Err() == nil {
		sleep.For(drainCtx, drainCheckInterval)
	}
	err := s.callers.Shutdown(ctx)
	if err != nil {
		event.DrainIncomplete.Emit(s.log)
	}
	for _, server := range s.listeners {
		server.Close()
	}
	s.stop()
	s.work.Wait()
	s.batch.Flush()
	return err
}
