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
	id       string
	customer string
	key      string // idempotency key, may be empty
	class    *contract.Class
	revision uint64
	share    float64
	model    string
	prompt   string
	tokens   int // estimated length of prompt
	max      int // bound of the answer in tokens
	begun    time.Time
	deadline time.Time
	out      sink
	// received is the position up to which the answer is whole; text is what was
	// received, kept for resuming elsewhere.
	received int
	text     []byte
	// hashes are those of the prefixes of prompt.
	hashes []uint64
	allow  allowance
}

// sink is where the answer goes. Methods are called from one goroutine.
type sink interface {
	// tokens takes the next tokens of the answer.
	tokens(t []string) error
	// done ends a whole answer.
	done(d *wire.Done) error
}

func (r *request) terms() *wire.Terms {
	return &wire.Terms{
		Customer:         r.customer,
		Class:            r.class.Name,
		ContractRevision: r.revision,
		Urgency:          uint32(r.class.Urgency),
		ShareMilli:       uint32(r.share * 1000),
		TtftMs:           uint32(max(r.class.TTFT-time.Since(r.begun), 0).Milliseconds()),
		TbtMs:            uint32(r.class.TBT.Milliseconds()),
		Unrepeatable:     r.class.Unrepeatable,
	}
}

// executeGuarded runs r; the idempotency key of an unrepeatable request is claimed
// first, and given back when the request was not run.
func (s *Service) executeGuarded(ctx context.Context, r *request) outcome.Outcome {
	if !r.class.Unrepeatable || r.key == "" {
		return s.execute(ctx, r)
	}
	return s.guard.around(ctx, r.customer, r.key, r.id, func() outcome.Outcome { return s.execute(ctx, r) })
}

// execute runs r to its one end, over as many attempts as are allowed.
func (s *Service) execute(ctx context.Context, r *request) outcome.Outcome {
	t := s.retrier.tracker(r.customer, r.class.Unrepeatable, r.deadline)
	return lifecycle.Run(ctx, &course{s: s, r: r, tracker: t})
}

// course is a request over all its attempts. It implements lifecycle.Request.
type course struct {
	s       *Service
	r       *request
	tracker *tracker
	// attempts is the number of attempts that were placed.
	attempts uint32
}

// Place implements lifecycle.Request. Before another attempt the contract is looked at again.
func (c *course) Place(context.Context) (*attempt, outcome.Outcome, bool) {
	if c.attempts > 0 {
		if o, ok := c.s.resolve(c.r); !ok {
			return nil, c.tracker.conclude(o), false
		}
	}
	sv, ok := c.s.placer.place(c.s.pool, c.r, c.tracker.next)
	if !ok {
		return nil, c.tracker.conclude(outcome.Refuse(outcome.NoBackend, noBackendRetry)), false
	}
	c.attempts++
	return newAttempt(c.s, c.r, c.attempts, sv), outcome.Outcome{}, true
}

// Ended implements lifecycle.Request.
func (c *course) Ended(ctx context.Context, a *attempt, o outcome.Outcome) (outcome.Outcome, bool) {
	final, again := c.tracker.ended(ctx, a.ending(o), a.sv.expected, c.r.received)
	if again {
		event.RequestRetried.Log(c.s.log).Str("request", c.r.id).Uint32("attempt", c.attempts).Str("outcome", o.String()).Msg("")
	}
	return final, again
}

// noBackendRetry is the retry-after when no server is known to serve the model.
const noBackendRetry = time.Second

// resolve takes the terms of r from the newest contract known. When ok is false
// the contract does not allow the request any more.
func (s *Service) resolve(r *request) (o outcome.Outcome, ok bool) {
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
