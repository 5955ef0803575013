package fault

import (
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/standin/server"
)

const (
	// Path is the control endpoint of a stand-in's faults: GET lists the rules,
	// POST adds one, DELETE clears all.
	Path = "/control/faults"

	exitCode            = 137
	callerCheckInterval = 50 * time.Millisecond
)

// Exit ends the process with the exit code of a killed process.
func Exit() {
	os.Exit(exitCode)
}

// Unary applies the faults of op to the handler of a unary call.
func (s *Set) Unary(op string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p := s.Plan(op)
		if !s.Before(w, p) {
			return
		}
		if p.DieAfter == 0 {
			Exit()
		}
		if !p.LoseAnswer && !p.Silent && p.DieAfter < 0 {
			h(w, r)
			return
		}
		h(discard{make(http.Header)}, r)
		if p.DieAfter > 0 {
			Exit()
		}
		if p.Silent {
			s.Block(w)
		}
		httpserver.Abort(w)
	}
}

// Before applies the faults that take effect before a call is handled. It
// returns false if a fault has ended the call.
func (s *Set) Before(w http.ResponseWriter, p Plan) bool {
	if p.Refuse {
		server.Reply(w, http.StatusServiceUnavailable, errorBody{"unavailable", "fault: refuse"})
		return false
	}
	if p.Delay > 0 {
		time.Sleep(p.Delay)
	}
	if p.Hang {
		s.Block(w)
		httpserver.Abort(w)
		return false
	}
	return true
}

// Block waits until the caller's connection is closed or the faults are cleared.
func (s *Set) Block(w http.ResponseWriter) {
	released := s.clearSignal()
	t := time.NewTicker(callerCheckInterval)
	defer t.Stop()
	for !httpserver.CallerOf(w).Gone() {
		select {
		case <-released:
			return
		case <-t.C:
		}
	}
}

// Control returns the handler for Path. It calls changed after each change.
func (s *Set) Control(changed func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPost:
			var rule Rule
			if err := json.NewDecoder(r.Body).Decode(&rule); err != nil {
				server.Reply(w, http.StatusBadRequest, errorBody{"invalid", err.Error()})
				return
			}
			if err := s.Add(rule); err != nil {
				server.Reply(w, http.StatusBadRequest, errorBody{"invalid", err.Error()})
				return
			}
		case http.MethodDelete:
			s.Clear()
		}
		if r.Method != http.MethodGet {
			changed()
		}
		server.Reply(w, http.StatusOK, s.Rules())
	}
}

type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// discard is a ResponseWriter that drops the response.
type discard struct {
	header http.Header
}

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
