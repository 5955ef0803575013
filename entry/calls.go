package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// Headers that are forwarded to and from a plain service.
var (
	requestHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match", idempotencyHeader}
	replyHeaders   = []string{"Content-Type", "Content-Language", "Content-Disposition", "Location", "Etag", "Last-Modified", "Cache-Control", retryAfterHeader}
)

// servicePrefix begins the paths of plain services, which are called by name.
const servicePrefix = "/services/"

// callService routes one call of a plain service.
func (s *Service) callService(w http.ResponseWriter, hr *http.Request, c caller) {
	name := hr.PathValue("service")
	svc, ok := c.contract.ServiceFor(name)
	if !ok {
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.NotFound, 0), "service")
		return
	}
	key, param := checkCall(hr)
	if param != "" {
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.BadRequest, 0), param)
		return
	}
	body, ok := s.readBody(w, hr, c)
	if !ok {
		return
	}
	path := servicePath(hr)
	target := withQuery(path, hr.URL.RawQuery)
	work := content{request: func() fingerprint.Request {
		return fingerprint.Request{Caller: c.contract.Customer, Method: hr.Method, Host: name, Target: target, Body: body}
	}}
	if out, held := s.quarantined(&work); held {
		s.refuseRequest(w, c.contract.Brand, out, "")
		return
	}
	allow, done, out, ok := s.limiter.admit(c.contract, s.pool.coverageOf(name))
	if !ok {
		s.refuseRequest(w, c.contract.Brand, out, "")
		return
	}
	defer done()
	r := &call{
		allowance:    allow,
		content:      work,
		id:           rand.Text(),
		caller:       c,
		service:      svc,
		unrepeatable: svc.IsUnrepeatable(hr.Method, path),
		template: &wire.Call{
			Service: name,
			Method:  hr.Method,
			Path:    target,
			Headers: forwardedHeaders(hr.Header, w.Header().Get(requestIDHeader)),
			Body:    body,
		},
	}
	ctx, end := s.callers.Watch(httpserver.CallerOf(w), time.Now().Add(svc.Timeout))
	defer end()
	reply, out := s.executeCallGuarded(ctx, r, key)
	s.finishCall(w, r, reply, out)
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// checkCall returns the idempotency key, or the parameter that can't be forwarded: the links between
// processes carry text, and a service has to receive what the caller sent.
func checkCall(hr *http.Request) (key, param string) {
	key, ok := idempotencyKey(hr.Header)
	if !ok {
		return "", idempotencyHeader
	}
	if !isPrintable(hr.URL.RawQuery) {
		return "", "query"
	}
	for _, n := range requestHeaders {
		if !isPrintable(hr.Header.Get(n)) {
			return "", n
		}
	}
	return key, ""
}

// servicePath returns the path after the service's name, still escaped: decoded, an escaped slash or question
// mark would mean something else to the service.
func servicePath(hr *http.Request) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(hr.URL.EscapedPath(), servicePrefix), "/")
	return "/" + path
}

func forwardedHeaders(h http.Header, requestID string) []*wire.Header {
	out := []*wire.Header{{Name: requestIDHeader, Value: requestID}}
	for _, n := range requestHeaders {
		if v := h.Get(n); v != "" {
			out = append(out, &wire.Header{Name: n, Value: v})
		}
	}
	return out
}

// call is one call of a plain service. It belongs to one goroutine.
type call struct {
	id           string
	caller       caller
	service      *contract.Service
	unrepeatable bool
	template     *wire.Call
	allowance    allowance
	content      content
}

// executeCallGuarded claims the idempotency key of an unrepeatable call first.
func (s *Service) executeCallGuarded(ctx context.Context, r *call, key string) (*wire.Reply, outcome.Outcome) {
	if !r.unrepeatable || key == "" {
		return s.executeCall(ctx, r)
	}
	var reply *wire.Reply
	out := s.guard.runWithKey(ctx, r.caller.contract.Customer, key, r.id, func() (o outcome.Outcome) {
		reply, o = s.executeCall(ctx, r)
		return o
	})
	return reply, out
}

// executeCall runs the call to its one outcome.
func (s *Service) executeCall(ctx context.Context, r *call) (*wire.Reply, outcome.Outcome) {
	deadline, _ := ctx.Deadline()
	t := s.retrier.tracker(r.caller.contract.Customer, r.unrepeatable, deadline)
	for n := uint32(1); ; n++ {
		p := pickLessLoaded(s.pool.candidates(r.service.Name, t.decision.ExcludeIDs, roleService))
		if p == nil {
			return nil, t.conclude(outcome.Refuse(outcome.NoBackend, noBackendRetryAfter))
		}
		if n > 1 {
			if out, held := s.quarantined(&r.content); held {
				return nil, t.conclude(out)
			}
		}
		e := end{backend: p.backend.ID, incarnation: p.incarnation()}
		reply, out := s.tryCall(ctx, r, p, n, &e.engineLosses)
		e.outcome = out
		s.recordEnd(&r.content, e)
		final, again := t.attemptEnded(ctx, retryAttemptAt(out, p, out.Kind != outcome.NotRun), 0, 0)
		if !again {
			return reply, final
		}
	}
}

