package entry

import (
	"crypto/rand"
	"net/http"
	"time"

	"github.com/hibiscusspur/hibiscusspur/apikey"
	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// caller is an authenticated caller and its contract.
type caller struct {
	contract *contract.Contract
	revision uint64
}

func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	s.route(mux, http.MethodPost, "/v1/chat/completions", s.authenticated(s.chat))
	s.route(mux, http.MethodPost, "/v1/completions", s.authenticated(s.complete))
	s.route(mux, http.MethodGet, "/v1/models", s.authenticated(s.models))
	s.route(mux, http.MethodGet, "/v1/models/{model...}", s.authenticated(s.model))
	s.route(mux, http.MethodPost, "/v1/tickets", s.authenticated(s.tickets))
	s.route(mux, http.MethodGet, "/healthz", s.health)
	mux.HandleFunc("/services/{service}/{path...}", s.authenticated(s.callService))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		s.refuseRequest(w, "", outcome.Refuse(outcome.NotFound, 0), "")
	})
	return withRequestID(mux)
}

// route serves one method of a path, and refuses all others.
func (s *Service) route(mux *http.ServeMux, method, path string, h http.HandlerFunc) {
	mux.HandleFunc(method+" "+path, h)
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", method)
		s.refuseRequest(w, "", outcome.Refuse(outcome.MethodNotAllowed, 0), "")
	})
}

// withRequestID sets the id of the request on every response.
func withRequestID(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(requestIDHeader, requestID(r.Header))
		h.ServeHTTP(w, r)
	})
}

type handlerFunc func(w http.ResponseWriter, r *http.Request, c caller)

// authenticated looks up the caller's contract by its bearer key.
func (s *Service) authenticated(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.configured.Load() {
			s.refuseRequest(w, "", outcome.Refuse(outcome.StoreUnavailable, storeRetryAfter), "")
			return
		}
		if err := s.poller.refreshIfOverdue(r.Context()); err != nil {
			s.recordPoll(r.Context(), err)
		}
		c, ok := s.authenticate(r)
		if !ok {
			s.refuseRequest(w, "", outcome.Refuse(outcome.Unauthenticated, 0), "")
			return
		}
		h(w, r, c)
	}
}

func (s *Service) authenticate(r *http.Request) (caller, bool) {
	key, ok := bearer(r.Header)
	if !ok {
		return caller{}, false
	}
	customer, ok := s.index.CustomerByKey(apikey.Of(key))
	if !ok {
		return caller{}, false
	}
	c, rev, ok := s.index.Contract(customer)
	return caller{contract: c, revision: rev}, ok
}

func (s *Service) refuseRequest(w http.ResponseWriter, brand string, o outcome.Outcome, param string) {
	s.countRefusal(w.Header(), o, param)
	writeError(w, brand, o, param, true)
}

// countRefusal counts and logs a refusal whose response has the headers h.
func (s *Service) countRefusal(h http.Header, o outcome.Outcome, param string) {
	s.metrics.Refused(o.Reason)
	s.metrics.Ended(o.Kind)
	event.RequestRefused.Log(s.log).Str("request", h.Get(requestIDHeader)).
		Str("outcome", o.String()).Str("param", param).Msg("")
}

func (s *Service) chat(w http.ResponseWriter, r *http.Request, c caller) {
	var body chatRequest
	if !s.decode(w, r, c, &body) {
		return
	}
	s.serve(w, r, c, modelRequest{
		invalidField: body.invalidField(),
		chat:         true,
		model:        body.Model,
		prompt:       body.prompt(),
		maxTokens:    max(body.MaxTokens, body.MaxCompletionTokens),
		sharedParts:  body.sharedMessages(),
		promptEmpty:  len(body.Messages) == 0,
		promptField:  "messages",
		stream:       body.Stream,
		usage:        body.StreamOptions.IncludeUsage,
	})
}

func (s *Service) complete(w http.ResponseWriter, r *http.Request, c caller) {
	var body completionRequest
	if !s.decode(w, r, c, &body) {
		return
	}
	s.serve(w, r, c, modelRequest{
		invalidField: body.invalidField(),
		model:        body.Model,
		prompt:       string(body.Prompt),
		maxTokens:    body.MaxTokens,
		promptEmpty:  body.Prompt == "",
		promptField:  "prompt",
		stream:       body.Stream,
		usage:        body.StreamOptions.IncludeUsage,
	})
}

// modelRequest is a decoded chat or completion request.
type modelRequest struct {
	chat   bool
	model  string
	prompt string
	// sharedParts identifies the parts of the prompt that other requests may have too.
	sharedParts []string
	// promptField is the name of the field with the prompt; promptEmpty is set when it was empty.
	promptField string
	promptEmpty bool
	// invalidField names a field that can't be served.
	invalidField string
	maxTokens    int
	stream       bool
	usage        bool
}

