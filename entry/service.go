package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/kernel"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/vmfiles"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// ServiceName is the name of the entry in a kernel.
const ServiceName = "entry"

// Service is the entry; it is a kernel.Service.
type Service struct {
	settings Settings
	log      *log.Logger
	metrics  *metrics.Set
	memory   *vmmemory.Memory
	state    *dissemination.State
	index    *dissemination.Index
	table    store.Table
	pool     *pool
	callers  *httpserver.Watcher
	vms      store.VMs
	guard    *keyGuard
	// quarantine holds back requests under which backend servers repeatedly terminated.
	quarantine *holdback.Guard
	poller     *poller
	placer     *placer
	retrier    *retrier
	limiter    *limiter

	http, admin *httpserver.Server
	draining    atomic.Bool
	// configured is true once the platform or a peer has provided the configuration.
	configured atomic.Bool
	stop       context.CancelFunc
	work       sync.WaitGroup
}

// New returns the service for checked settings.
func New(set Settings, l *log.Logger, m *metrics.Set) *Service {
	memory := vmmemory.New(set.Bounds.MemoryBytes, httpserver.DefaultReadTimeout)
	s := &Service{settings: set, memory: memory, log: l, metrics: m, state: dissemination.NewState(), callers: httpserver.NewWatcher()}
	s.quarantine = holdback.New(l, m, !set.Policy.Quarantine)
	s.index = dissemination.NewIndex(s.state, func(key string, rev uint64, err error) {
		event.RecordInvalid.Log(l).Str("key", key).Uint64("revision", rev).Err(err).Msg("")
	})
	return s
}

// Addr is the address where callers connect, once started.
func (s *Service) Addr() string { return s.http.Addr() }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Start implements kernel.Service. It does not wait for the platform: an entry that starts during an outage
// gets the configuration from the sidecars in its settings, or serves nothing until the platform answers.
func (s *Service) Start(_ context.Context, _ *kernel.Kernel) error {
	tlsConfig, err := s.settings.TLS.Config()
	if err != nil {
		return err
	}
	httpClient := store.NewClient(tlsConfig)
	s.table = store.NewHTTPTable(s.settings.Platform, httpClient, store.Timeout(s.settings.Timing.PlatformCall))
	s.poller = newPoller(dissemination.NewReader(s.table, s.state), s.settings.Timing)
	s.vms = store.NewHTTPVMs(s.settings.Platform, httpClient, store.Timeout(s.settings.Timing.PlatformCall))
	if s.placer, err = newPlacer(s.settings.Policy); err != nil {
		return err
	}
	s.retrier = newRetrier(s.settings.Retry.Attempts, s.metrics)
	s.pool = newPool(s.settings, s.log, tlsConfig, rand.Text(), s.state, s.index)
	s.metrics.GaugeFunc(metrics.LinkBytesSent, s.pool.meter.Sent)
	s.metrics.GaugeFunc(metrics.LinkBytesReceived, s.pool.meter.Received)
	s.metrics.GaugeFunc(metrics.ConfigRevision, func() int64 { return int64(s.state.Head()) })
	if s.limiter, err = newLimiter(s.settings.Policy); err != nil {
		return err
	}
	s.pool.limiter = s.limiter
	s.pool.onSuspects = s.receiveSuspects
	if s.guard, err = newKeyGuard(s.settings, s.pool, s.table); err != nil {
		return err
	}
	s.state.Watch(func(d dissemination.Delta) {
		event.RevisionApplied.Log(s.log).Uint64("revision", d.Head).Msg("")
		s.configured.Store(true)
		s.pool.refresh()
		s.pool.announceHead()
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.work.Go(func() { s.pollLoop(ctx) })
	s.work.Go(func() { s.callers.Run(ctx, s.settings.Timing.CallerCheck) })
	s.work.Go(func() { s.guard.table.Run(ctx) })
	s.work.Go(func() { s.claimSweepLoop(ctx) })
	s.work.Go(func() { s.vmListLoop(ctx) })
	s.work.Go(func() { s.confirmLoop(ctx) })
	s.startQuarantine(ctx)
	s.memory.Report(ctx, s.log, s.metrics)
	return s.listen()
}

func (s *Service) listen() error {
	var err error
	s.http, err = httpserver.Start(httpserver.Options{
		Name: "callers", Addr: s.settings.Listen, Handler: s.handler(),
		MaxBody: s.settings.Bounds.BodyBytes + 1, MaxInProgress: s.settings.Bounds.InProgress, MaxWriteBuffer: s.settings.Bounds.WriteBuffer,
		Rejection: s.earlyRefusal, RetryAfter: wholeSeconds, Memory: s.memory, MaxOpen: vmfiles.For(s.settings.Bounds.MaxFiles).Callers,
	})
	if err != nil {
		return err
	}
	s.metrics.GaugeFunc(metrics.ConnectionsReplaced, s.http.Replaced)
	s.metrics.GaugeFunc(metrics.ConnectionsOverrun, s.http.Overrun)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.metrics)
	mux.HandleFunc("GET /healthz", s.health)
	s.admin, err = httpserver.Start(httpserver.Options{Name: "admin", Addr: s.settings.Admin, Handler: mux, MaxBody: httpserver.NoBody, Memory: s.memory, MaxOpen: vmfiles.For(s.settings.Bounds.MaxFiles).Operators})
	return err
}

// pollLoop follows the head revision until ctx ends.
func (s *Service) pollLoop(ctx context.Context) {
	t := time.NewTicker(s.settings.Timing.Poll)
	defer t.Stop()
	for {
		s.recordPoll(ctx, s.poller.poll(ctx))
		s.pool.refresh()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// recordPoll handles the result of a poll. The first successful one ends the time in which this entry has no
// configuration.
func (s *Service) recordPoll(ctx context.Context, err error) {
	if err == nil {
		s.configured.Store(true)
		return
	}
	if ctx.Err() == nil {
		s.metrics.Counter(metrics.StoreErrors).Inc(1)
		event.StoreFailed.Log(s.log).Err(err).Msg("")
	}
}

// Drain implements kernel.Service: the health check reports draining, requests are accepted until the load
// balancer has noticed, then those in progress finish.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(s.settings.Timing.Notice):
	}
	err := s.http.Shutdown(ctx)
	if err != nil {
		event.DrainIncomplete.Emit(s.log)
	}
	_ = s.admin.Shutdown(ctx)
	s.stop()
	s.work.Wait()
	s.pool.close()
	return err
}
