package entry

import (
	"crypto/rand"
	"net/http"
	"time"

	"github.com/hibiscusspur/hibiscusspur/apikey"
	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
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
		s.refuseCaller(w, "", outcome.Refuse(outcome.NotFound, 0), "")
	})
	return identified(mux)
}

// route serves one method of a path, and refuses all others.
func (s *Service) route(mux *http.ServeMux, method, path string, h http.HandlerFunc) {
	mux.HandleFunc(method+" "+path, h)
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", method)
		s.refuseCaller(w, "", outcome.Refuse(outcome.MethodNotAllowed, 0), "")
	})
}

// identified gives every answer the id of its request.
func identified(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(requestIDHeader, requestID(r.Header))
		h.ServeHTTP(w, r)
	})
}

type handlerFunc func(w http.ResponseWriter, r *http.Request, c caller)

// authenticated finds the caller's contract by its bearer key.
func (s *Service) authenticated(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.informed.Load() {
			s.refuseCaller(w, "", outcome.Refuse(outcome.StoreUnavailable, storeRetry), "")
			return
		}
		if err := s.poller.refresh(r.Context()); err != nil {
			s.polled(r.Context(), err)
		}
		c, ok := s.authenticate(r)
		if !ok {
			s.refuseCaller(w, "", outcome.Refuse(outcome.Unauthenticated, 0), "")
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

func (s *Service) refuseCaller(w http.ResponseWriter, brand string, o outcome.Outcome, param string) {
	s.countRefusal(w.Header(), o, param)
	writeError(w, brand, o, param, true)
}

// countRefusal counts and logs a refusal whose answer has the headers h.
func (s *Service) countRefusal(h http.Header, o outcome.Outcome, param string) {
	s.met.Refused(o.Reason)
	s.met.Ended(o.Kind)
	event.RequestRefused.Log(s.log).Str("request", h.Get(requestIDHeader)).
		Str("outcome", o.String()).Str("param", param).Msg("")
}

func (s *Service) chat(w http.ResponseWriter, r *http.Request, c caller) {
	var body chatRequest
	if !s.decode(w, r, c, &body) {
		return
	}
	s.serve(w, r, c, ask{
		invalid: body.check(),
		chat:    true,
		model:   body.Model,
		prompt:  body.prompt(),
		max:     max(body.MaxTokens, body.MaxCompletionTokens),
		empty:   len(body.Messages) == 0,
		field:   "messages",
		stream:  body.Stream,
		usage:   body.StreamOptions.IncludeUsage,
	})
}

func (s *Service) complete(w http.ResponseWriter, r *http.Request, c caller) {
	var body completionRequest
	if !s.decode(w, r, c, &body) {
		return
	}
	s.serve(w, r, c, ask{
		invalid: body.check(),
		model:   body.Model,
		prompt:  string(body.Prompt),
		max:     body.MaxTokens,
		empty:   body.Prompt == "",
		field:   "prompt",
		stream:  body.Stream,
		usage:   body.StreamOptions.IncludeUsage,
	})
}

// ask is what a caller wants, in either form of the interface.
type ask struct {
	chat   bool
	model  string
	prompt string
	// field is the name of the field that gave the prompt; empty is set when
	// nothing was in it.
	field string
	empty bool
	// invalid names a field that can't be served.
	invalid string
	max     int
	stream  bool
	usage   bool
}

// serve runs one request and writes its one end.
func (s *Service) serve(w http.ResponseWriter, hr *http.Request, c caller, a ask) {
	if param := checkAsk(hr, a); param != "" {
		s.refuseCaller(w, c.contract.Brand, outcome.Refuse(outcome.BadRequest, 0), param)
		return
	}
	class, out, param := classFor(hr, c, a.model)
	if class == nil {
		s.refuseCaller(w, c.contract.Brand, out, param)
		return
	}
	r := s.newRequest(hr, c, class, a)
	if m := c.contract.Limits.MaxPromptTokens; m > 0 && r.tokens > m {
		s.refuseCaller(w, c.contract.Brand, outcome.Refuse(outcome.PromptTooLong, 0), a.field)
		return
	}
	allow, done, out, ok := s.limits.admit(c.contract, s.pool.coverOf(r.model))
	if !ok {
		s.refuseCaller(w, c.contract.Brand, out, "")
		return
	}
	defer done()
	r.allow = allow
	sh := shape{id: r.id, model: a.model, chat: a.chat, usage: a.usage, created: r.begun}
	var stream *streamSink
	if a.stream {
		stream = newStreamSink(sh, w)
		r.out = stream
	} else {
		r.out = &wholeSink{shape: sh, w: w}
	}
	ctx, end := s.callers.Watch(httpserver.CallerOf(w), r.deadline)
	defer end()
	s.finish(w, c, r, stream, s.executeGuarded(ctx, r))
}

// checkAsk returns the field or header that can't be served, or nothing.
func checkAsk(hr *http.Request, a ask) string {
	if a.invalid != "" {
		return a.invalid
	}
	if _, ok := idempotencyKey(hr.Header); !ok {
		return idempotencyHeader
	}
	switch {
	case a.model == "":
		return "model"
	case a.empty:
		return a.field
	case a.stream && !hr.ProtoAtLeast(1, 1):
		return "stream"
	}
	return ""
}

// classFor returns the class of a request, or how it is refused and for which parameter.
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

// finish writes what is left to say: nothing after a whole answer, an error
// event in a stream that has begun, an error body otherwise.
func (s *Service) finish(w http.ResponseWriter, c caller, r *request, stream *streamSink, o outcome.Outcome) {
	s.met.Ended(o.Kind)
	event.RequestEnded.Log(s.log).Str("request", w.Header().Get(requestIDHeader)).Str("run", r.id).Str("customer", r.customer).Str("class", r.class.Name).
		Str("outcome", o.String()).Int("tokens", r.received).Dur("took", time.Since(r.begun)).Msg("")
	if o.Kind == outcome.Completed {
		return
	}
	s.met.Refused(o.Reason)
	again := !r.class.Unrepeatable
	if stream != nil && stream.begun {
		_ = stream.event(errorOf(c.contract.Brand, withRetryAfter(o, again), ""))
		return
	}
	writeError(w, c.contract.Brand, o, "", again)
}

func (s *Service) newRequest(hr *http.Request, c caller, class *contract.Class, a ask) *request {
	now := time.Now()
	key, _ := idempotencyKey(hr.Header)
	limit := c.contract.Limits.MaxOutputTokens
	if a.max <= 0 || (limit > 0 && a.max > limit) {
		a.max = limit
	}
	return &request{
		id:       rand.Text(),
		customer: c.contract.Customer,
		key:      key,
		class:    class,
		revision: c.revision,
		share:    c.contract.Share,
		model:    a.model,
		prompt:   a.prompt,
		tokens:   engine.EstimateTokens(a.prompt),
		hashes:   engine.PrefixHashes(a.prompt),
		max:      a.max,
		begun:    now,
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
				list.Data = append(list.Data, infoOf(m, c))
			}
		}
	}
	_ = writeJSON(w, http.StatusOK, list)
}

func (s *Service) model(w http.ResponseWriter, r *http.Request, c caller) {
	m := r.PathValue("model")
	if _, ok := c.contract.ClassFor(m, ""); !ok {
		s.refuseCaller(w, c.contract.Brand, outcome.Refuse(outcome.ModelNotInContract, 0), "model")
		return
	}
	_ = writeJSON(w, http.StatusOK, infoOf(m, c))
}

func infoOf(model string, c caller) modelInfo {
	return modelInfo{ID: model, Object: "model", OwnedBy: c.contract.Brand}
}

// Answers of the health check; all but ready have status 503.
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
	case !s.informed.Load():
		state = healthStarting
	}
	if state != healthReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(state + "\n"))
}
