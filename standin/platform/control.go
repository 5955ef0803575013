package platform

import (
	"io"
	"net/http"
	"strconv"
	"time"

	port "github.com/hibiscusspur/hibiscusspur/store"
)

// Paths of the control interface, which is exempt from faults and limits.
const (
	PathFault    = "/control/fault"    // GET, POST Fault, DELETE ?id= (0 or empty: all)
	PathCounters = "/control/counters" // GET
	PathVM       = "/control/vm"       // POST VM, DELETE ?id=
	PathVMLag    = "/control/vm-lag"   // POST VMLag
	PathModel    = "/control/model"    // PUT ?model=&version=[&size=]
)

// VMLag is the body of a call to PathVMLag.
type VMLag struct {
	// Seconds is the delay until the list shows a change.
	Seconds float64 `json:"seconds"`
}

func (s *Server) routeControl(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathFault, control(func(*http.Request) (any, error) { return s.faults.list(), nil }))
	mux.HandleFunc("POST "+PathFault, control(s.postFault))
	mux.HandleFunc("DELETE "+PathFault, control(s.deleteFault))
	mux.HandleFunc("GET "+PathCounters, control(func(*http.Request) (any, error) { return s.Counters(), nil }))
	mux.HandleFunc("POST "+PathVM, control(s.postVM))
	mux.HandleFunc("DELETE "+PathVM, control(s.deleteVM))
	mux.HandleFunc("POST "+PathVMLag, control(s.postVMLag))
	mux.HandleFunc("PUT "+PathModel, control(s.putModel))
}

func control(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer, err := h(r)
		writeAnswer(w, answer, err)
	}
}

func (s *Server) postFault(r *http.Request) (any, error) {
	var f Fault
	if err := decode(r, &f); err != nil {
		return nil, err
	}
	return s.SetFault(f)
}

func (s *Server) deleteFault(r *http.Request) (any, error) {
	id := 0
	if text := r.URL.Query().Get("id"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, invalid(err)
		}
		id = n
	}
	s.ClearFault(id)
	return nil, nil
}

func (s *Server) postVM(r *http.Request) (any, error) {
	var vm port.VM
	if err := decode(r, &vm); err != nil {
		return nil, err
	}
	return nil, s.store.SetVM(vm)
}

func (s *Server) deleteVM(r *http.Request) (any, error) {
	s.store.RemoveVM(r.URL.Query().Get("id"))
	return nil, nil
}

func (s *Server) postVMLag(r *http.Request) (any, error) {
	var lag VMLag
	if err := decode(r, &lag); err != nil {
		return nil, err
	}
	s.store.SetVMLag(seconds(lag.Seconds))
	return nil, nil
}

// putModel stores the body, or a pattern of size bytes if size is given.
func (s *Server) putModel(r *http.Request) (any, error) {
	q := r.URL.Query()
	model, version := q.Get(port.ParamModel), q.Get(port.ParamVersion)
	if model == "" || version == "" {
		return nil, port.Invalid("empty model or version")
	}
	if text := q.Get("size"); text != "" {
		size, err := strconv.ParseInt(text, 10, 64)
		if err != nil || size < 0 {
			return nil, port.Invalid("size is no number of bytes")
		}
		s.store.SetPatternWeights(model, version, size)
		return nil, nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, invalid(err)
	}
	s.store.SetWeights(model, version, body)
	return nil, nil
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
