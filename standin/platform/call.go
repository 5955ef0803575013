package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
	port "github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// callerCheckInterval is how often a blocked call checks whether its caller has
// disconnected.
const callerCheckInterval = 20 * time.Millisecond

// handler serves one call of a port and returns the body of its answer: a
// []byte is sent as it is, nil as an empty body, anything else as JSON.
type handler func(r *http.Request) (any, error)

// serve wraps h with the counters, faults, limit and latency of a port.
func (s *Server) serve(p memory.Port, write bool, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := s.counters[p]
		c.countCall(write)
		fault := s.faults.next(p, write)
		if !s.beforeEffect(w, c, fault) {
			return
		}
		if !s.admit(p, write) {
			c.limited.Inc(1)
			s.reply(w, c, nil, port.ErrUnavailable)
			return
		}
		answer, err := h(r)
		if s.afterEffect(w, c, fault) {
			s.reply(w, c, answer, err)
		}
	}
}

// beforeEffect applies a fault before the call takes effect. It returns false if the
// fault has ended the call.
func (s *Server) beforeEffect(w http.ResponseWriter, c *portCounters, f *activeFault) bool {
	if f == nil {
		return true
	}
	switch f.Kind {
	case Refuse:
		c.refused.Inc(1)
		s.reply(w, c, nil, port.ErrUnavailable)
		return false
	case Delay:
		s.sleep(f.Delay)
		return true
	case Hang:
		c.lost.Inc(1)
		s.hang(w, f.cleared)
		return false
	case Silence:
		c.lost.Inc(1)
		s.hang(w, nil)
		return false
	default:
		return true
	}
}

// afterEffect applies a fault after the call has taken effect. It returns false if
// no answer is to be sent.
func (s *Server) afterEffect(w http.ResponseWriter, c *portCounters, f *activeFault) bool {
	if f == nil || (f.Kind != LoseAnswer && f.Kind != HangAfter) {
		return true
	}
	c.lost.Inc(1)
	if f.Kind == HangAfter {
		s.hang(w, f.cleared)
		return false
	}
	httpserver.Abort(w)
	return false
}

// hang leaves a call unanswered until its caller disconnects, the server stops or
// cleared is closed, and then closes the connection. Later calls on the connection
// are queued behind it.
func (s *Server) hang(w http.ResponseWriter, cleared <-chan struct{}) {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	defer httpserver.Abort(w)
	for caller := httpserver.CallerOf(w); !caller.Gone(); {
		select {
		case <-ticker.C:
		case <-cleared:
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// admit waits for the rate limit and the latency of a call. It returns false if the
// limit's queue is full.
func (s *Server) admit(p memory.Port, write bool) bool {
	l, latency := s.reads, s.opts.ReadLatency
	if write {
		l, latency = s.writes, s.opts.WriteLatency
	}
	if p == memory.PortVMs || p == memory.PortWeights {
		l = nil
	}
	wait, ok := l.reserve(time.Now(), 1)
	if ok {
		s.sleep(wait + latency)
	}
	return ok
}

// sleep waits for d, or until the server stops.
func (s *Server) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, d)
	defer cancel()
	<-ctx.Done()
}

func (s *Server) reply(w http.ResponseWriter, c *portCounters, answer any, err error) {
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		c.conflicts.Inc(1)
	}
	c.bytesOut.Inc(int64(writeAnswer(w, answer, err)))
}

// writeAnswer sends an answer or an error and returns the length of the body.
func writeAnswer(w http.ResponseWriter, answer any, err error) int {
	status := http.StatusOK
	if err != nil {
		status, answer = port.EncodeError(err)
	}
	body, raw := answer.([]byte)
	if !raw && answer != nil {
		body, err = json.Marshal(answer)
		if err != nil {
			status = http.StatusInternalServerError
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	return len(body)
}
