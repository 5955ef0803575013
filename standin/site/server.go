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

// Behaviour is how a backend server answers one request.
type Behaviour int

// Behaviours of backend servers.
const (
	Answer Behaviour = iota
	// Fail answers 500, Shed refuses with proof that nothing ran.
	Fail
	Shed
	// Reset runs the request and closes the connection without an answer.
	Reset
	// NeverAnswer runs the request and never answers.
	NeverAnswer
	// Unstamped answers without the server's mark.
	Unstamped
	// CutBody breaks off in the middle of the body.
	CutBody
	// FailKVFetch refuses to fetch a KV cache.
	FailKVFetch
	// CutStream closes the connection after two events, StallStream sends nothing more after two.
	CutStream
	StallStream
)

// Events is the number of events of a whole stream.
const Events = 5

// Server is a backend server: a plain service or a model engine.
type Server struct {
	*httptest.Server
	// ID is the instance.
	ID  string
	log *Log

	active, born atomic.Int64

	mu   sync.Mutex
	next []Behaviour
	then Behaviour
	full bool
	// stopping is set once it refuses reservations and closes its connections, being about to stop.
	stopping bool
	// limit is what its answers name as the requests a second that it takes; empty if they name none.
	limit string
	// sparing has it name its limit in answers of success to requests alone.
	sparing bool
	// leaving has its answers say that it leaves, rest is what its refusals ask for in seconds; empty if nothing.
	leaving bool
	rest    string
	// hold and orders count since the last start.
	hold, orders int
	// deadly begins the body of requests under which the server ends, onEnd is called when it has.
	deadly string
	onEnd  func(*Server)
	// onCrash is called when it begins to crash, crashed is set then.
	onCrash func()
	crashed bool
}

// NewServer starts a server that ends with the test.
func NewServer(t testing.TB, id string, l *Log) *Server {
	s := &Server{ID: id, log: l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/hold-take", s.takeHold)
	mux.HandleFunc("DELETE /api/hold-drop/{id}", s.note(Drop))
	mux.HandleFunc("DELETE /api/kv-handle/{id}", s.note(Free))
	mux.HandleFunc("POST /api/order", s.order)
	mux.HandleFunc("GET /api/report", s.report)
	mux.HandleFunc("/", s.request)
	s.Server = httptest.NewServer(s.says(mux))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// Addr is "ip:port".
func (s *Server) Addr() string { return s.Listener.Addr().String() }

// Behave sets how the next requests are answered, one each, and how all after them.
func (s *Server) Behave(then Behaviour, next ...Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.then, s.next = then, next
}

// SetFull makes the server refuse reservations.
func (s *Server) SetFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

// Stop makes the server refuse reservations and close the connections on which they come: it takes nothing new.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full, s.stopping = true, true
}

// SetLimit has all answers name the requests a second that the server takes; empty ends it.
func (s *Server) SetLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// NameLimitOnSuccessOnly has the server name its limit in answers of success to requests alone: not in refusals, failures and answers
// to other calls.
func (s *Server) NameLimitOnSuccessOnly() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sparing = true
}

// SetLeaving has all answers say that the server leaves.
func (s *Server) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// SetRetryAfter has all refusals ask for so many seconds of rest; empty ends it.
func (s *Server) SetRetryAfter(seconds string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = seconds
}

// refuse answers 503.
func (s *Server) refuse(w http.ResponseWriter) {
	s.mu.Lock()
	rest := s.rest
	if s.sparing {
		w.Header().Del(limitHeader)
	}
	s.mu.Unlock()
	if rest != "" {
		w.Header().Set(retryAfter, rest)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// says puts what the server says of itself into each answer.
func (s *Server) says(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		limit, leaving := s.limit, s.leaving
		if s.sparing && strings.HasPrefix(r.URL.Path, "/api/") {
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

func (s *Server) behaviour() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.next) == 0 {
		return s.then
	}
	b := s.next[0]
	s.next = s.next[1:]
	return b
}

func (s *Server) note(kind string) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		s.log.add(&s.log.calls, Call{Server: s.ID, Kind: kind, Path: r.PathValue("id"), Header: r.Header})
	}
}

func (s *Server) takeHold(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Tokens int `json:"tokens"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	full, stopping := s.full, s.stopping
	s.hold++
	id := fmt.Sprint(s.ID, "-hold-", s.hold)
	s.mu.Unlock()
	s.log.add(&s.log.calls, Call{Server: s.ID, Kind: Hold, Tokens: body.Tokens, Hold: id})
	if stopping {
		w.Header().Set("Connection", "close")
	}
	if full {
		s.refuse(w)
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
	switch s.behaviour() {
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
		LastEvent: r.Header.Get(lastEventID), Header: r.Header, Body: string(body), Born: s.Born(),
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
	b := s.behaviour()
	c.Refused = b == Shed || b == FailKVFetch && c.KVFrom != ""
	s.log.add(&s.log.calls, c)
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.endsUnder(c) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, c, b)
}

// Active is the number of requests that the server works on.
func (s *Server) Active() int { return int(s.active.Load()) }

func (s *Server) answer(w http.ResponseWriter, r *http.Request, c Call, b Behaviour) {
	switch {
	case c.Refused:
		w.Header().Set(notRun, "1")
		s.refuse(w)
		return
	case b == Reset:
		panic(http.ErrAbortHandler)
	case b == NeverAnswer:
		<-r.Context().Done()
		s.log.add(&s.log.left, c)
		return
	}
	if b != Unstamped {
		w.Header().Set(Stamp, s.ID)
	}
	switch {
	case b == Fail:
		s.mu.Lock()
		if s.sparing {
			w.Header().Del(limitHeader)
		}
		s.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed at "+s.ID)
	case c.Kind == Prefill:
		reply(w, http.StatusOK, map[string]any{"kv_handle": "kv-" + c.ID, "tokens": 100, "version": 1})
	case c.Kind == Decode:
		s.stream(w, r, c, b)
	case b == CutBody:
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	default:
		_, _ = io.WriteString(w, "answer of "+s.ID+" to "+c.Path)
	}
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, c Call, b Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if _, err := fmt.Sscan(c.LastEvent, &first); err == nil {
		first++
	}
	for i := first; i <= Events; i++ {
		if i > 2 && b == CutStream {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: par", i)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		if i > 2 && b == StallStream {
			<-r.Context().Done()
			s.log.add(&s.log.left, c)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		w.(http.Flusher).Flush()
	}
}
