// Package httpserver runs an HTTP server on nbio's nbhttp with the limits that every process of hibiscusspur needs,
// and reports whether a caller (the client of a request) has disconnected.
//
// It limits what nbhttp leaves unlimited: the time to receive a request, the number and size of headers, and the
// memory for a client that reads slowly. It responds to malformed requests, where nbhttp only closes the connection,
// and keeps connections open until a response has been sent whole.
package httpserver

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/hibiscusspur/hibiscusspur/vmlink"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// Options configure a server. Fields left zero take the default.
type Options struct {
	// Name is used in nbio's own log lines.
	Name string
	// Addr is "ip:port"; port 0 selects a free port, see Server.Addr.
	Addr    string
	Handler http.Handler
	// MaxBody bounds a request's body in bytes.
	MaxBody int
	// MaxHeaders and MaxHeaderBytes bound the head of a request.
	MaxHeaders, MaxHeaderBytes int
	// Limits returns further limits that may change; it must not block. Nil sets none.
	Limits func() Limits
	// MaxConns bounds the open connections; further ones are closed at once.
	MaxConns int
	// MaxOpen is the number of open connections beyond which the one that is silent for longest is closed for a new one. The
	// default is none.
	MaxOpen int
	// MaxInProgress bounds the requests handled at once.
	MaxInProgress int
	// Pollers is the number of goroutines that read from connections; zero is nbio's own default.
	Pollers int
	// MaxWriteBuffer bounds the bytes waiting for one slow client; a handler that writes more blocks.
	MaxWriteBuffer int
	// StallTimeout is how long a client may read nothing before its connection is closed.
	StallTimeout time.Duration
	// ReadTimeout bounds the time from the first byte of a request to the last.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
	// CheckHead checks a request whose head has arrived before its body, and returns a status with which to reject it
	// at once, or zero. It must not block or retain the request. Nil accepts all requests.
	CheckHead func(r *http.Request) int
	// Accept reports whether to accept a new connection; others are closed before anything is read from them. It returns a
	// function that is called once the first request was received, or the connection closed. Neither may block. Nil accepts all
	// connections.
	Accept func() (received func(), ok bool)
	// ClosesConnections reports whether connections are closed after their current response, so that their clients
	// connect anew. It must not block. Nil keeps connections open.
	ClosesConnections func() bool
	// Memory is the memory of this VM that requests take; nil is not bounded.
	Memory *vmmemory.Memory
	// Link is the link of this VM that the connections use; nil is not accounted for.
	Link *vmlink.Link
	// RetryAfter returns when the client of a request is told to come back that there is no room for before some time; it must neither
	// block nor retain the request. Nil tells that time.
	RetryAfter func(r *http.Request, after time.Duration) time.Duration
	// Rejection returns the headers and the JSON body of the response to a request that is rejected before it reaches
	// Handler. It must not block. Nil means neither.
	Rejection func(status int) (http.Header, []byte)
}

// Limits bound what a client may send, and for how long. Fields left zero are those of Options.
type Limits struct {
	// HeaderBytes bounds the header lines of a request, and its first line, BodyBytes its body.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its head, IdleTimeout that without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// NoBody is the MaxBody of servers whose requests have none worth mentioning.
const NoBody = 4 << 10

// Defaults of Options.
const (
	DefaultMaxBody        = 4 << 20
	DefaultMaxHeaders     = 100
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxConns       = 20_000
	DefaultMaxInProgress  = 4096
	DefaultMaxWriteBuffer = 1 << 20
	DefaultStallTimeout   = 10 * time.Second
	DefaultReadTimeout    = 30 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
)

const (
	readBufferBytes = 16 << 10
	// maxOpenFiles sizes nbio's table of connections, 8 bytes for each.
	maxOpenFiles = 1 << 17
	// shutdownCheckInterval is the interval at which Shutdown checks for unfinished responses.
	shutdownCheckInterval = 5 * time.Millisecond
	// noTimeout is long enough to disable nbhttp's own idle timeout; see conn.idleTimer.
	noTimeout = 10 * 365 * 24 * time.Hour
	// closeTimeout bounds the closing of connections once they are idle.
	closeTimeout = 5 * time.Second
	// stopTimeout bounds Close, which blocks forever if the pollers of nbio v1.6.8 have not started yet.
	stopTimeout = time.Second
)

// setGlobals sets the variables of nbio that are the same for all servers.
var setGlobals sync.Once

// Server is a running HTTP server.
type Server struct {
	opts     Options
	engine   *nbhttp.Engine
	listener *listener
	closing  atomic.Bool
	// longBodies is the number of requests of which a part of a long body is still to come.
	longBodies atomic.Int64
	// replaced counts the connections that were closed for new ones, overrun those that were closed since too many requests were sent
	// ahead on them.
	replaced, overrun atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Start listens and serves until Shutdown or Close.
func Start(o Options) (*Server, error) {
	setGlobals.Do(func() {
		nbio.MaxOpenFiles = maxOpenFiles
		// The default allocator hands out buffers that are as large as those of the largest request before.
		mempool.DefaultMemPool = mempool.NewAligned()
	})
	s := &Server{opts: withDefaults(o), conns: make(map[*conn]struct{})}
	o = s.opts
	// Listen first: an engine whose listener fails stops its pollers before they have started, and that blocks
	// forever in nbio v1.6.8.
	lis, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return nil, merry.Prependf(err, "listen on %s", o.Addr)
	}
	s.listener = newListener(lis, o.Accept)
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                   o.Name,
		Network:                "tcp",
		Addrs:                  []string{o.Addr},
		Listen:                 func(string, string) (net.Listener, error) { return s.listener, nil },
		Handler:                http.HandlerFunc(s.serve),
		MaxLoad:                o.MaxConns,
		NPoller:                o.Pollers,
		MessageHandlerPoolSize: o.MaxInProgress,
		ReadBufferSize:         readBufferBytes,
		KeepaliveTime:          noTimeout,
	})
	s.engine.Engine.OnOpen(s.opened)
	s.engine.OnClose(s.closed)
	s.engine.OnWrittenSize(written)
	if err := s.engine.Start(); err != nil {
		return nil, merry.Prependf(err, "serve on %s", o.Addr)
	}
	return s, nil
}