// serve runs one request and writes its response.
func (s *Service) serve(w http.ResponseWriter, hr *http.Request, c caller, m modelRequest) {
	if param := invalidParam(hr, m); param != "" {
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.BadRequest, 0), param)
		return
	}
	class, out, param := classFor(hr, c, m.model)
	if class == nil {
		s.refuseRequest(w, c.contract.Brand, out, param)
		return
	}
	r := s.newRequest(hr, c, class, m)
	if limit := c.contract.Limits.MaxPromptTokens; limit > 0 && r.promptTokens > limit {
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.PromptTooLong, 0), m.promptField)
		return
	}
	if out, held := s.quarantined(&r.content); held {
		s.refuseRequest(w, c.contract.Brand, out, "")
		return
	}
	allow, done, out, ok := s.limiter.admit(c.contract, s.pool.coverageOf(r.model))
	if !ok {
		s.refuseRequest(w, c.contract.Brand, out, "")
		return
	}
	defer done()
	r.allowance = allow
	format := answerFormat{id: r.id, model: m.model, chat: m.chat, usage: m.usage, created: r.start}
	var stream *streamSink
	if m.stream {
		stream = newStreamSink(format, w)
		r.out = stream
	} else {
		r.out = &bufferedSink{answerFormat: format, w: w}
	}
	ctx, end := s.callers.Watch(httpserver.CallerOf(w), r.deadline)
	defer end()
	s.finish(w, c, r, stream, s.executeGuarded(ctx, r))
}

// invalidParam returns the name of a field or header that can't be served, or an empty string.
func invalidParam(hr *http.Request, m modelRequest) string {
	if m.invalidField != "" {
		return m.invalidField
	}
	if _, ok := idempotencyKey(hr.Header); !ok {
		return idempotencyHeader
	}
	switch {
	case m.model == "":
		return "model"
	case m.promptEmpty:
		return m.promptField
	case m.stream && !hr.ProtoAtLeast(1, 1):
		return "stream"
	}
	return ""
}

// classFor returns the class of a request, or the refusal and the parameter at fault.
func classFor(hr *http.Request, c caller, model string) (*contract.Class, outcome.Outcome, string) {
	class, ok := c.contract.ClassFor(model, hr.Header.Get(classHeader))
	if ok {
		return class, outcome.Outcome{}, ""
	}
	if _, ok := c.contract.ClassFor(model, ""); ok {
		return nil, outcome.Refuse(outcome.BadRequest, 0), classHeader
	}
	return nil, outcome.Refuse(outcome.ModelNotInContract, 0), "model"
}

// finish writes the rest of the response: nothing after a complete answer, an error event in a stream
// that has begun, an error body otherwise.
func (s *Service) finish(w http.ResponseWriter, c caller, r *request, stream *streamSink, o outcome.Outcome) {
	s.metrics.Ended(o.Kind)
	event.RequestEnded.Log(s.log).Str("request", w.Header().Get(requestIDHeader)).Str("run", r.id).Str("customer", r.customer).Str("class", r.class.Name).
		Str("outcome", o.String()).Int("tokens", r.received).Dur("took", time.Since(r.start)).Msg("")
	if o.Kind == outcome.Completed {
		return
	}
	s.metrics.Refused(o.Reason)
	repeatable := !r.class.Unrepeatable
	if stream != nil && stream.started {
		_ = stream.writeEvent(errorOf(c.contract.Brand, withRetryAfter(o, repeatable), ""))
		return
	}
	writeError(w, c.contract.Brand, o, "", repeatable)
}

func (s *Service) newRequest(hr *http.Request, c caller, class *contract.Class, m modelRequest) *request {
	now := time.Now()
	key, _ := idempotencyKey(hr.Header)
	limit := c.contract.Limits.MaxOutputTokens
	if m.maxTokens <= 0 || (limit > 0 && m.maxTokens > limit) {
		m.maxTokens = limit
	}
	return &request{
		id:             rand.Text(),
		customer:       c.contract.Customer,
		idempotencyKey: key,
		class:          class,
		revision:       c.revision,
		share:          c.contract.Share,
		model:          m.model,
		prompt:         m.prompt,
		promptTokens:   engine.EstimateTokens(m.prompt),
		prefixHashes:   engine.PrefixHashes(m.prompt),
		maxTokens:      m.maxTokens,
		content: content{parts: m.sharedParts, request: func() fingerprint.Request {
			return fingerprint.Request{Caller: c.contract.Customer, Method: hr.Method, Target: m.model, Body: []byte(m.prompt)}
		}},
		start:    now,
		deadline: now.Add(class.Deadline),
	}
}

func (s *Service) models(w http.ResponseWriter, _ *http.Request, c caller) {
	list := modelList{Object: "list", Data: []modelInfo{}}
	seen := make(map[string]bool)
	for _, cl := range c.contract.Classes {
		for _, m := range cl.Models {
			if !seen[m] {
				seen[m] = true
				list.Data = append(list.Data, modelInfoOf(m, c))
			}
		}
	}
	_ = writeJSON(w, http.StatusOK, list)
}

func (s *Service) model(w http.ResponseWriter, r *http.Request, c caller) {
	m := r.PathValue("model")
	if _, ok := c.contract.ClassFor(m, ""); !ok {
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.ModelNotInContract, 0), "model")
		return
	}
	_ = writeJSON(w, http.StatusOK, modelInfoOf(m, c))
}

func modelInfoOf(model string, c caller) modelInfo {
	return modelInfo{ID: model, Object: "model", OwnedBy: c.contract.Brand}
}

// Responses of the health check; all but ready have status 503.
const (
	healthReady    = "ready"
	healthStarting = "starting"
	healthDraining = "draining"
)

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	state := healthReady
	switch {
	case s.draining.Load():
		state = healthDraining
	case !s.configured.Load():
		state = healthStarting
	}
	if state != healthReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(state + "\n"))
}
