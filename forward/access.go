package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// errBarred means that this process sends the request to no server, whatever servers there are.
var errBarred = errors.New("sent to no server")

// Reasons of errBarred.
var (
	// errHeld: servers ended under the request.
	errHeld = fmt.Errorf("%w: servers end under this request", errBarred)
	// errKeyGone: its key was taken away since it arrived.
	errKeyGone = fmt.Errorf("%w: its key is not known any more", errBarred)
	// errUnproved: it is not proved that its key was not taken away.
	errUnproved = fmt.Errorf("%w: the configuration is not proved to be recent", errBarred)
)

// barredReason is the reason of an error that is errBarred.
func barredReason(err error) outcome.Reason {
	switch {
	case errors.Is(err, errKeyGone):
		return outcome.Unauthenticated
	case errors.Is(err, errUnproved):
		return outcome.ConfigUnproved
	default:
		return outcome.Quarantined
	}
}

// barred reports whether a reason is one of errBarred's: no server has to do with it.
func barred(reason outcome.Reason) bool {
	return reason == outcome.Unauthenticated || reason == outcome.ConfigUnproved || reason == outcome.Quarantined
}

// unprovedRetry is when to come back to a process whose configuration is not proved to be recent: one that was
// frozen has a proof by then, and another one may have.
const unprovedRetry = 300 * time.Millisecond

// identify finds out who asks, where the configuration knows tenants. When it returns false the request has been
// answered. A key that is not known is unknown only if no change was missed, and one that is known may have been taken
// away unless that is proved not to be so.
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
		return f.identifyAgain(j)
	case !j.route.Public && !f.View.Proved(j.r.Context()):
		f.refuse(j, outcome.ConfigUnproved, unprovedRetry)
		return false
	}
	j.meta.Caller = j.tenant.Name
	return true
}

// atOnce is done: whoever waits with it does not wait.
var atOnce = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// CheckHead returns 401 for a request whose key is missing or not known, so that it is answered before its body is read, and zero
// for all others. It decides as identify does, but waits for no proof.
func (f *Forwarder) CheckHead(r *http.Request) int {
	now := time.Now()
	j := &job{r: r, arrived: now, deadline: now, status: http.StatusUnauthorized}
	// What else is wrong with the request is answered once it is read.
	j.meta, _ = f.Codec.ParseRequest(r.Header)
	if j.table = f.View.Table(); j.table == nil || j.table.Tenants == nil {
		return 0
	}
	if j.route = j.table.Match(hostOf(r), r.URL.EscapedPath()); j.route == nil || j.route.Public {
		return 0
	}
	if j.meta.HasKey {
		if _, known := j.table.Tenants.ByKey(j.meta.Key); known || !f.View.ProvedForUnknownKey(atOnce) {
			return 0
		}
	}
	f.Metrics.Refused(outcome.Unauthenticated)
	f.noteRefusal(j, outcome.Unauthenticated)
	f.ended(j, outcome.NotRun, outcome.Unauthenticated)
	return http.StatusUnauthorized
}

// identifyAgain answers a request whose key is not known, unless the key was added since the configuration in force was
// read.
func (f *Forwarder) identifyAgain(j *job) bool {
	if !f.View.ProvedForUnknownKey(j.r.Context()) {
		f.refuse(j, outcome.ConfigUnproved, unprovedRetry)
		return false
	}
	if err := f.allowed(j); err != nil {
		f.reject(j, http.StatusUnauthorized, outcome.Unauthenticated)
		return false
	}
	j.meta.Caller = j.tenant.Name
	return true
}

// allowed looks up the key of a request in the configuration that is in force now.
func (f *Forwarder) allowed(j *job) error {
	table := f.View.Table()
	if table == nil || table.Tenants == nil {
		return nil
	}
	tenant, ok := table.Tenants.ByKey(j.meta.Key)
	if !ok {
		return errKeyGone
	}
	j.tenant = tenant
	return nil
}

// barredNow tells why a request is not to be sent to a server now, or nil. It is asked before each send, since a request may
// wait, be repeated or go on elsewhere while it becomes known that servers end under it, or that its key was taken away.
func (f *Forwarder) barredNow(ctx context.Context, j *job) error {
	if _, held := f.held(j); held {
		return errHeld
	}
	if j.tenant == nil || j.route.Public {
		return nil
	}
	if err := f.allowed(j); err != nil {
		return err
	}
	if !f.View.Proved(ctx) {
		return errUnproved
	}
	return nil
}

// priority is the rank of a request: that of its customer goes before that of its route.
func (j *job) priority() int {
	if j.tenant != nil && j.tenant.Ranked {
		return j.tenant.Priority
	}
	return j.route.Priority
}

// charge charges a request to the quota of its customer, unless that is used up: then it returns when there will be
// room.
func (f *Forwarder) charge(j *job) (time.Duration, bool) {
	if j.tenant == nil || j.tenant.Quota.Rate <= 0 {
		return 0, true
	}
	tokens := j.meta.PromptTokens + j.meta.MaxTokens
	cost := j.tenant.Quota.Cost(tokens, j.meta.Sized)
	wait, ok := f.Quota.Take(j.tenant.Name, j.tenant.Quota, cost)
	if ok {
		j.charged = cost
	}
	return wait, ok
}

// giveBack returns to the quota of a customer what a request was charged that has not run.
func (f *Forwarder) giveBackQuota(j *job) {
	if j.charged > 0 && !j.ran {
		f.Quota.Return(j.tenant.Name, j.charged)
	}
	j.charged = 0
}

// Quota holds customers to what they may ask for, over all processes together. It must be safe for concurrent use.
type Quota interface {
	// Take charges a request to a customer, or returns when there will be room.
	Take(customer string, q route.Quota, cost float64) (wait time.Duration, ok bool)
	// Return gives back what was charged for a request that has not run.
	Return(customer string, cost float64)
}
