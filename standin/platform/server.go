// Package platform is a stand-in for the platform: it serves the ports of package
// store over HTTP from memory, with the rate limits of the real platform and with
// faults that are injected over HTTP.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/standin/server"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// Options configures a Server. A rate of zero means no limit.
type Options struct {
	// Listen is the TCP address, such as 127.0.0.1:7001. Port 0 selects a free port.
	Listen string
	// ReadsPerSecond and WritesPerSecond are shared by the table and the object store.
	ReadsPerSecond, WritesPerSecond float64
	// QueueTime bounds the wait for a rate limit; a call that would wait longer is answered 503.
	QueueTime time.Duration
	// ReadLatency and WriteLatency are added to each call.
	ReadLatency, WriteLatency time.Duration
	// VMLag is the delay until the list of VMs shows a change.
	VMLag time.Duration
	// WeightBytesPerSecond is shared by all readers of weights.
	WeightBytesPerSecond float64
}

// Server is a running stand-in.
type Server struct {
	opts     Options
	store    *memory.Platform
	http     *httpserver.Server
	faults   *faultSet
	reads    *limiter
	writes   *limiter
	weights  *limiter
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	stopOnce sync.Once
}

// Start starts a server, which runs until Stop.
func Start(o Options) (*Server, error) {
	s := &Server{
		opts:     o,
		store:    memory.New(memory.Options{VMLag: o.VMLag}),
		faults:   newFaultSet(),
		reads:    newLimiter(o.ReadsPerSecond, o.QueueTime),
		writes:   newLimiter(o.WritesPerSecond, o.QueueTime),
		weights:  newLimiter(o.WeightBytesPerSecond, maxWeightWait),
		counters: newCounters(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var err error
	if s.http, err = server.Start(o.Listen, s.routes()); err != nil {
		s.cancel()
		return nil, err
	}
	return s, nil
}

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.http.Addr() }

// URL is the base URL for the HTTP clients of package store.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Store is the in-memory data of the stand-in.
func (s *Server) Store() *memory.Platform { return s.store }

// Stop ends all calls and closes all connections. It may be called more than once.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		s.cancel()
		s.http.Close()
	})
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	s.routePorts(mux)
	s.routeControl(mux)
	return mux
}
