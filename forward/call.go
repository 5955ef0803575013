package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/hibiscusspur/hibiscusspur/eventstream"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/overload"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// maxAnswer bounds an answer of a plain service. It is buffered until it is whole so that the request can be retried
// if it fails.
const maxAnswer int64 = 16 << 20

const (
	// maxFailure bounds the body of a server's failure that is passed on, which is a short text.
	maxFailure = 1 << 20
	// maxExport bounds the answer of a prefill engine that names the KV cache it exported.
	maxExport = 64 << 10
	// maxDiscarded bounds what is read of a refusal only to reuse its connection.
	maxDiscarded = 64 << 10
)

// answer is a whole answer of a plain service.
type answer struct {
	head AnswerHead
	body []byte
}

// Errors of attempts without an answer that can be passed on.
var (
	errNoStamp = errors.New("answer without a stamp, or with an encoded body")
	errNotRun  = errors.New("refused by the server")
	errFailed  = errors.New("failed by the server")
	// errRequestInvalid is the error of an answer that blames the request, as opposed to the server.
	errRequestInvalid = errors.New("the server says that the request is invalid")
	// errCooldownRequested accompanies errNotRun if the server says for how long it wants no requests.
	errCooldownRequested = errors.New("the server asked for a cooldown")
)

// call is a request of a plain service over all its attempts.
type call struct{ baseRequest }

// callAttempt is one attempt of a call at one server. It implements lifecycle.Attempt; a plain service has no
// reservation and no prefill.
type callAttempt struct {
	c      *call
	server registry.Server
}

// Place implements lifecycle.Request.
func (c *call) Place(context.Context) (*callAttempt, outcome.Outcome, bool) {
	s, why := c.f.choose(c.j, c.tried, c.version)
	if why != "" {
		return nil, c.noServerLeft(why), false
	}
	c.tried = append(c.tried, s.ID)
	return &callAttempt{c: c, server: s}, outcome.Outcome{}, true
}

// Ended implements lifecycle.Request.
func (c *call) Ended(ctx context.Context, _ *callAttempt, o outcome.Outcome) (outcome.Outcome, bool) {
	return c.afterAttempt(ctx, o)
}

// Reserve implements lifecycle.Attempt.
func (a *callAttempt) Reserve(context.Context) (outcome.Outcome, bool) {
	return outcome.Outcome{}, true
}

// Prefill implements lifecycle.Attempt.
func (a *callAttempt) Prefill(context.Context) (outcome.Outcome, bool) {
	return outcome.Outcome{}, true
}

// Answer implements lifecycle.Attempt.
func (a *callAttempt) Answer(ctx context.Context) outcome.Outcome {
	f, j := a.c.f, a.c.j
	got, err := f.callServer(ctx, j, a.server)
	if err == nil && j.promisesFalsely(got.head) {
		got, err = nil, errors.Join(errFailed, statusError(got.head.Status))
	}
	if err == nil && got.head.Status < http.StatusMultipleChoices {
		f.recordSuccess(j)
		a.c.begun(a.server.Version)
	}
	if err == nil && got.head.Status < http.StatusInternalServerError {
		return f.passOn(j, got)
	}
	if err == nil {
		a.c.failure = got
	}
	reason := f.reasonFor(ctx, err)
	f.attemptLost(j, a.server, reason, err)
	return j.unanswered(reason)
}

// Release implements lifecycle.Attempt.
func (a *callAttempt) Release() {}

func (f *Forwarder) reasonFor(ctx context.Context, err error) outcome.Reason {
	switch {
	case ctx.Err() != nil:
		return reasonOf(ctx)
	case err == nil, errors.Is(err, errFailed):
		return outcome.EngineError
	case errors.Is(err, errBlocked):
		return blockedReason(err)
	case withheldReason(err) != eligibility.None:
		return unavailableReason(withheldReason(err))
	case errors.Is(err, errNotRun):
		return outcome.NoDecodeSlot
	case errors.Is(err, errNoStamp), errors.Is(err, errNoMemory), errors.Is(err, errNoEnd):
		return outcome.AnswerIncomplete
	default:
		return outcome.EngineLost
	}
}

// callServer sends the request to one server and reads its whole answer. It returns errNotRun if the server proves
// that it did not run the request.
func (f *Forwarder) callServer(ctx context.Context, j *job, s registry.Server) (*answer, error) {
	start := time.Now()
	if f.mayHedge(j) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(hedgeShare*float64(j.left(start))))
		defer cancel()
	}
	f.beginCall(j, s)
	defer f.endCall(j, s)
	ctx, end := f.attempts.begin(ctx, s.ID)
	defer end()
	a, err := f.exchange(ctx, j, s)
	took := time.Since(start)
	if !noEvidence(err) {
		f.observeOutcome(j, s, err == nil && a.head.Status < http.StatusInternalServerError)
		f.observeLoad(j, s, err, took)
	}
	return a, err
}

// noEvidence reports whether a call shows nothing about whether its server fails requests, or about its load: it was not
// sent, its answer of known length found no room, or the server refused it and asked for a cooldown. The cooldown holds as
// long as the server says, and nothing that is inferred from the refusal extends it.
func noEvidence(err error) bool {
	return withheldReason(err) != eligibility.None || errors.Is(err, errBlocked) || errors.Is(err, errNoMemory) || errors.Is(err, errCooldownRequested)
}

