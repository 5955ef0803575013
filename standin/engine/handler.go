package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
	"github.com/hibiscusspur/hibiscusspur/standin/server"
)

// PathState is the control endpoint that returns State.
const PathState = "/control/state"

// Operations that fault rules select calls by.
const (
	OpInfo        = "info"
	OpPrefill     = "prefill"
	OpDecode      = "decode"
	OpResume      = "resume"
	OpCancel      = "cancel"
	OpRuns        = "runs"
	OpExports     = "exports"
	OpRelease     = "release"
	OpLoad        = "load"
	OpCacheEvents = "cache_events"
	OpOrder       = "order"
	OpClaim       = "claim"
	OpComplete    = "complete"
)

// Handler serves the engine's protocol and its control endpoints.
type Handler struct {
	node   *Node
	faults *fault.Set
	mux    *http.ServeMux
	exit   func()
	// streams is the number of open streams.
	streams atomic.Int64
}

// NewHandler returns the handler for a node. The caller keeps ownership of the
// node and the faults.
func NewHandler(n *Node, faults *fault.Set) *Handler {
	h := &Handler{node: n, faults: faults, mux: http.NewServeMux(), exit: fault.Exit}
	h.unary("GET "+engine.PathInfo, OpInfo, read(n, (*Core).Info))
	h.unary("GET "+engine.PathRuns, OpRuns, read(n, (*Core).Runs))
	h.unary("GET "+engine.PathExports, OpExports, read(n, (*Core).Exports))
	h.unary("GET "+engine.PathLoad, OpLoad, read(n, (*Core).Load))
	h.unary("GET "+engine.PathCacheEvents, OpCacheEvents, h.cacheEvents)
	h.unary("POST "+engine.PathPrefill, OpPrefill, h.prefill)
	h.unary("POST "+engine.PathCancel, OpCancel, h.cancel)
	h.unary("DELETE "+engine.PathExports, OpRelease, h.release)
	h.unary("POST "+engine.PathOrders, OpOrder, h.order)
	h.unary("POST "+engine.PathClaim, OpClaim, h.claim)
	h.unary("POST "+engine.PathComplete, OpComplete, h.complete)
	h.mux.HandleFunc("POST "+engine.PathDecode, h.decode)
	h.mux.HandleFunc("GET "+engine.PathStream, h.resume)
	h.mux.HandleFunc("GET "+PathState, read(n, (*Core).State))
	h.mux.HandleFunc(fault.Path, faults.Control(h.applyFactors))
	return h
}

// Streams returns the number of open streams.
func (h *Handler) Streams() int {
	return int(h.streams.Load())
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) unary(pattern, op string, f http.HandlerFunc) {
	h.mux.HandleFunc(pattern, h.faults.Unary(op, f))
}

func (h *Handler) applyFactors() {
	slow, link := h.faults.Factor(fault.Slow), h.faults.Factor(fault.Link)
	h.node.Do(func(c *Core) { c.SetFactors(slow, link) })
}

func read[T any](n *Node, get func(*Core) T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		var out T
		n.Do(func(c *Core) { out = get(c) })
		server.Reply(w, http.StatusOK, out)
	}
}

func (h *Handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue(engine.ParamAfter), 10, 64)
	if err != nil {
		replyError(w, fmt.Errorf("%w: %v", engine.ErrInvalid, err))
		return
	}
	read(h.node, func(c *Core) []engine.CacheEvent { return c.CacheEvents(after) })(w, r)
}

// prefill starts a prefill that continues after its caller disconnects, until it is
// cancelled.
func (h *Handler) prefill(w http.ResponseWriter, r *http.Request) {
	var req engine.PrefillRequest
	if !readBody(w, r, &req) {
		return
	}
	var j *prefillJob
	var err error
	h.node.Do(func(c *Core) { j, err = c.Prefill(req) })
	if err != nil || j == nil {
		replyError(w, err)
		return
	}
	select {
	case <-j.done:
	case <-h.node.ctx.Done():
		replyError(w, engine.ErrUnavailable)
		return
	}
	if j.err != nil {
		replyError(w, j.err)
		return
	}
	server.Reply(w, http.StatusOK, j.kv)
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.FormValue(engine.ParamRun)
	h.node.Do(func(c *Core) { c.Cancel(id) })
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) release(w http.ResponseWriter, r *http.Request) {
	handle := r.FormValue(engine.ParamHandle)
	h.node.Do(func(c *Core) { c.ReleaseKV(handle) })
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !readBody(w, r, &o) {
		return
	}
	var err error
	h.node.Do(func(c *Core) { err = c.Order(o) })
	replyDone(w, err)
}

func (h *Handler) claim(w http.ResponseWriter, r *http.Request) {
	var cl Claim
	if !readBody(w, r, &cl) {
		return
	}
	var out ClaimReply
	var err error
	h.node.Do(func(c *Core) { out, err = c.Claim(cl) })
	if err != nil {
		replyError(w, err)
		return
	}
	server.Reply(w, http.StatusOK, out)
}

func (h *Handler) complete(w http.ResponseWriter, r *http.Request) {
	var cl Claim
	if !readBody(w, r, &cl) {
		return
	}
	var err error
	h.node.Do(func(c *Core) { err = c.Complete(cl.Handle) })
	replyDone(w, err)
}

func replyDone(w http.ResponseWriter, err error) {
	if err != nil {
		replyError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func replyError(w http.ResponseWriter, err error) {
	if err == nil {
		err = engine.ErrUnavailable
	}
	status, body := engine.EncodeError(err)
	server.Reply(w, status, body)
}

func readBody(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		replyError(w, fmt.Errorf("%w: %v", engine.ErrInvalid, err))
		return false
	}
	return true
}
