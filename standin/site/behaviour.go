package site

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Behaviour is how a backend server answers one request.
type Behaviour int

// Behaviours of backend servers. Answer serves the request.
const (
	Answer Behaviour = iota
	// Fail runs the request and answers 500, or what FailWith says; Shed rejects the request and states that it was not run.
	Fail
	Shed
	// Reset runs the request and closes the connection without an answer.
	Reset
	// NeverAnswer runs the request and never answers.
	NeverAnswer
	// Unstamped answers without the Stamp header.
	Unstamped
	// CutBody closes the connection in the middle of the body.
	CutBody
	// FailKVFetch rejects requests that need a KV cache to be fetched.
	FailKVFetch
	// CutStream closes the connection after two events, StallStream sends nothing more after two.
	CutStream
	StallStream
	// HoldStream sends two events and then waits to be stopped for a move, after which it ends like a whole stream.
	// HoldCutStream closes the connection then.
	HoldStream
	HoldCutStream
	// HoldSilentStream keeps the connection open then, without any data.
	HoldSilentStream
	// HoldLateEventStream sends the next event lateEventDelay later, and then keeps the connection open.
	HoldLateEventStream
	// HoldPartialStream sends a part of the next event then, and ends like a whole stream.
	HoldPartialStream
	// OutliveConnection resets the connection after two events and goes on with the run until a move stops it.
	OutliveConnection
	// RepeatEvent sends the last event that the request says was delivered once more, and then the others.
	RepeatEvent
	// SlowStream waits for slowInterval before each event.
	SlowStream
	// EndInEventID, EndInEventData and EndBeforeBlankLine end the stream in an orderly way inside its third event: in
	// the line with its ID, in its data, and before the empty line that ends it. EndInFirstEvent ends it inside the
	// first one.
	EndInEventID
	EndInEventData
	EndBeforeBlankLine
	EndInFirstEvent
	// SlowAnswer answers for a plain service once it has worked for as long as the request's WorkTime says.
	SlowAnswer
	// TruncatedEvents answers for a plain service with events and ends in an orderly way inside the second one.
	TruncatedEvents
)

// lateEventDelay is how long an event takes to arrive that is in transit while its run is stopped.
const lateEventDelay = 100 * time.Millisecond

// slowInterval makes a slow stream last three seconds, longer than a fault.
const slowInterval = 600 * time.Millisecond

// lastPart is the part of an event that ends the stream; empty if the event is sent whole.
func (b Behaviour) lastPart(event int) string {
	switch {
	case b == EndInFirstEvent:
		return fmt.Sprintf("id: %d\ndata: par", event)
	case event < 3:
		return ""
	}
	switch b {
	case EndInEventID:
		return "id"
	case EndInEventData:
		return fmt.Sprintf("id: %d\ndata: par", event)
	case EndBeforeBlankLine:
		return fmt.Sprintf("id: %d\ndata: token %d\n", event, event)
	default:
		return ""
	}
}

// truncatedEvents are events of a plain service that end inside the second one.
const truncatedEvents = "data: one\n\ndata: tw"

// WorkTime is a request's header with the time in milliseconds that SlowAnswer works for.
const WorkTime = "X-Work-Ms"

// worked works on a request and reports whether its client is still there then.
func worked(r *http.Request) bool {
	ms, _ := strconv.Atoi(r.Header.Get(WorkTime))
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, c Call, b Behaviour) {
	switch {
	case c.Refused:
		w.Header().Set(NotRun, "1")
		s.reject(w)
		return
	case b == Reset:
		s.backUp(c, 0)
		panic(http.ErrAbortHandler)
	case b == SlowAnswer && !worked(r):
		s.log.add(&s.log.abandoned, c)
		return
	case b == NeverAnswer:
		s.backUp(c, 0)
		<-r.Context().Done()
		s.log.add(&s.log.abandoned, c)
		return
	}
	if b != Unstamped {
		w.Header().Set(Stamp, s.ID)
	}
	switch {
	case b == Fail:
		s.mu.Lock()
		if s.limitOnSuccessOnly {
			w.Header().Del(limitHeader)
		}
		status := s.failureStatus
		s.mu.Unlock()
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "failed at "+s.ID)
	case c.Kind == Prefill:
		reply(w, http.StatusOK, map[string]any{"kv_handle": exportPrefix + c.ID, "tokens": 100, "version": 1})
	case c.Kind == Decode:
		s.stream(w, r, c, b)
	case b == TruncatedEvents:
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, truncatedEvents)
	case b == CutBody:
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, "answer of "+s.ID+" to "+c.Path)
	}
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, c Call, b Behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	firstEvent := 1
	if _, err := fmt.Sscan(c.LastEvent, &firstEvent); err == nil {
		firstEvent++
	}
	if b == RepeatEvent {
		firstEvent = max(firstEvent-1, 1)
	}
	s.backUp(c, firstEvent-1)
	run := s.beginRun(c)
	defer s.endRun(c, run)
	for i := firstEvent; i <= Events; i++ {
		if i > 2 && b == CutStream {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: par", i)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		if part := b.lastPart(i); part != "" {
			_, _ = io.WriteString(w, part)
			return
		}
		if i > heldEvents && b == OutliveConnection {
			resetConnection(w)
			<-run.stop
			return
		}
		if i > 2 && b == StallStream {
			<-r.Context().Done()
			s.log.add(&s.log.abandoned, c)
			return
		}
		if !pause(r, run, b, i) {
			s.log.add(&s.log.abandoned, c)
			return
		}
		if !s.generated(run, b, i) {
			s.endStopped(w, r, run, b, i)
			return
		}
		s.backUp(c, i)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		w.(http.Flusher).Flush()
	}
	s.endBackup(c)
}
