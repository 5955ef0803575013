package entry

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/lifecycle"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// request is one request for model work. It belongs to one goroutine.
type request struct {
	id             string
	customer       string
	idempotencyKey string // may be empty
	class          *contract.Class
	revision       uint64
	share          float64
	model          string
	prompt         string
	promptTokens   int // estimated length of prompt
	maxTokens      int // maximum length of the answer in tokens
	start          time.Time
	deadline       time.Time
	out            sink
	// received is the position up to which the answer is complete; text is the answer received so far, kept
	// for resuming elsewhere.
	received int
	text     []byte
	// prefixHashes are the hashes of the prompt's prefixes.
	prefixHashes []uint64
	allowance    allowance
	// content identifies requests for the same work.
	content content
}

// sink receives the answer. Its methods are called from one goroutine.
type sink interface {
	// tokens takes the next tokens of the answer.
	tokens(t []string) error
	// done ends a complete answer.
	done(d *wire.Done) error
}

func (r *request) terms() *wire.Terms {
	return &wire.Terms{
		Customer:         r.customer,
		Class:            r.class.Name,
		ContractRevision: r.revision,
		Urgency:          uint32(r.class.Urgency),
		ShareMilli:       uint32(r.share * 1000),
		TtftMs:           uint32(max(r.class.TTFT-time.Since(r.start), 0).Milliseconds()),
		TbtMs:            uint32(r.class.TBT.Milliseconds()),
		Unrepeatable:     r.class.Unrepeatable,
	}
}

// executeGuarded runs r; the idempotency key of an unrepeatable request is claimed first, and released when
// the request was not run.
func (s *Service) executeGuarded(ctx context.Context, r *request) outcome.Outcome {
	if !r.class.Unrepeatable || r.idempotencyKey == "" {
		return s.execute(ctx, r)
	}
	return s.guard.runWithKey(ctx, r.customer, r.idempotencyKey, r.id, func() outcome.Outcome { return s.execute(ctx, r) })
}

// execute runs r to its one outcome, over as many attempts as are allowed.
func (s *Service) execute(ctx context.Context, r *request) outcome.Outcome {
	t := s.retrier.tracker(r.customer, r.class.Unrepeatable, r.deadline)
	return lifecycle.Run(ctx, &execution{s: s, r: r, tracker: t})
}

// execution is a request over all its attempts. It implements lifecycle.Request.
type execution struct {
	s       *Service
	r       *request
	tracker *tracker
	// attempts is the number of attempts that were placed.
	attempts uint32
}

// Place implements lifecycle.Request. Before a further attempt the contract is checked again.
func (e *execution) Place(context.Context) (*attempt, outcome.Outcome, bool) {
	if e.attempts > 0 {
		if o, ok := e.s.refreshContract(e.r); !ok {
			return nil, e.tracker.conclude(o), false
		}
		if o, held := e.s.quarantined(&e.r.content); held {
			return nil, e.tracker.conclude(o), false
		}
	}
	sv, ok := e.s.placer.place(e.s.pool, e.r, e.tracker.decision)
	if !ok {
		return nil, e.tracker.conclude(outcome.Refuse(outcome.NoBackend, noBackendRetryAfter)), false
	}
	e.attempts++
	return newAttempt(e.s, e.r, e.attempts, sv), outcome.Outcome{}, true
}

// Ended implements lifecycle.Request.
func (e *execution) Ended(ctx context.Context, a *attempt, o outcome.Outcome) (outcome.Outcome, bool) {
	e.s.recordEnd(&e.r.content, a.end(o))
	final, again := e.tracker.attemptEnded(ctx, a.retryAttempt(o), a.servers.expectedTTFT, e.r.received)
	if again {
		event.RequestRetried.Log(e.s.log).Str("request", e.r.id).Uint32("attempt", e.attempts).Str("outcome", o.String()).Msg("")
	}
	return final, again
}

// noBackendRetryAfter is the retry-after when no server is known to serve the model.
const noBackendRetryAfter = time.Second

// refreshContract updates r to the newest known contract. When ok is false the contract no longer allows the
// request.
func (s *Service) refreshContract(r *request) (o outcome.Outcome, ok bool) {
	c, rev, ok := s.index.Contract(r.customer)
	if !ok {
		return outcome.Refuse(outcome.Unauthenticated, 0), false
	}
	class, ok := c.ClassFor(r.model, r.class.Name)
	if !ok {
		return outcome.Refuse(outcome.ModelNotInContract, 0), false
	}
	r.class = class
	r.revision = rev
	r.share = c.Share
	return outcome.Outcome{}, true
}
