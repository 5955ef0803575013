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
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/kernel"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// ServiceName is the name of the entry in a kernel.
const ServiceName = "entry"

// Service is the entry; it is a kernel.Service.
type Service struct {
	set     Settings
	log     *log.Logger
	met     *metrics.Set
	state   *dissemination.State
	index   *dissemination.Index
	table   store.Table
	pool    *pool
	callers *httpserver.Watcher
	vms     store.VMs
	guard   *guard
	poller  *poller
	placer  *placer
	retrier *retrier
	limits  *limits

	http, admin *httpserver.Server
	draining    atomic.Bool
	// informed is true once the platform or a peer has told the configuration.
	informed atomic.Bool
	stop     context.CancelFunc
	work     sync.WaitGroup
}

// New returns the service for checked settings.
func New(set Settings, l *log.Logger, m *metrics.Set) *Service {
	s := &Service{set: set, log: l, met: m, state: dissemination.NewState(), callers: httpserver.NewWatcher()}
	s.index = dissemination.NewIndex(s.state, func(key string, rev uint64, err error) {
		event.RecordInvalid.Log(l).Str("key", key).Uint64("revision", rev).Err(err).Msg("")
	})
	return s
}

// Addr is where callers connect, once started.
func (s *Service) Addr() string { return s.http.Addr() }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Start implements kernel.Service. It does not wait for the platform: an entry
// that starts during an outage learns the configuration from sidecars that it
// knows of, or serves nothing until the platform answers.
func (s *Service) Start(_ context.Context, _ *kernel.Kernel) error {
	conf, err := s.set.TLS.Config()
	if err != nil {
		return err
	}
	hc := store.NewClient(conf)
	s.table = store.NewHTTPTable(s.set.Platform, hc, store.Timeout(s.set.Timing.PlatformCall))
	s.poller = newPoller(dissemination.NewReader(s.table, s.state), s.set.Timing)
	s.vms = store.NewHTTPVMs(s.set.Platform, hc, store.Timeout(s.set.Timing.PlatformCall))
	if s.placer, err = newPlacer(s.set.Policy); err != nil {
		return err
	}
	s.retrier = newRetrier(s.set.Retry.Attempts, s.met)
	s.pool = newPool(s.set, s.log, conf, rand.Text(), s.state, s.index)
	s.met.GaugeFunc(metrics.LinkBytesSent, s.pool.meter.Sent)
	s.met.GaugeFunc(metrics.LinkBytesReceived, s.pool.meter.Received)
	s.met.GaugeFunc(metrics.ConfigRevision, func() int64 { return int64(s.state.Head()) })
	if s.limits, err = newLimits(s.set.Policy); err != nil {
		return err
	}
	s.pool.limits = s.limits
	if s.guard, err = newGuard(s.set, s.pool, s.table); err != nil {
		return err
	}
	s.state.Watch(func(d dissemination.Delta) {
		event.RevisionApplied.Log(s.log).Uint64("revision", d.Head).Msg("")
		s.informed.Store(true)
		s.pool.refresh()
		s.pool.announce()
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.work.Go(func() { s.poll(ctx) })
	s.work.Go(func() { s.callers.Run(ctx, s.set.Timing.CallerCheck) })
	s.work.Go(func() { s.guard.table.Run(ctx) })
	s.work.Go(func() { s.claimSweepLoop(ctx) })
	s.work.Go(func() { s.vmLoop(ctx) })
	s.work.Go(func() { s.confirmLoop(ctx) })
	return s.listen()
}

func (s *Service) listen() error {
	var err error
	s.http, err = httpserver.Start(httpserver.Options{
		Name: "callers", Addr: s.set.Listen, Handler: s.handler(),
		MaxBody: s.set.Bounds.BodyBytes + 1, MaxInProgress: s.set.Bounds.InProgress, MaxWriteBuffer: s.set.Bounds.WriteBuffer,
		Rejection: s.earlyRefusal,
	})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.met)
	mux.HandleFunc("GET /healthz", s.health)
	s.admin, err = httpserver.Start(httpserver.Options{Name: "admin", Addr: s.set.Admin, Handler: mux})
	return err
}

// poll follows the head revision until ctx ends.
func (s *Service) poll(ctx context.Context) {
	t := time.NewTicker(s.set.Timing.Poll)
	defer t.Stop()
	for {
		s.polled(ctx, s.poller.poll(ctx))
		s.pool.refresh()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// polled takes the result of a poll. The first answer ends the time in which this
// entry knows nothing.
func (s *Service) polled(ctx context.Context, err error) {
	if err == nil {
		s.informed.Store(true)
		return
	}
	if ctx.Err() == nil {
		s.met.Counter(metrics.StoreErrors).Inc(1)
		event.StoreFailed.Log(s.log).Err(err).Msg("")
	}
}

// Drain implements kernel.Service: the health check says draining, requests go
// on being taken until the balancer has noticed, then those in progress finish.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(s.set.Timing.Notice):
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
