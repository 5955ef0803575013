package sidecar

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/kernel"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/security"
	"github.com/hibiscusspur/hibiscusspur/vmfiles"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// ServiceName is the name of the sidecar in a kernel.
const ServiceName = "sidecar"

// Service runs a Server with its listeners; it is a kernel.Service.
type Service struct {
	set         Settings
	log         *log.Logger
	met         *metrics.Set
	memory      *vmmemory.Memory
	server      *Server
	admin       *httpserver.Server
	addr        string
	stopServing context.CancelFunc
	serveResult chan error
	meter       link.Meter
}

// New returns the service for checked settings.
func New(set Settings, l *log.Logger, m *metrics.Set) *Service {
	memory := vmmemory.New(set.Bounds.MemoryBytes, httpserver.DefaultReadTimeout)
	return &Service{set: set, memory: memory, log: l, met: m, serveResult: make(chan error, 1)}
}

// Addr returns the address where entries connect, once started.
func (s *Service) Addr() string { return s.addr }

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Start implements kernel.Service. It waits for the engine to answer.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) error {
	eng, info, err := s.connectEngine(ctx)
	if err != nil {
		return err
	}
	s.server = NewServer(s.set, eng, info, rand.Text(), s.log, s.met)
	s.met.GaugeFunc(metrics.DecodeSlotsUsed, s.server.slotsUsed)
	s.met.GaugeFunc(metrics.LinkBytesSent, s.meter.Sent)
	s.met.GaugeFunc(metrics.LinkBytesReceived, s.meter.Received)
	s.met.GaugeFunc(metrics.ConfigRevision, func() int64 { return int64(s.server.Head()) })
	if err := s.listen(); err != nil {
		return err
	}
	s.server.Loops()
	s.admin, err = httpserver.Start(httpserver.Options{Name: "admin", Addr: s.set.Admin, Handler: s.adminHandler(), MaxBody: httpserver.NoBody, Memory: s.memory, MaxOpen: vmfiles.For(s.set.Bounds.MaxFiles).Operators})
	return err
}

func (s *Service) connectEngine(ctx context.Context) (engine.Engine, engine.Info, error) {
	if s.set.Engine == "" {
		return nil, engine.Info{ID: s.set.ID}, nil
	}
	eng := engine.NewHTTP(s.set.Engine, nil)
	ctx, cancel := context.WithTimeout(ctx, s.set.Timing.Drain)
	defer cancel()
	info, err := waitForInfo(ctx, eng)
	if err != nil {
		return nil, info, merry.Prependf(err, "engine at %s", s.set.Engine)
	}
	return eng, info, nil
}

func (s *Service) listen() error {
	conf, err := s.set.TLS.Config()
	if err != nil {
		return err
	}
	lis, err := net.Listen("tcp", s.set.Listen)
	if err != nil {
		return err
	}
	s.addr = lis.Addr().String()
	lis = security.NewListener(s.meter.Listener(lis), conf)
	ctx, cancel := context.WithCancel(context.Background())
	s.stopServing = cancel
	s.memory.Report(ctx, s.log, s.met)
	limits := link.Limits{Conns: vmfiles.For(s.set.Bounds.MaxFiles).Callers, Memory: s.memory}
	go func() { s.serveResult <- link.Serve(ctx, lis, s.server, limits) }()
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(ctx context.Context) error {
	err := s.server.Drain(ctx)
	s.server.Close()
	s.stopServing()
	<-s.serveResult
	if s.admin != nil {
		_ = s.admin.Shutdown(ctx)
	}
	return err
}

func (s *Service) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.met)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if s.server.Leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte("draining\n"))
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		s.server.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// recordRetired reports whether a backend record marks the server as retired.
func recordRetired(value []byte) bool {
	var b contract.Backend
	if err := yaml.Unmarshal(value, &b); err != nil {
		return false
	}
	return b.Retired
}
