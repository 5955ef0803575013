package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
)

// callerCheckInterval is how often a waiting stream checks whether its caller has
// disconnected.
const callerCheckInterval = 100 * time.Millisecond

func (h *Handler) decode(w http.ResponseWriter, r *http.Request) {
	p := h.faults.Plan(OpDecode)
	if !h.faults.Before(w, p) {
		return
	}
	var req engine.DecodeRequest
	if !readBody(w, r, &req) {
		return
	}
	var err error
	var started *run
	h.node.Do(func(c *Core) {
		err = c.Decode(req)
		started = c.runs[req.RunID]
	})
	if err != nil || started == nil {
		replyError(w, err)
		return
	}
	h.stream(w, p, started, req.Position)
}

func (h *Handler) resume(w http.ResponseWriter, r *http.Request) {
	p := h.faults.Plan(OpResume)
	if !h.faults.Before(w, p) {
		return
	}
	id := r.FormValue(engine.ParamRun)
	position, err := strconv.Atoi(r.FormValue(engine.ParamPosition))
	if err != nil {
		replyError(w, fmt.Errorf("%w: %v", engine.ErrInvalid, err))
		return
	}
	var resumed *run
	h.node.Do(func(c *Core) { resumed = c.runs[id] })
	if resumed == nil {
		replyError(w, fmt.Errorf("%w: run %q", engine.ErrNotFound, id))
		return
	}
	if position < resumed.req.Position || position > resumed.script.total {
		replyError(w, fmt.Errorf("%w: position outside the run", engine.ErrInvalid))
		return
	}
	h.stream(w, p, resumed, position)
}

// runSnapshot is the state of a run that a stream needs.
type runSnapshot struct {
	produced int
	cached   int
	claimed  bool
	ended    bool
	err      error
	changed  <-chan struct{}
}

func (h *Handler) snapshot(r *run) (v runSnapshot) {
	v = runSnapshot{ended: true, err: engine.ErrUnavailable}
	h.node.Do(func(*Core) {
		v = runSnapshot{
			produced: r.produced, cached: r.cached, ended: r.ended(), err: r.err, changed: r.changed,
			claimed: r.req.Handle == "" || r.state > stateClaiming,
		}
	})
	return v
}

// stream writes the output of a run from position on, until the run ends or the
// caller disconnects. The status is sent once the run has claimed its KV cache, so
// that a lost cache is answered with 404; a cache lost during the transfer ends the
// stream with an error line.
func (h *Handler) stream(w http.ResponseWriter, p fault.Plan, r *run, position int) {
	h.streams.Add(1)
	defer h.streams.Add(-1)
	out := &streamWriter{w: w, plan: p, faults: h.faults, exit: h.exit}
	headersSent := false
	for !httpserver.CallerOf(w).Gone() {
		v := h.snapshot(r)
		if !headersSent && v.claimed {
			if v.err != nil {
				replyError(w, v.err)
				return
			}
			headersSent = true
			out.open()
		}
		for ; position < v.produced && !out.ended; position++ {
			out.token(position, r.script.token(position))
		}
		if v.ended && !out.ended {
			out.writeEnd(r, v)
		}
		if out.ended {
			return
		}
		awaitChange(v.changed)
	}
}

func awaitChange(changed <-chan struct{}) {
	t := time.NewTimer(callerCheckInterval)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	}
}

// streamWriter writes the lines of a stream and applies the faults of its plan.
type streamWriter struct {
	w      http.ResponseWriter
	plan   fault.Plan
	faults *fault.Set
	exit   func()
	sent   int
	ended  bool
}

func (l *streamWriter) open() {
	if l.plan.LoseAnswer {
		l.abort()
		return
	}
	if l.applyFault() {
		return
	}
	l.w.Header().Set("Content-Type", "application/x-ndjson")
	l.w.WriteHeader(http.StatusOK)
	l.flush()
}

// applyFault applies the fault due after the tokens sent so far and returns whether
// the stream has ended.
func (l *streamWriter) applyFault() bool {
	switch l.sent {
	case l.plan.DieAfter:
		l.exit()
		l.abort()
	case l.plan.CutAfter:
		l.abort()
	case l.plan.SilentAfter:
		l.faults.Block(l.w)
		l.abort()
	}
	return l.ended
}

func (l *streamWriter) abort() {
	httpserver.Abort(l.w)
	l.ended = true
}

func (l *streamWriter) token(position int, text string) {
	l.write(engine.StreamLine{StreamEvent: engine.StreamEvent{Position: position, Token: text}})
	l.sent++
	l.applyFault()
}

func (l *streamWriter) writeEnd(r *run, v runSnapshot) {
	l.ended = true
	if v.err != nil {
		_, body := engine.EncodeError(v.err)
		l.write(engine.StreamLine{Error: &body})
		return
	}
	l.write(engine.StreamLine{StreamEvent: engine.StreamEvent{
		Position: r.script.total, Done: true, Total: r.script.total, FinishReason: r.script.finish,
		PromptTokens: r.promptTokens, CachedTokens: v.cached,
	}})
}

func (l *streamWriter) write(line engine.StreamLine) {
	data, err := json.Marshal(line)
	if err != nil {
		panic(fmt.Sprintf("can't encode stream line: %v", err))
	}
	_, _ = l.w.Write(append(data, '\n'))
	l.flush()
}

func (l *streamWriter) flush() {
	if f, ok := l.w.(http.Flusher); ok {
		f.Flush()
	}
}
