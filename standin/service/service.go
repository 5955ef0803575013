// Package service is a stand-in for a plain service: it answers immediately or after
// a configured time, counts calls by the id that they carry, and can inject faults.
package service

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/standin/fault"
	"github.com/hibiscusspur/hibiscusspur/standin/server"
)

// PathState is the control endpoint that returns State.
const PathState = "/control/state"

// DefaultIDHeader is the default request header for the id of a call.
const DefaultIDHeader = "Idempotency-Key"

// Operations that fault rules select calls by.
const (
	OpStatus  = "status"
	OpReceipt = "receipt"
	OpOther   = "other"
)

// Config configures the stand-in.
type Config struct {
	// ID is included in each answer.
	ID string
	// IDHeader is the request header with the id by which calls are counted.
	IDHeader string
	// Work is the processing time of a call.
	Work time.Duration
}

// Answer is the body of every answer. It echoes the properties of the call, so that
// an answer to a different call can be detected.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	ID      string `json:"id"`
	// Body is a hash of the request body.
	Body string `json:"body"`
	// Call is the number of calls with this id so far, including this one.
	Call int `json:"call"`
}

// State is the answer of the control endpoint.
type State struct {
	// Total counts the executed calls by operation.
	Total map[string]int `json:"total"`
	// Calls counts the executed calls by id; calls without an id are counted under "".
	Calls map[string]int `json:"calls"`
}

// Service serves the calls and the control endpoints. It is safe for concurrent
// use. The counts grow with the number of ids and are never dropped.
type Service struct {
	cfg   Config
	mux   *http.ServeMux
	mu    sync.Mutex
	total map[string]int
	calls map[string]int
}

// New returns a service that injects faults; the caller keeps ownership of them.
func New(cfg Config, faults *fault.Set) *Service {
	s := &Service{cfg: cfg, mux: http.NewServeMux(), total: make(map[string]int), calls: make(map[string]int)}
	s.mux.HandleFunc("GET /status/{id}", faults.Unary(OpStatus, s.handler(OpStatus)))
	s.mux.HandleFunc("POST /receipts", faults.Unary(OpReceipt, s.handler(OpReceipt)))
	s.mux.HandleFunc("/", faults.Unary(OpOther, s.handler(OpOther)))
	s.mux.HandleFunc("GET "+PathState, s.state)
	s.mux.HandleFunc(fault.Path, faults.Control(func() {}))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Service) handler(op string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body := fnv.New64a()
		if _, err := io.Copy(body, r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		id := r.Header.Get(s.cfg.IDHeader)
		a := Answer{
			Service: s.cfg.ID, Method: r.Method, Path: r.URL.Path, ID: id,
			Body: fmt.Sprintf("%016x", body.Sum64()), Call: s.count(op, id),
		}
		time.Sleep(s.cfg.Work)
		server.Reply(w, http.StatusOK, a)
	}
}

func (s *Service) count(op, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total[op]++
	s.calls[id]++
	return s.calls[id]
}

func (s *Service) state(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server.Reply(w, http.StatusOK, State{Total: maps.Clone(s.total), Calls: maps.Clone(s.calls)})
}