// newMessage returns the message of one attempt. It is a new one each time, since a frame belongs to the link
// that it was sent on.
func (r *call) newMessage(key wire.Key) *wire.Call {
	terms := &wire.Terms{
		Customer:         r.caller.contract.Customer,
		ContractRevision: r.caller.revision,
		Unrepeatable:     r.unrepeatable,
	}
	r.allowance.addTo(terms, key.Attempt)
	return &wire.Call{
		Ref:     key.Ref(),
		Terms:   terms,
		Service: r.template.GetService(),
		Method:  r.template.GetMethod(),
		Path:    r.template.GetPath(),
		Headers: r.template.GetHeaders(),
		Body:    r.template.GetBody(),
	}
}

// tryCall makes one attempt. It sets engineLosses if the service was lost during it.
func (s *Service) tryCall(ctx context.Context, r *call, p *peer, n uint32, engineLosses *uint32) (*wire.Reply, outcome.Outcome) {
	key := wire.Key{RequestID: r.id, Attempt: n}
	fl := p.openFlow(key)
	defer fl.close()
	defer func() { _ = fl.send(cancelFrame(key)) }()
	incarnation := p.incarnation()
	if err := fl.send(&wire.EntryFrame{Body: &wire.EntryFrame_Call{Call: r.newMessage(key)}}); err != nil {
		return nil, outcome.Refuse(outcome.LinkDown, 0)
	}
	for {
		f, err := fl.recv(ctx)
		switch {
		case errors.Is(err, errLinkDown):
			if out, ok := s.reattachCall(ctx, fl, incarnation); !ok {
				return nil, out
			}
		case err != nil:
			return nil, outcome.Indeterminate(causeReason(err), "")
		case f.GetReply() != nil:
			return checkReply(f.GetReply())
		case f.GetRefused() != nil:
			*engineLosses = f.GetRefused().GetEngineLosses()
			return nil, refusedOutcome(f.GetRefused())
		}
	}
}

// checkReply returns the reply if it can be passed on as a response.
func checkReply(reply *wire.Reply) (*wire.Reply, outcome.Outcome) {
	h := make(http.Header)
	for _, field := range reply.GetHeaders() {
		h[field.GetName()] = append(h[field.GetName()], field.GetValue())
	}
	if err := response.Check(int(reply.GetStatus()), h); err != nil {
		return nil, outcome.Indeterminate(outcome.AnswerIncomplete, err.Error())
	}
	return reply, outcome.Outcome{Kind: outcome.Completed}
}

func (s *Service) reattachCall(ctx context.Context, fl *flow, incarnation string) (outcome.Outcome, bool) {
	wait, cancel := context.WithTimeoutCause(ctx, s.settings.Timing.Reattach, errNoAnswer)
	defer cancel()
	if err := fl.peer.waitUp(wait); err != nil {
		return outcome.Indeterminate(outcome.LinkDown, ""), false
	}
	if fl.peer.incarnation() != incarnation {
		return outcome.Indeterminate(outcome.SidecarRestarted, ""), false
	}
	_ = fl.send(&wire.EntryFrame{Body: &wire.EntryFrame_Attach{Attach: &wire.Attach{Ref: fl.key.Ref()}}})
	return outcome.Outcome{}, true
}

func (s *Service) finishCall(w http.ResponseWriter, r *call, reply *wire.Reply, o outcome.Outcome) {
	s.metrics.Ended(o.Kind)
	event.RequestEnded.Log(s.log).Str("request", w.Header().Get(requestIDHeader)).Str("run", r.id).Str("customer", r.caller.contract.Customer).
		Str("service", r.service.Name).Str("outcome", o.String()).Msg("")
	if reply == nil {
		s.metrics.Refused(o.Reason)
		writeError(w, r.caller.contract.Brand, o, "", !r.unrepeatable)
		return
	}
	for _, h := range reply.GetHeaders() {
		for _, n := range replyHeaders {
			if http.CanonicalHeaderKey(h.GetName()) == n {
				w.Header().Add(n, h.GetValue())
			}
		}
	}
	if len(reply.GetBody()) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.GetBody())))
	}
	w.WriteHeader(int(reply.GetStatus()))
	_, _ = w.Write(reply.GetBody())
}
