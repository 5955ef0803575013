package forward

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/membudget"
	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// job is one request in progress. It belongs to one goroutine.
type job struct {
	w     http.ResponseWriter
	r     *http.Request
	meta  Meta
	body  []byte
	table *route.Table
	route *route.Route
	// service is the target drawn for this request.
	service string
	arrived time.Time
	// deadline is when the client's or the route's timeout expires.
	deadline time.Time
	// retried is set if this is a client's retry after a rejection.
	retried bool
	// retryDetected is set once retried is known.
	retryDetected bool
	caller        httpserver.Caller

	// sends counts the sends that reached, or may have reached, a server.
	sends int
	// ran is set once a server may have started the request.
	ran bool
	// waited is how long the request waited for an engine.
	waited time.Duration
	// prefillTime is how long the prefill took, firstEvent the time until the first event.
	prefillTime, firstEvent time.Duration
	// generated is the number of tokens sent to the client, expected the number predicted at first; freeMemory is the
	// expected free memory of the engine, and maxEventGap the longest interval between two events. generatedBefore is
	// the number of tokens from earlier servers.
	generated, expected, freeMemory, generatedBefore int
	maxEventGap                                      time.Duration
	// software lists the versions of the engines whose events were sent to the client.
	software []string
	// tenant is the customer that holds the request's key; nil if there is none.
	tenant *route.Tenant
	// shortage is set if the request was rejected for lack of memory and has a customer.
	shortage *shortage
	// charged is the charge to the customer's quota.
	charged float64
	// servers are the instances that the request was sent to.
	servers []string
	// reserved are rate-limited servers at which one send is already counted for the request.
	reserved []string
	// prefilled are the engines that have prefilled the prompt.
	prefilled []prefillpool.Prefilled
	// prefills counts the wasted prefill of the prompt.
	prefills prefillLedger
	// trials are excluded engines to which the request is sent as a trial.
	trials []string
	// cachedDigest is the request's digest once it has been computed.
	cachedDigest *fingerprint.Digest
	// rooms is the room that the answers received so far take.
	rooms []membudget.Room
	// lastActivity is when a server was last sent the request, or last sent part of its answer.
	lastActivity time.Time
	// started is set once the head of the answer was sent to the client; status is its status.
	started bool
	status  int
}

func (j *job) left(now time.Time) time.Duration { return j.deadline.Sub(now) }

// target is the request's path and query as the client sent them.
func (j *job) target() string { return j.r.URL.RequestURI() }

// retryUnit is the precision of the Retry-After header; times are rounded down to it, since a client honours at most a
// third of the time that it has left.
const retryUnit = 10 * time.Millisecond

// refuse answers that the request has not run and never will, to be retried after the given time. It must only be
// called when nothing can have run.
func (f *Forwarder) refuse(j *job, reason outcome.Reason, after time.Duration) {
	if after > 0 {
		after = after.Truncate(retryUnit)
		j.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	if j.retried {
		f.Metrics.Counter(metrics.ClientRetriesRejected).Inc(1)
	}
	f.finish(j, refusalStatus(reason), outcome.NotRun, reason)
	e := event.RequestRejected.Log(f.Log).Str("request", j.meta.ID).Str("route", j.routeName()).
		Str("reason", string(reason)).Str("customer", j.customer()).Dur("waited", j.waited).Dur("retry_after", after).Int64("version", j.version())
	e = j.addResumed(e)
	if reason == outcome.Quarantined {
		e = e.Str("content", j.digest().String())
	}
	e.Msg("")
}

// promisesFalsely reports whether a server's answer would tell the client that a request has not run, though it may have: the
// server gave such a status without proof. Clients send a request that can't be repeated again after it. One that can be
// repeated gets the server's answer.
func (j *job) promisesFalsely(head AnswerHead) bool {
	if head.NotRun || j.route.Repeatable() {
		return false
	}
	switch head.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// refusalStatus is the status of an answer that says that a request has not run: 401 if its key was revoked, 429 if
// its customer's quota is exhausted, and 503 for reasons that are not the customer's.
func refusalStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.Unauthenticated, outcome.RateLimited:
		return reason.HTTPStatus()
	default:
		return http.StatusServiceUnavailable
	}
}

// fail answers that the request failed or may have run.
func (f *Forwarder) fail(j *job, reason outcome.Reason) {
	status := http.StatusBadGateway
	if reason == outcome.DeadlineExceeded {
		status = http.StatusGatewayTimeout
	}
	f.finish(j, status, outcome.Failed, reason)
}

// reject answers an invalid request.
func (f *Forwarder) reject(j *job, status int, reason outcome.Reason) {
	f.finish(j, status, outcome.NotRun, reason)
}

