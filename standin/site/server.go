package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// exportPrefix is the prefix of the handles of exported KV caches.
const exportPrefix = "kv-"

// Events is the number of events of a complete stream.
const Events = 5

// Server is a backend server: a plain service or a model engine.
type Server struct {
	*httptest.Server
	// ID is the instance name.
	ID  string
	log *Log

	active, born     atomic.Int64
	connectionFramed atomic.Bool
	// advertised is the address by which requests name the engine; nil if it is its own.
	advertised atomic.Pointer[string]

	mu               sync.Mutex
	nextBehaviours   []Behaviour
	defaultBehaviour Behaviour
	// failureStatus is the status of Fail.
	failureStatus int
	full          bool
	// stopping is set once the server rejects reservations and closes their connections because it is about to stop.
	stopping bool
	// limit is the rate limit in requests per second that answers report; empty if they report none.
	limit string
	// limitOnSuccessOnly restricts the limit to successful answers to requests.
	limitOnSuccessOnly bool
	// leaving makes answers report that the server is leaving. retryAfter is the cooldown in seconds that rejections
	// ask for; empty if none.
	leaving    bool
	retryAfter string
	// reservations and orders are counts since the last start.
	reservations, orders int
	// crashPrefix is the body prefix, and crashPart the prefix of the ID of a part of the prompt, of requests that crash
	// the server, empty if none does; afterCrash is called after the crash.
	crashPrefix, crashPart string
	afterCrash             func(*Server)
	// beforeCrash is called when the server begins to crash, and crashed is set then.
	beforeCrash func()
	crashed     bool
	// runs are the streams being generated, and those stopped for a move, by request. nextMoves are the behaviours of the
	// next moves.
	runs      map[string]*liveRun
	nextMoves []MoveBehaviour
}

// NewServer starts a server that is closed at the end of the test.
func NewServer(t testing.TB, id string, l *Log) *Server {
	s := &Server{ID: id, log: l, failureStatus: http.StatusInternalServerError, runs: map[string]*liveRun{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/hold-take", s.reserve)
	mux.HandleFunc("DELETE /api/hold-drop/{id}", s.record(Drop))
	mux.HandleFunc("DELETE /api/kv-handle/{id}", s.free)
	mux.HandleFunc("POST /api/kv-move", s.move)
	mux.HandleFunc("POST /api/order", s.order)
	mux.HandleFunc("GET /api/report", s.report)
	mux.HandleFunc("/", s.withFraming(s.request))
	s.Server = httptest.NewServer(s.withHeaders(mux))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// Addr returns the address as "ip:port".
func (s *Server) Addr() string { return s.Listener.Addr().String() }

// Behave sets the behaviours of the next requests, one each, and the behaviour of all requests after them.
func (s *Server) Behave(defaultBehaviour Behaviour, nextBehaviours ...Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.defaultBehaviour, s.nextBehaviours = defaultBehaviour, nextBehaviours
}

// FailWith sets the status with which Fail answers, after the request has run.
func (s *Server) FailWith(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureStatus = status
}

// SetFull makes the server reject reservations.
func (s *Server) SetFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

// Stop makes the server reject reservations and close the connections on which they arrive: it accepts no new work.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full, s.stopping = true, true
}

// SetLimit makes all answers report a rate limit in requests per second; an empty limit stops that.
func (s *Server) SetLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// NameLimitOnSuccessOnly restricts the limit to successful answers to requests: rejections, failures and answers to
// other calls don't report it.
func (s *Server) NameLimitOnSuccessOnly() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitOnSuccessOnly = true
}

// SetLeaving makes all answers report that the server is leaving.
func (s *Server) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// SetRetryAfter makes all rejections ask for a cooldown in seconds; an empty value stops that.
func (s *Server) SetRetryAfter(seconds string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = seconds
}

// reject answers 503, with Retry-After if a cooldown is set.
func (s *Server) reject(w http.ResponseWriter) {
	s.mu.Lock()
	seconds := s.retryAfter
	if s.limitOnSuccessOnly {
		w.Header().Del(limitHeader)
	}
	s.mu.Unlock()
	if seconds != "" {
		w.Header().Set(retryAfter, seconds)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// withHeaders adds the server's limit and leaving headers to each answer.
func (s *Server) withHeaders(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		limit, leaving := s.limit, s.leaving
		if s.limitOnSuccessOnly && strings.HasPrefix(r.URL.Path, "/api/") {
			limit = ""
		}
		s.mu.Unlock()
		if leaving {
			w.Header().Set(leavingHeader, "1")
		}
		if limit != "" {
			w.Header().Set(limitHeader, limit)
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) nextBehaviour() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.nextBehaviours) == 0 {
		return s.defaultBehaviour
	}
	b := s.nextBehaviours[0]
	s.nextBehaviours = s.nextBehaviours[1:]
	return b
}

func (s *Server) record(kind string) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		s.log.add(&s.log.calls, Call{Server: s.ID, Kind: kind, Path: r.PathValue("id"), Header: r.Header})
	}
}

