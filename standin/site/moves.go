package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// MoveBehaviour is how an engine answers one call that moves a run.
type MoveBehaviour int

// Behaviours of moves. MoveRun moves the run.
const (
	MoveRun MoveBehaviour = iota
	// MoveRefused answers that the destination has no memory; a run that was to stop has stopped.
	MoveRefused
	// MoveLost executes the call and closes the connection without an answer, MoveBusy answers that a call is in
	// progress.
	MoveLost
	MoveBusy
	// MoveCrash crashes the engine instead of an answer.
	MoveCrash
)

// movePrefix is the prefix of the handles of moves.
const movePrefix = "move-"

// liveRun is a stream that an engine generates.
type liveRun struct {
	// stop is closed to stop the run, stopped once its stream has ended.
	stop, stopped chan struct{}
	end           sync.Once
	// asked is set once a move has asked for it to stop.
	asked bool
	// events is the number of events generated.
	events int
}

// BehaveMoves sets the behaviours of the next calls that move runs, one each; later calls move them.
func (s *Server) BehaveMoves(next ...MoveBehaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextMoves = next
}

// SetAddr sets the address by which requests name the engine as the holder of copies, if it is not its own.
func (s *Server) SetAddr(addr string) { s.advertised.Store(&addr) }

// name is the address by which requests name the engine.
func (s *Server) name() string {
	if a := s.advertised.Load(); a != nil {
		return *a
	}
	return s.Addr()
}

// Running reports whether the engine runs a request that no move has stopped.
func (s *Server) Running(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.runs[request]
	return ok && !x.asked
}

func (s *Server) beginRun(c Call) *liveRun {
	x := &liveRun{stop: make(chan struct{}), stopped: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[c.ID] = x
	return x
}

func (s *Server) endRun(c Call, x *liveRun) {
	x.end.Do(func() { close(x.stopped) })
	s.mu.Lock()
	defer s.mu.Unlock()
	// A run that was stopped for a move remains known, so that a repeated call finds it.
	if s.runs[c.ID] == x && !x.asked {
		delete(s.runs, c.ID)
	}
}

// endStopped ends the stream of a run that was stopped before an event.
func (s *Server) endStopped(w http.ResponseWriter, r *http.Request, x *liveRun, b Behaviour, event int) {
	switch b {
	case HoldPartialStream:
		_, _ = fmt.Fprintf(w, "id: %d\ndata: par", event)
	case HoldCutStream:
		panic(http.ErrAbortHandler)
	case HoldSilentStream:
		x.end.Do(func() { close(x.stopped) })
		<-r.Context().Done()
	case HoldLateEventStream:
		x.end.Do(func() { close(x.stopped) })
		time.Sleep(lateEventDelay)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", event, event)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
}

// heldEvents is the number of events after which a stream is held.
const heldEvents = 2

// holds reports whether a stream is held.
func (b Behaviour) holds() bool { return b >= HoldStream && b <= HoldPartialStream }

// generated records one more event of a run and reports whether the run goes on. A held stream is not stopped before its
// last event, so that tests know it.
func (s *Server) generated(x *liveRun, b Behaviour, event int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.asked && !(b.holds() && event <= heldEvents) {
		return false
	}
	x.events = event
	return true
}

func (s *Server) nextMove() MoveBehaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.nextMoves) == 0 {
		return MoveRun
	}
	b := s.nextMoves[0]
	s.nextMoves = s.nextMoves[1:]
	return b
}

func (s *Server) move(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b := s.nextMove()
	s.log.add(&s.log.calls, Call{Server: s.ID, Kind: Move, ID: body.ID, Path: body.To, Last: body.Last})
	s.mu.Lock()
	x := s.runs[body.ID]
	s.mu.Unlock()
	switch {
	case b == MoveCrash:
		s.Crash()
		panic(http.ErrAbortHandler)
	case b == MoveBusy:
		w.WriteHeader(http.StatusConflict)
		return
	case x == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case b == MoveRefused && !body.Last:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	events := s.copyRun(x, body.ID, body.To, body.Last, b == MoveRefused)
	status := http.StatusOK
	switch b {
	case MoveLost:
		panic(http.ErrAbortHandler)
	case MoveRefused:
		status = http.StatusServiceUnavailable
	}
	reply(w, status, map[string]any{"kv_handle": movePrefix + body.ID, "create_rev": events})
}

// copyRun copies a run to another engine, which refuses it if refused is set, and returns the number of its events.
// With last it stops the run first.
func (s *Server) copyRun(x *liveRun, id, to string, last, refused bool) int {
	holders := []string{to}
	if refused {
		holders = nil
	}
	s.mu.Lock()
	if last && !x.asked {
		x.asked = true
		close(x.stop)
	}
	stops := x.asked
	s.mu.Unlock()
	if stops {
		<-x.stopped
		holders = append(holders, s.name())
	}
	s.mu.Lock()
	events := x.events
	s.mu.Unlock()
	s.log.copies.put(s.name()+"/"+movePrefix+id, events, holders...)
	return events
}

// pause waits before an event of a stream that is held or slow. It returns false if the caller has disconnected.
func pause(r *http.Request, x *liveRun, b Behaviour, event int) bool {
	var due <-chan time.Time
	switch {
	case b == SlowStream:
		due = time.After(slowInterval)
	case event > heldEvents && b.holds():
	default:
		return true
	}
	select {
	case <-due:
	case <-x.stop:
	case <-r.Context().Done():
		return false
	}
	return true
}
