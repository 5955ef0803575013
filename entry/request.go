package entry

import (
	"context"
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/event"
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
	for n := uint32(1); ; n++ {
		sv, ok := s.placer.place(s.pool, r, t.next)
		if !ok {
			return t.conclude(outcome.Refuse(outcome.NoBackend, noBackendRetry))
		}
		a := &attempt{s: s, r: r, key: wire.Key{RequestID: r.id, Attempt: n}, sv: sv}
		out := a.run(ctx)
		final, again := t.ended(ctx, a.ending(out), sv.expected, r.received)
		if !again {
			return final
		}
		event.RequestRetried.Log(s.log).Str("request", r.id).Uint32("attempt", n).Str("outcome", out.String()).Msg("")
		if o, ok := s.resolve(r); !ok {
			return t.conclude(o)
		}
	}
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