// finish writes an answer that the router itself produces.
func (f *Forwarder) finish(j *job, status int, kind outcome.Kind, reason outcome.Reason) {
	f.Metrics.Refused(reason)
	f.recordRefusal(j, reason)
	j.status = status
	if !j.caller.Gone() {
		f.head(j, AnswerHead{Status: status}, 0)
	}
	f.conclude(j, kind, reason)
}

// unknownLength is the length of an answer that is streamed.
const unknownLength = -1

// head writes the head of the answer, once.
func (f *Forwarder) head(j *job, head AnswerHead, length int) {
	j.started, j.status = true, head.Status
	h := j.w.Header()
	for name, values := range head.Header {
		h[name] = values
	}
	f.closeWhileDraining(j)
	if length != unknownLength {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	j.w.WriteHeader(head.Status)
}

// closeWhileDraining asks the client to use another connection while the process drains.
func (f *Forwarder) closeWhileDraining(j *job) {
	if f.draining() {
		j.w.Header().Set("Connection", "close")
		j.r.Close = true
	}
}

// addResumed adds to an event which stream the request resumes, if it does.
func (j *job) addResumed(e event.Line) event.Line {
	if !j.resumes() {
		return e
	}
	return e.Str("resumes", j.meta.Resumes).Str("resumed_after", j.meta.LastEventID)
}

func (f *Forwarder) conclude(j *job, kind outcome.Kind, reason outcome.Reason) {
	now := time.Now()
	f.refundQuota(j)
	f.returnSends(j)
	f.Metrics.Ended(kind)
	f.Metrics.Timer(metrics.RequestTimePrefix + j.kindName()).Update(now.Sub(j.arrived))
	e := event.RequestAnswered.Log(f.Log).Str("request", j.meta.ID).Str("route", j.routeName()).
		Str("service", j.service).Strs("servers", j.servers).Int("status", j.status).Str("outcome", kind.String())
	if reason != "" {
		e = e.Str("reason", string(reason))
	}
	if name := j.customer(); name != "" {
		e = e.Str("customer", name)
	}
	if j.meta.PromptTokens > 0 {
		e = e.Int("prompt", j.meta.PromptTokens).Int("max_tokens", j.meta.MaxTokens).Int("length_hint", j.meta.LengthHint).
			Dur("read", j.prefillTime).Dur("first", j.firstEvent).Dur("patience", j.meta.ClientTimeout).Bool("late", j.retried).
			Int("generated", j.generated).Int("expected", j.expected).Int("room", j.freeMemory).Dur("pause", j.maxEventGap)
	}
	if len(j.software) > 0 {
		e = e.Strs("software", j.software)
	}
	e = j.addResumed(e)
	e = f.recordWaste(j, e, reason)
	e.Int("sends", j.sends).Dur("waited", j.waited).Dur("took", now.Sub(j.arrived)).
		Dur("left", j.left(now)).Int64("version", j.version()).Msg("")
}

func (j *job) routeName() string {
	if j.route == nil {
		return ""
	}
	return j.route.Name
}

// customer is the name of the customer that holds the request's key; empty if there is none.
func (j *job) customer() string {
	if j.tenant == nil {
		return ""
	}
	return j.tenant.Name
}

func (j *job) kindName() string {
	if j.route == nil {
		return "none"
	}
	return j.route.Kind.String()
}

func (j *job) version() int64 {
	if j.table == nil {
		return 0
	}
	return j.table.Version
}

// digest returns the request's fingerprint.
func (j *job) digest() fingerprint.Digest {
	if j.cachedDigest == nil {
		d := fingerprint.Of(fingerprint.Request{
			Caller: j.meta.Caller, Method: j.r.Method, Host: hostOf(j.r), Target: j.target(), Body: j.body,
		})
		j.cachedDigest = &d
	}
	return *j.cachedDigest
}

// attemptFailed records why server s does not answer a request that was sent to it.
func (f *Forwarder) attemptFailed(j *job, s registry.Server, reason outcome.Reason, err error) {
	f.Metrics.Counter(metrics.AttemptFailedPrefix + string(reason)).Inc(1)
	if errors.Is(err, response.ErrMalformed) {
		f.Metrics.Counter(metrics.AnswersMalformed).Inc(1)
	}
	f.engineFailed(s, reason, err)
	if err != nil && f.attempts.hasTerminated(s.ID) {
		err = errors.Join(errIncarnationTerminated, err)
	}
	e := event.AttemptFailed.Log(f.Log).Str("request", j.meta.ID).Str("service", s.Service).Str("server", s.ID).
		Str("stage", s.Stage.String()).Str("reason", string(reason)).Int("sends", j.sends).Dur("since", time.Since(j.arrived))
	if err != nil {
		e = e.Err(err)
	}
	if j.cachedDigest != nil {
		e = e.Str("content", j.cachedDigest.String()).Strs("parts", j.meta.SharedParts).Int("generated", j.generated-j.generatedBefore)
	}
	e.Msg("")
}
