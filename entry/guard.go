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

// ticketTTL is how long a ticket may be used.
const ticketTTL = 10 * time.Minute

// claimAttempt is the attempt number under which a ticket is claimed; runs count from 1.
const claimAttempt = 0

// storeRetryAfter is the retry-after of requests that need the platform's table while it does not answer.
const storeRetryAfter = 2 * time.Second

// keyGuard ensures that each idempotency key of unrepeatable requests belongs to one request.
type keyGuard struct {
	settings Settings
	pool     *pool
	table    *claim.Table
	sealer   *claim.Sealer // nil when no ticket secret is set
}

func newKeyGuard(set Settings, p *pool, table store.Table) (*keyGuard, error) {
	g := &keyGuard{settings: set, pool: p, table: claim.NewTable(table, time.Now)}
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

// keyClaim is a key that belongs to a request until release is called.
type keyClaim struct {
	release func()
}

// runWithKey runs a request with its key claimed, and releases the key when the request was not run. When the
// key can't be claimed, run is not called.
func (g *keyGuard) runWithKey(ctx context.Context, customer, key, requestID string, run func() outcome.Outcome) outcome.Outcome {
	held, out, ok := g.claimKey(ctx, customer, key, requestID)
	if !ok {
		return out
	}
	out = run()
	if out.Kind == outcome.NotRun {
		held.release()
	}
	return out
}

// claimKey claims key for the request. When ok is false the request must not run.
func (g *keyGuard) claimKey(ctx context.Context, customer, key, requestID string) (h keyClaim, o outcome.Outcome, ok bool) {
	if strings.HasPrefix(key, claim.TicketPrefix) {
		return g.claimTicket(ctx, customer, key, requestID)
	}
	ctx, cancel := context.WithTimeout(ctx, g.settings.Timing.Claim)
	defer cancel()
	c := claim.Claim{Customer: customer, Key: key, RequestID: requestID}
	switch g.table.Take(ctx, c) {
	case claim.Granted:
		return keyClaim{release: func() { g.table.Release(c) }}, outcome.Outcome{}, true
	case claim.InUse:
		return keyClaim{}, outcome.Indeterminate(outcome.KeyInUse, ""), false
	default:
		return keyClaim{}, outcome.Refuse(outcome.StoreUnavailable, storeRetryAfter), false
	}
}

// claimTicket claims a ticket at the sidecar that it names.
func (g *keyGuard) claimTicket(ctx context.Context, customer, text, requestID string) (keyClaim, outcome.Outcome, bool) {
	if g.sealer == nil {
		return keyClaim{}, outcome.Refuse(outcome.BadRequest, 0), false
	}
	t, err := g.sealer.Open(text, customer, time.Now())
	if err != nil {
		return keyClaim{}, outcome.Indeterminate(outcome.TicketLost, "ticket not valid"), false
	}
	p := g.pool.peer(t.Backend)
	if p == nil {
		return keyClaim{}, outcome.Indeterminate(outcome.TicketLost, "backend server gone"), false
	}
	ctx, cancel := context.WithTimeoutCause(ctx, g.settings.Timing.Claim, errNoAnswer)
	defer cancel()
	m := &wire.Claim{
		Ref:         wire.Key{RequestID: requestID, Attempt: claimAttempt}.Ref(),
		Customer:    customer,
		Key:         t.Nonce,
		Incarnation: t.Incarnation,
	}
	answer, err := askClaim(ctx, p, m)
	if err != nil {
		return keyClaim{}, notStarted(err), false
	}
	return claimResult(p, m, answer)
}

// askClaim sends a claim until it is answered or ctx ends. Sending it again is idempotent, since the ledger
// records the request.
func askClaim(ctx context.Context, p *peer, m *wire.Claim) (*wire.Claimed, error) {
	fl := p.openFlow(m.GetRef().Key())
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

func claimResult(p *peer, m *wire.Claim, answer *wire.Claimed) (keyClaim, outcome.Outcome, bool) {
	switch {
	case answer.GetIncarnationGone():
		return keyClaim{}, outcome.Indeterminate(outcome.TicketLost, "sidecar restarted"), false
	case answer.GetGranted():
		return keyClaim{release: func() {
			m.Release = true
			_ = p.send(&wire.EntryFrame{Body: &wire.EntryFrame_Claim{Claim: m}})
		}}, outcome.Outcome{}, true
	case answer.GetHolderRequestId() == "":
		return keyClaim{}, outcome.Refuse(outcome.NoDecodeSlot, storeRetryAfter), false
	default:
		return keyClaim{}, outcome.Indeterminate(outcome.KeyInUse, ""), false
	}
}

// ticketReply is the response body with a new ticket.
type ticketReply struct {
	Object    string    `json:"object"`
	Ticket    string    `json:"ticket"`
	ExpiresAt time.Time `json:"expires_at"`
}

// tickets issues a ticket that names a sidecar. It does not need the platform's table.
func (s *Service) tickets(w http.ResponseWriter, _ *http.Request, c caller) {
	if s.guard.sealer == nil {
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.NotFound, 0), "")
		return
	}
	p := pickLessLoaded(s.pool.usable())
	if p == nil {
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.NoBackend, noBackendRetryAfter), "")
		return
	}
	t := claim.Ticket{
		Backend:     p.backend.ID,
		Incarnation: p.incarnation(),
		Customer:    c.contract.Customer,
		Nonce:       rand.Text(),
		Expires:     time.Now().Add(ticketTTL),
	}
	text, err := s.guard.sealer.Seal(t)
	if err != nil {
		s.refuseRequest(w, c.contract.Brand, outcome.Refuse(outcome.NoBackend, noBackendRetryAfter), "")
		return
	}
	_ = writeJSON(w, http.StatusOK, ticketReply{Object: "ticket", Ticket: text, ExpiresAt: t.Expires})
}