func withDefaults(o Options) Options {
	setDefault(&o.MaxBody, DefaultMaxBody)
	setDefault(&o.MaxHeaders, DefaultMaxHeaders)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.MaxConns, DefaultMaxConns)
	setDefault(&o.MaxOpen, o.MaxConns)
	setDefault(&o.MaxInProgress, DefaultMaxInProgress)
	setDefault(&o.MaxWriteBuffer, DefaultMaxWriteBuffer)
	setDefault(&o.StallTimeout, DefaultStallTimeout)
	setDefault(&o.ReadTimeout, DefaultReadTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	if o.Accept == nil {
		o.Accept = func() (func(), bool) { return func() {}, true }
	}
	if o.ClosesConnections == nil {
		o.ClosesConnections = func() bool { return false }
	}
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	if o.RetryAfter == nil {
		o.RetryAfter = func(_ *http.Request, after time.Duration) time.Duration { return after }
	}
	if o.Memory != nil {
		o.MaxOpen = min(o.MaxOpen, max(o.Memory.Connections(), 1))
	}
	if o.Rejection == nil {
		o.Rejection = func(int) (http.Header, []byte) { return nil, nil }
	}
	return o
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// limits returns the limits in force.
func (s *Server) limits() Limits {
	l := s.opts.Limits()
	setDefault(&l.HeaderBytes, s.opts.MaxHeaderBytes)
	setDefault(&l.BodyBytes, s.opts.MaxBody)
	setDefault(&l.HeaderTimeout, s.opts.ReadTimeout)
	setDefault(&l.IdleTimeout, s.opts.IdleTimeout)
	return l
}

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// LateBodies returns the number of long bodies that are not read as fast as they come: they have been coming for some time, and
// more of them waits to be read.
func (s *Server) LateBodies() int {
	if s.longBodies.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	late, now := 0, time.Now()
	for c := range s.conns {
		if c.isBodyLate(now) {
			late++
		}
	}
	return late
}

// opened is called before anything is read from a connection.
func (s *Server) opened(raw *nbio.Conn) {
	parser, ok := raw.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	c := newConn(s, raw, parser, s.listener.takeReceived(raw.RemoteAddr()))
	raw.SetSession(c)
	s.add(c)
}

func (s *Server) closed(nc net.Conn, _ error) {
	raw, ok := nc.(*nbio.Conn)
	if !ok {
		return
	}
	c, ok := raw.Session().(*conn)
	if !ok {
		return
	}
	c.idleTimer.Stop()
	c.received()
	c.expect(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serve runs the handler; nbhttp sends the rest of the response afterwards.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	res := newResponse(w.(*nbhttp.Response), r)
	r.Close = r.Close || s.closing.Load() || s.opts.ClosesConnections()
	defer res.finish()
	defer func() {
		if p := recover(); p != nil {
			logging.Error("handler of %s %s: panic: %v\n%s", r.Method, r.URL.Path, p, debug.Stack())
			res.fail()
		}
	}()
	// A client may have given up while its request waited for the processor.
	if CallerOf(res).Gone() {
		return
	}
	s.opts.Handler.ServeHTTP(res, r)
}

// Shutdown stops listening, closes connections that wait for a request, waits until every response in progress has
// been sent, and closes the remaining connections. If ctx ends first, responses are cut off and the error is that of
// ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	s.listener.stopAccepting()
	if err := s.waitIdle(ctx); err != nil {
		s.Close()
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	return s.engine.Shutdown(ctx)
}

// Close closes the listener and every connection at once.
func (s *Server) Close() {
	stopped := make(chan struct{})
	go func() {
		s.engine.Stop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
	}
}

func (s *Server) waitIdle(ctx context.Context) error {
	t := time.NewTicker(shutdownCheckInterval)
	defer t.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("responses in progress: %w", ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

// closeIdle closes the connections without a response in progress and returns the number of other connections.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	busy := 0
	for _, c := range conns {
		if c.busy() {
			busy++
			continue
		}
		_ = c.out.raw.Close()
	}
	return busy
}