// hedgeShare is the share of the remaining time after which a repeatable request is sent to another server: an
// unresponsive server then costs half of the time instead of all of it.
const hedgeShare = 0.5

// mayHedge reports whether another server may be tried when one is slow. Otherwise only the request's own deadline
// applies, so that the outcome is reported as a missed deadline.
func (f *Forwarder) mayHedge(j *job) bool {
	return j.route.Repeatable() && j.sends+1 < j.route.Attempts && !f.Off.Has(mechanism.Hedges)
}

func (f *Forwarder) exchange(ctx context.Context, j *job, s registry.Server) (*answer, error) {
	res, err := f.send(ctx, j, s, Send{LastEventID: j.meta.LastEventID})
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	head := f.Codec.ParseAnswer(res.Status, res.Header)
	if head.NotRun {
		discard(res)
		return nil, refusal(head)
	}
	if head.Status < http.StatusMultipleChoices && (!head.Stamped || head.Encoded) {
		return nil, errNoStamp
	}
	limit := maxAnswer
	if head.Status >= http.StatusInternalServerError {
		limit = maxFailure
	}
	body, err := f.receiveBody(j, res, limit)
	if err != nil {
		return nil, err
	}
	if res.Framing == response.FramedByConnection {
		if err := eventstream.CheckBody(res.Header.Get("Content-Type"), body); err != nil {
			return nil, err
		}
	}
	return &answer{head: head, body: body}, nil
}

// refusal returns the error of an answer that proves that the server did not run the request.
func refusal(head AnswerHead) error {
	err := fmt.Errorf("%w: status %d", errNotRun, head.Status)
	if head.Signals.Cooldown > 0 {
		return errors.Join(err, errCooldownRequested)
	}
	return err
}

// send sends the request to a server and returns the head of its answer. It marks the job as run unless the server
// certainly did not receive it.
func (f *Forwarder) send(ctx context.Context, j *job, s registry.Server, o Send) (*upstream.Response, error) {
	if err := f.checkBlocked(ctx, j); err != nil {
		return nil, errors.Join(upstream.ErrNotSent, err)
	}
	if err := f.admitSend(j, s.ID, o.Returns); err != nil {
		return nil, err
	}
	o.TimeLeft, o.Instance = j.left(time.Now()), s.Instance()
	o.Keyed, o.Customer = j.table.Tenants != nil, j.customer()
	ranBefore := j.ran
	j.generatedBefore, j.lastActivity = j.generated, time.Now()
	res, err := f.Pool.Do(ctx, s.Addr, &upstream.Request{
		Method: j.r.Method, Target: j.target(), Host: j.r.Host,
		Header: f.Codec.Outgoing(j.r.Header, o), Body: j.body,
		Admit:   func() error { return f.admitDeparted(s.ID, o.Returns) },
		Matches: func(h http.Header) bool { return f.Codec.Matches(j.meta.ID, h) },
		// A second answer to an earlier send would match this one.
		NewConnection: slices.Contains(j.servers, s.ID),
	})
	f.recordConnectError(s, err)
	if errors.Is(err, upstream.ErrNotSent) {
		return nil, err
	}
	j.servers = append(j.servers, s.ID)
	if !o.PrefillOnly {
		if !o.Continues {
			j.sends++
		}
		j.ran = true
	}
	if err != nil {
		return nil, err
	}
	j.lastActivity = time.Now()
	if res.Framing == response.FramedByConnection {
		f.Metrics.Counter(metrics.ConnectionFramed).Inc(1)
	}
	head := f.Codec.ParseAnswer(res.Status, res.Header)
	if !o.PrefillOnly && head.NotRun {
		j.ran = ranBefore
	}
	if head.Replaced {
		f.View.MarkReplaced(s)
		f.serverTerminated(s.ID, signReplaced)
		return res, nil
	}
	f.receiveAnswer(s, head, res.SentAt)
	return res, nil
}

// recordConnectError records that a server has terminated if its address refuses connections.
func (f *Forwarder) recordConnectError(s registry.Server, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.View.MarkDown(s)
		f.serverTerminated(s.ID, signConnectionRefused)
	}
}

// passOn sends a whole answer to the client.
func (f *Forwarder) passOn(j *job, a *answer) outcome.Outcome {
	f.head(j, a.head, len(a.body))
	if _, err := j.w.Write(a.body); err != nil {
		return outcome.Fail(outcome.CallerGone, err.Error())
	}
	if a.head.Status >= http.StatusInternalServerError {
		return outcome.Fail(outcome.EngineError, "")
	}
	return outcome.Outcome{Kind: outcome.Completed}
}

func (f *Forwarder) beginCall(j *job, c registry.Server) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.outstanding[c.ID]++
}

func (f *Forwarder) endCall(j *job, c registry.Server) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.outstanding[c.ID]--; s.outstanding[c.ID] <= 0 {
		delete(s.outstanding, c.ID)
	}
}

// observeLoad updates the limiter with the outcome of a call. A call that broke off is no evidence of its server's
// load.
func (f *Forwarder) observeLoad(j *job, c registry.Server, err error, took time.Duration) {
	refused := errors.Is(err, errNotRun)
	if err != nil && !refused {
		return
	}
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.limits.Observe(c.ID, overload.Outcome{Took: took, Objective: j.route.Objective, Rejected: refused}, time.Now())
}

func (f *Forwarder) observeOutcome(j *job, c registry.Server, ok bool) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.outliers.Observe(c.ID, ok, time.Now())
}
