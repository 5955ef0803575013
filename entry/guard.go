package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/claim"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// ticketLife is how long a ticket may be used.
const ticketLife = 10 * time.Minute

// claimAttempt is the attempt number under which a ticket is claimed; runs count from 1.
const claimAttempt = 0

// storeRetry is the retry-after of requests that need the platform's table while
// it does not answer.
const storeRetry = 2 * time.Second

// guard makes idempotency keys of unrepeatable requests belong to one request.
type guard struct {
	set    Settings
	pool   *pool
	table  *claim.Table
	sealer *claim.Sealer // nil when no ticket secret is set
}

func newGuard(set Settings, p *pool, table store.Table) (*guard, error) {
	g := &guard{set: set, pool: p, table: claim.NewTable(table, time.Now)}
	if len(set.TicketSecrets) == 0 {
		return g, nil
	}
	var secrets [][]byte
	for _, file := range set.TicketSecrets {
		secret, err := os.ReadFile(file)
		if err != nil {
			return nil, merry.Prepend(err, "ticket_secrets")
		}
		secrets = append(secrets, secret)
	}
	var err error
	g.sealer, err = claim.NewSealer(secrets...)
	return g, err
}

// hold is a key that belongs to a request, until release.
type hold struct {
	release func()
}

// around runs a request with its key claimed, and gives the key back when the
// request was not run. Without the key run is not called.
func (g *guard) around(ctx context.Context, customer, key, requestID string, run func() outcome.Outcome) outcome.Outcome {
	h, out, ok := g.take(ctx, customer, key, requestID)
	if !ok {
		return out
	}
	out = run()
	if out.Kind == outcome.NotRun {
		h.release()
	}
	return out
}

// take claims key for the request. When ok is false the request must not run.
func (g *guard) take(ctx context.Context, customer, key, requestID string) (h hold, o outcome.Outcome, ok bool) {
	if strings.HasPrefix(key, claim.TicketPrefix) {
		return g.takeTicket(ctx, customer, key, requestID)
	}
	ctx, cancel := context.WithTimeout(ctx, g.set.Timing.Claim)
	defer cancel()
	c := claim.Claim{Customer: customer, Key: key, RequestID: requestID}
	switch g.table.Take(ctx, c) {
	case claim.Granted:
		return hold{release: func() { g.table.Release(c) }}, outcome.Outcome{}, true
	case claim.InUse:
		return hold{}, outcome.Unsure(outcome.KeyInUse, ""), false
	default:
		return hold{}, outcome.Refuse(outcome.StoreUnavailable, storeRetry), false
	}
}

// takeTicket asks the sidecar that the ticket names.
func (g *guard) takeTicket(ctx context.Context, customer, text, requestID string) (hold, outcome.Outcome, bool) {
	if g.sealer == nil {
		return hold{}, outcome.Refuse(outcome.BadRequest, 0), false
	}
	t, err := g.sealer.Open(text, customer, time.Now())
	if err != nil {
		return hold{}, outcome.Unsure(outcome.TicketLost, "ticket not valid"), false
	}
	p := g.pool.peer(t.Backend)
	if p == nil {
		return hold{}, outcome.Unsure(outcome.TicketLost, "backend server gone"), false
	}
	ctx, cancel := context.WithTimeoutCause(ctx, g.set.Timing.Claim, errNoAnswer)
	defer cancel()
	m := &wire.Claim{
		Ref:         wire.Key{RequestID: requestID, Attempt: claimAttempt}.Ref(),
		Customer:    customer,
		Key:         t.Nonce,
		Incarnation: t.Incarnation,
	}
	answer, err := askClaim(ctx, p, m)
	if err != nil {
		return hold{}, notStarted(err), false
	}
	return verdict(p, m, answer)
}

// askClaim sends a claim until it is answered or ctx ends. Asking again is
// harmless: the ledger knows the request.
func askClaim(ctx context.Context, p *peer, m *wire.Claim) (*wire.Claimed, error) {
	fl := p.open(m.GetRef().Key())
	defer fl.close()
	for {
		if err := p.waitUp(ctx); err != nil {
			return nil, err
		}
		if fl.send(&wire.EntryFrame{Body: &wire.EntryFrame_Claim{Claim: m}}) != nil {
			continue
		}
		f, err := fl.recv(ctx)
		if err == nil && f.GetClaimed() != nil {
			return f.GetClaimed(), nil
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
	}
}

func verdict(p *peer, m *wire.Claim, answer *wire.Claimed) (hold, outcome.Outcome, bool) {
	switch {
	case answer.GetIncarnationGone():
		return hold{}, outcome.Unsure(outcome.TicketLost, "sidecar restarted"), false
	case answer.GetGranted():
		return hold{release: func() {
			m.Release = true
			_ = p.send(&wire.EntryFrame{Body: &wire.EntryFrame_Claim{Claim: m}})
		}}, outcome.Outcome{}, true
	case answer.GetHolderRequestId() == "":
		return hold{}, outcome.Refuse(outcome.NoPlace, storeRetry), false
	default:
		return hold{}, outcome.Unsure(outcome.KeyInUse, ""), false
	}
}

// ticketReply is the body of a new ticket.
type ticketReply struct {
	Object    string    `json:"object"`
	Ticket    string    `json:"ticket"`
	ExpiresAt time.Time `json:"expires_at"`
}

// tickets issues a ticket that names a sidecar. It needs no store.
func (s *Service) tickets(w http.ResponseWriter, _ *http.Request, c caller) {
	if s.guard.sealer == nil {
		s.refuseCaller(w, c.contract.Brand, outcome.Refuse(outcome.NotFound, 0), "")
		return
	}
	p := pick(s.pool.usable())
	if p == nil {
		s.refuseCaller(w, c.contract.Brand, outcome.Refuse(outcome.NoBackend, noBackendRetry), "")
		return
	}
	t := claim.Ticket{
		Backend:     p.backend.ID,
		Incarnation: p.incarnation(),
		Customer:    c.contract.Customer,
		Nonce:       rand.Text(),
		Expires:     time.Now().Add(ticketLife),
	}
	text, err := s.guard.sealer.Seal(t)
	if err != nil {
		s.refuseCaller(w, c.contract.Brand, outcome.Refuse(outcome.NoBackend, noBackendRetry), "")
		return
	}
	_ = writeJSON(w, http.StatusOK, ticketReply{Object: "ticket", Ticket: text, ExpiresAt: t.Expires})
}
