package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// errBlocked means that this process sends the request to no server at all.
var errBlocked = errors.New("sent to no server")

// Reasons of errBlocked.
var (
	// errQuarantined: servers terminated while they ran the request.
	errQuarantined = fmt.Errorf("%w: the request is quarantined", errBlocked)
	// errKeyRevoked: the request's key was revoked after the request arrived.
	errKeyRevoked = fmt.Errorf("%w: its key has been revoked", errBlocked)
	// errUnproved: the configuration is not proved to be recent, so the key may have been revoked.
	errUnproved = fmt.Errorf("%w: the configuration is not proved to be recent", errBlocked)
)

// blockedReason returns the reason of an error that wraps errBlocked.
func blockedReason(err error) outcome.Reason {
	switch {
	case errors.Is(err, errKeyRevoked):
		return outcome.Unauthenticated
	case errors.Is(err, errUnproved):
		return outcome.ConfigUnproved
	default:
		return outcome.Quarantined
	}
}

// blocked reports whether a reason is that of an errBlocked, for which no server is responsible.
func blocked(reason outcome.Reason) bool {
	return reason == outcome.Unauthenticated || reason == outcome.ConfigUnproved || reason == outcome.Quarantined
}

// unprovedRetry is the Retry-After of a process whose configuration is not proved to be recent: a process that was
// frozen has a proof by then, and another process may have one.
const unprovedRetry = 300 * time.Millisecond

// identify authenticates a request if the configuration has tenants. When it returns false the request has been
// answered. An unknown key is rejected only if no configuration change can have been missed, and a known one is
// accepted only if it is proved that it has not been revoked.
func (f *Forwarder) identify(j *job) bool {
	tenants := j.table.Tenants
	if tenants == nil {
		return true
	}
	j.meta.Caller = ""
	if j.meta.HasKey {
		j.tenant, _ = tenants.ByKey(j.meta.Key)
	}
	switch {
	case j.tenant == nil && j.route.Public:
		return true
	case j.tenant == nil && !j.meta.HasKey:
		f.reject(j, http.StatusUnauthorized, outcome.Unauthenticated)
		return false
	case j.tenant == nil:
		return f.identifyNewKey(j)
	case !j.route.Public && !f.View.Proved(j.r.Context()):
		f.refuse(j, outcome.ConfigUnproved, unprovedRetry)
		return false
	}
	j.meta.Caller = j.tenant.Name
	return true
}

// doneContext is a cancelled context, for calls that must not wait.
var doneContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// CheckHead returns 401 for a request whose key is missing or unknown, so that it is answered before its body is read,
// and zero for all others. It decides as identify does, but does not wait for a proof.
func (f *Forwarder) CheckHead(r *http.Request) int {
	now := time.Now()
	j := &job{r: r, arrived: now, deadline: now, status: http.StatusUnauthorized}
	// Other errors in the request are answered once its body is read.
	j.meta, _ = f.Codec.ParseRequest(r.Header)
	if j.table = f.View.Table(); j.table == nil || j.table.Tenants == nil {
		return 0
	}
	if j.route = j.table.Match(hostOf(r), r.URL.EscapedPath()); j.route == nil || j.route.Public {
		return 0
	}
	if j.meta.HasKey {
		if _, known := j.table.Tenants.ByKey(j.meta.Key); known || !f.View.ProvedForUnknownKey(doneContext) {
			return 0
		}
	}
	f.Metrics.Refused(outcome.Unauthenticated)
	f.recordRefusal(j, outcome.Unauthenticated)
	f.conclude(j, outcome.NotRun, outcome.Unauthenticated)
	return http.StatusUnauthorized
}

// identifyNewKey answers a request whose key is unknown, unless the key was added after the table was read.
func (f *Forwarder) identifyNewKey(j *job) bool {
	if !f.View.ProvedForUnknownKey(j.r.Context()) {
		f.refuse(j, outcome.ConfigUnproved, unprovedRetry)
		return false
	}
	if err := f.refreshTenant(j); err != nil {
		f.reject(j, http.StatusUnauthorized, outcome.Unauthenticated)
		return false
	}
	j.meta.Caller = j.tenant.Name
	return true
}

// refreshTenant looks up the key of a request in the configuration now in force.
func (f *Forwarder) refreshTenant(j *job) error {
	table := f.View.Table()
	if table == nil || table.Tenants == nil {
		return nil
	}
	tenant, ok := table.Tenants.ByKey(j.meta.Key)
	if !ok {
		return errKeyRevoked
	}
	j.tenant = tenant
	return nil
}

// checkBlocked returns why a request may not be sent to any server now, or nil. It is called before each send: while a
// request waits, is retried or is resumed elsewhere, it may be quarantined or its key revoked.
func (f *Forwarder) checkBlocked(ctx context.Context, j *job) error {
	if _, held := f.quarantined(j); held {
		return errQuarantined
	}
	if j.tenant == nil || j.route.Public {
		return nil
	}
	if err := f.refreshTenant(j); err != nil {
		return err
	}
	if !f.View.Proved(ctx) {
		return errUnproved
	}
	return nil
}

// priority is the rank of a request: its customer's if that has one, otherwise its route's.
func (j *job) priority() int {
	if j.tenant != nil && j.tenant.HasPriority {
		return j.tenant.Priority
	}
	return j.route.Priority
}

// charge charges a request to its customer's quota. If the quota is exhausted it returns the time until it admits the
// request.
func (f *Forwarder) charge(j *job) (time.Duration, bool) {
	if j.tenant == nil || j.tenant.Quota.Rate <= 0 {
		return 0, true
	}
	if !f.Off.Has(mechanism.QuotaOrder) {
		f.detectRetry(j)
	}
	tokens := j.meta.PromptTokens + j.meta.MaxTokens
	cost := j.tenant.Quota.Cost(tokens, j.meta.Sized)
	wait, ok := f.Quota.Take(j.tenant.Name, j.tenant.Quota, QuotaRequest{Cost: cost, Priority: j.route.Priority, Retried: j.retried})
	if ok {
		j.charged = cost
	}
	return wait, ok
}

// refundQuota returns the charge of a request that has not run to its customer's quota.
func (f *Forwarder) refundQuota(j *job) {
	if j.charged > 0 && !j.ran {
		f.Quota.Return(j.tenant.Name, j.charged)
	}
	j.charged = 0
}

// QuotaRequest is a request to be charged to a quota.
type QuotaRequest struct {
	// Cost is in the unit of the quota.
	Cost float64
	// Priority is that of the route; that of the customer is the same for all its requests. Zero is the highest.
	Priority int
	// Retried is set if the client retries after a rejection.
	Retried bool
}

// Quota enforces the quotas of customers over all processes together. It must be safe for concurrent use.
type Quota interface {
	// Take charges a request to a customer, or returns the time until the quota admits it.
	Take(customer string, q route.Quota, r QuotaRequest) (wait time.Duration, ok bool)
	// Return refunds the charge of a request that has not run.
	Return(customer string, cost float64)
}

// unstatedRetry bounds the Retry-After for a client that states no time.
const unstatedRetry = 300 * time.Millisecond

// RetryAfter returns when the client of a request that is rejected before it is received may come back: after a third of its time it
// would not.
func (f *Forwarder) RetryAfter(r *http.Request, after time.Duration) time.Duration {
	meta, err := f.Codec.ParseRequest(r.Header)
	if err != nil || meta.ClientTimeout <= 0 {
		return min(after, unstatedRetry)
	}
	return min(after, meta.ClientTimeout/3).Truncate(retryUnit)
}