func (s *Server) free(w http.ResponseWriter, r *http.Request) {
	s.log.copies.free(r.PathValue("id"))
	s.record(Free)(w, r)
}

func (s *Server) reserve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Tokens int `json:"tokens"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	full, stopping := s.full, s.stopping
	s.reservations++
	id := fmt.Sprint(s.ID, "-hold-", s.reservations)
	s.mu.Unlock()
	s.log.add(&s.log.calls, Call{Server: s.ID, Kind: Hold, Tokens: body.Tokens, Hold: id})
	if stopping {
		w.Header().Set("Connection", "close")
	}
	if full {
		s.reject(w)
		return
	}
	reply(w, http.StatusOK, map[string]string{"hold": id})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.log.add(&s.log.calls, Call{Server: s.ID, Kind: Order, Body: string(body)})
	s.mu.Lock()
	s.orders++
	s.mu.Unlock()
	switch s.nextBehaviour() {
	case Shed:
		w.WriteHeader(http.StatusConflict)
	case Reset:
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.log.add(&s.log.calls, Call{Server: s.ID, Kind: Report})
	s.mu.Lock()
	report := map[string]any{"stage": "prefill", "seq": s.orders + 2, "busy": false}
	s.mu.Unlock()
	if born := s.Born(); born != 0 {
		report["born"] = born
	}
	reply(w, http.StatusOK, report)
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := Call{
		Server: s.ID, Kind: Plain, Path: r.RequestURI, ID: r.Header.Get(RequestID),
		Hold: r.Header.Get(Reservation), KVFrom: r.Header.Get(KVFrom),
		Backup: r.Header.Get(kvBackup), LastEvent: r.Header.Get(lastEventID), Header: r.Header, Body: string(body), Born: s.Born(),
	}
	switch {
	case r.Header.Get(stage) == "prefill":
		c.Kind = Prefill
	case r.Header.Get(Tokens) != "":
		c.Kind = Decode
	}
	w.Header().Set(RequestID, c.ID)
	if want := r.Header.Get(instance); want != "" && want != s.ID {
		c.Refused = true
		s.log.add(&s.log.calls, c)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b := s.nextBehaviour()
	c.Refused = b == Shed || b == FailKVFetch && c.KVFrom != ""
	if !c.Refused && isCopy(c.KVFrom) {
		c.Continued = s.log.copies.take(c.KVFrom, s.name())
		c.Refused = !c.Continued
		c.Moved = strings.Contains(c.KVFrom, "/"+movePrefix)
		c.Returned = strings.HasPrefix(c.KVFrom, s.name()+"/"+movePrefix)
	}
	s.log.add(&s.log.calls, c)
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.crashesOn(c) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, c, b)
}

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }
