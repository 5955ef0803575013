package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// maxAnswer bounds an answer of a plain service, which is held in memory until it is
// whole so that a failed one can be repeated.
const maxAnswer = 16 << 20

// answer is a whole answer of a plain service.
type answer struct {
	head AnswerHead
	body []byte
}

// Errors of answers that can't be passed on.
var (
	errNoStamp  = errors.New("answer without a stamp, or with an encoded body")
	errTooLarge = errors.New("answer too large")
	errNotRun   = errors.New("refused by the server")
)

// call answers a request of a plain service.
func (f *Forwarder) call(ctx context.Context, j *job) {
	var tried []string
	var last *answer
	reason := outcome.NoBackend
	for {
		s, ok := f.choose(j, tried)
		if !ok {
			break
		}
		if len(tried) > 0 && !f.mayRepeat(j) {
			reason = outcome.RetryBudgetSpent
			break
		}
		tried = append(tried, s.ID)
		a, err := f.attempt(ctx, j, s)
		if err == nil && !f.worthRepeating(j, a) {
			f.pass(j, a)
			return
		}
		if err == nil {
			last = a
		}
		reason = f.explain(ctx, err)
		f.attemptFailed(j, s, reason, err)
		if ctx.Err() != nil || !f.mayGoOn(j, err) {
			break
		}
		f.Metrics.Retried(reason)
	}
	if last != nil {
		f.pass(j, last)
		return
	}
	f.fail(j, reason)
}

// worthRepeating reports whether a failure of a server may be put right by another.
func (f *Forwarder) worthRepeating(j *job, a *answer) bool {
	return a.head.Status >= http.StatusInternalServerError && j.route.Repeatable()
}

// mayGoOn reports whether the request may be sent to one more server after err.
func (f *Forwarder) mayGoOn(j *job, err error) bool {
	if errors.Is(err, upstream.ErrNotSent) {
		return true
	}
	if j.sends >= j.route.Attempts {
		f.Metrics.RetryDenied("attempts")
		return false
	}
	return !j.ran || j.route.Repeatable()
}

func (f *Forwarder) explain(ctx context.Context, err error) outcome.Reason {
	switch {
	case ctx.Err() != nil:
		return reasonOf(ctx)
	case err == nil:
		return outcome.EngineError
	case errors.Is(err, errNotRun):
		return outcome.NoPlace
	case errors.Is(err, errNoStamp):
		return outcome.AnswerIncomplete
	default:
		return outcome.EngineLost
	}
}

// attempt sends the request to one server and reads its whole answer. A server that
// proves that it did not run the request yields errNotRun.
func (f *Forwarder) attempt(ctx context.Context, j *job, s registry.Server) (*answer, error) {
	start := time.Now()
	if f.mayHedge(j) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(hedgeShare*float64(j.left(start))))
		defer cancel()
	}
	f.begin(j, s)
	defer f.end(j, s)
	a, err := f.exchange(ctx, j, s)
	ok := err == nil && a.head.Status < http.StatusInternalServerError
	f.observe(j, s, ok, time.Since(start))
	return a, err
}

// hedgeShare is the part of the time left after which a repeatable request is given to
// another server: a mute server then costs half of the time and not all of it.
const hedgeShare = 0.5

// mayHedge reports whether another server may be asked when one is slow. Without it the
// request's own deadline is the only one, so that its end is told for what it is.
func (f *Forwarder) mayHedge(j *job) bool {
	return j.route.Repeatable() && j.sends+1 < j.route.Attempts
}

func (f *Forwarder) exchange(ctx context.Context, j *job, s registry.Server) (*answer, error) {
	res, err := f.send(ctx, j, s, Send{LastEventID: j.meta.LastEventID})
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	head := f.Codec.Answer(res.Status, res.Header)
	if head.NotRun {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswer))
		return nil, fmt.Errorf("%w: status %d", errNotRun, head.Status)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswer {
		return nil, errTooLarge
	}
	if head.Status < http.StatusMultipleChoices && (!head.Stamped || head.Encoded) {
		return nil, errNoStamp
	}
	return &answer{head: head, body: body}, nil
}

// send sends the request to a server and returns the head of its answer. It marks the
// job as run unless it is certain that the server can't have seen it.
func (f *Forwarder) send(ctx context.Context, j *job, s registry.Server, o Send) (*upstream.Response, error) {
	o.Left, o.Instance = j.left(time.Now()), s.ID
	before := j.ran
	res, err := f.Pool.Do(ctx, s.Addr, &upstream.Request{
		Method: j.r.Method, Target: j.target(), Host: j.r.Host,
		Header: f.Codec.Outgoing(j.r.Header, o), Body: j.body,
		Mine: func(h http.Header) bool { return f.Codec.Mine(j.meta.ID, h) },
	})
	f.noteReach(s, err)
	if errors.Is(err, upstream.ErrNotSent) {
		return nil, err
	}
	j.servers = append(j.servers, s.ID)
	if !o.PrefillOnly {
		j.sends++
		j.ran = true
	}
	if err != nil {
		return nil, err
	}
	head := f.Codec.Answer(res.Status, res.Header)
	if !o.PrefillOnly && head.NotRun {
		j.ran = before
	}
	if head.Replaced {
		f.View.Replaced(s)
	}
	return res, nil
}

// noteReach notes a server that has ended: its address refuses connections.
func (f *Forwarder) noteReach(s registry.Server, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.View.Down(s)
	}
}

// pass hands a whole answer to the client.
func (f *Forwarder) pass(j *job, a *answer) {
	copyHead(j.w, a.head)
	f.closing(j)
	j.w.Header().Set("Content-Length", fmt.Sprint(len(a.body)))
	j.w.WriteHeader(a.head.Status)
	kind := outcome.Completed
	if a.head.Status >= http.StatusInternalServerError {
		kind = outcome.Failed
	}
	if _, err := j.w.Write(a.body); err != nil {
		f.ended(j, a.head.Status, outcome.Failed, outcome.CallerGone)
		return
	}
	f.ended(j, a.head.Status, kind, "")
}

// choose returns the server for the next attempt.
func (f *Forwarder) choose(j *job, tried []string) (registry.Server, bool) {
	now := time.Now()
	servers := f.View.Servers(j.service)
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	return cheapest(servers, func(c registry.Server) (float64, bool) {
		return f.cost(s, c, now), !slices.Contains(tried, c.ID)
	})
}

// cheapest returns the server of least cost among those that may be chosen, the first of
// several.
func cheapest(servers []registry.Server, cost func(registry.Server) (float64, bool)) (registry.Server, bool) {
	var best registry.Server
	least := 0.0
	for _, s := range servers {
		c, may := cost(s)
		if may && (best.ID == "" || c < least) {
			best, least = s, c
		}
	}
	return best, best.ID != ""
}

// Weights of the cost of a server of a plain service, in requests outstanding.
const (
	// zoneCost keeps calls in the zone unless two more requests are outstanding there.
	zoneCost = 2
	// failingCost makes a server that fails one request in ten more than the others
	// cost as much as three outstanding requests.
	failingCost = 30
	// suspectCost puts a server that just failed several in a row behind all others.
	suspectCost = 1000
)

func (f *Forwarder) cost(s *service, c registry.Server, now time.Time) float64 {
	cost := float64(s.outstanding[c.ID])
	if c.Zone != f.Zone {
		cost += zoneCost
	}
	cost += failingCost * s.outliers.Failing(c.ID, now)
	if s.outliers.Suspect(c.ID, now) {
		cost += suspectCost
	}
	return cost
}

func (f *Forwarder) begin(j *job, c registry.Server) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.outstanding[c.ID]++
}

func (f *Forwarder) end(j *job, c registry.Server) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.outstanding[c.ID]--; s.outstanding[c.ID] <= 0 {
		delete(s.outstanding, c.ID)
	}
}

func (f *Forwarder) observe(j *job, c registry.Server, ok bool, took time.Duration) {
	s := f.service(j.service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s.outliers.Observe(c.ID, ok, took, time.Now())
}
