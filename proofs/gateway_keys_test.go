package proofs

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// Tenants of the cluster: clients use the steady tenant, whose keys are added and revoked; the greedy one
// repeatedly exceeds its quota many times over.
const (
	steadyTenant = "team"
	greedyTenant = "greedy"
	greedyKey    = "greedy-key"
	// greedyID is the prefix of the IDs of requests of the greedy tenant, revokedID those of requests with revoked
	// keys.
	greedyID  = "greedy-"
	revokedID = "taken-"
	// revocationBound is the users' bound for the revocation of a key.
	revocationBound = 5 * time.Second
	// greedyRate and greedyBurst are the quota of the greedy tenant in tokens; each of its calls counts as
	// greedyCost.
	greedyRate, greedyBurst = 2000, 2000
	greedyCost              = 100
	// The users' rule for a quota, with the slack of their deployment scaled to the rate.
	greedyWindow  = 8 * time.Second
	greedyOverage = 0.1
	greedySlack   = 7000
)

// tenantKeys are the keys of the steady tenant, and the calls of the greedy one.
type tenantKeys struct {
	mu sync.Mutex
	// created counts the keys created so far, current are those in the newest manifest with the time from which
	// clients use them.
	created int
	current []tenantKey
	// ran is when calls of the greedy tenant ran.
	ran     []time.Time
	probing sync.WaitGroup
}

type tenantKey struct {
	key  string
	from time.Time
}

func newTenantKeys() *tenantKeys {
	k := &tenantKeys{}
	for range 3 {
		k.add(time.Now())
	}
	return k
}

// add makes a key. The caller holds mu, or k is not shared yet.
func (k *tenantKeys) add(from time.Time) {
	k.created++
	k.current = append(k.current, tenantKey{fmt.Sprint("team-key-", k.created), from})
}

// use returns a key that every gateway must accept by now.
func (k *tenantKeys) use() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range k.current {
		if time.Now().After(key.from) {
			return key.key
		}
	}
	return k.current[0].key
}

// tenants returns the tenants of a manifest.
func (k *tenantKeys) tenants() []any {
	k.mu.Lock()
	defer k.mu.Unlock()
	var keys []string
	for _, key := range k.current {
		keys = append(keys, key.key)
	}
	return []any{
		map[string]any{"name": steadyTenant, "api_keys": keys, "unit": "generate", "plain_tokens": 100},
		map[string]any{
			"name": greedyTenant, "api_keys": []string{greedyKey}, "unit": "generate", "plain_tokens": greedyCost,
			"rate_per_s": greedyRate, "burst": greedyBurst,
		},
	}
}

// revokeLatest replaces the latest key, which clients do not use yet, and returns the revoked one.
func (k *tenantKeys) revokeLatest() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	last := len(k.current) - 1
	revoked := k.current[last].key
	k.current = k.current[:last]
	k.add(time.Now().Add(soakBounds().Revision))
	return revoked
}

// credentials returns the value of the credentials header of a request.
func (w *gatewayObserver) credentials(q gatewayRequest) string {
	if q.key != "" {
		return "Token " + q.key
	}
	return "Token " + w.c.keys.use()
}

// checkTenant checks the tenant that a server received with a call, and records runs of the greedy tenant.
func (w *gatewayObserver) checkTenant(call site.Call) {
	want := steadyTenant
	if strings.HasPrefix(call.ID, greedyID) {
		want = greedyTenant
	}
	got := strings.Join(call.Header[site.Tenant], ",")
	assert.Check(w.c.t, got == want, "%s reached %s as %q", call.ID, call.Server, got)
	assert.Check(w.c.t, call.Header.Get(site.Credentials) == "", "%s reached %s with its key", call.ID, call.Server)
	if want == greedyTenant && !call.Refused {
		w.c.keys.mu.Lock()
		defer w.c.keys.mu.Unlock()
		w.c.keys.ran = append(w.c.keys.ran, time.Now())
	}
}

// revoke revokes a key, and sends requests with it to every gateway until it must be rejected, and for a
// while longer.
func (w *gatewayObserver) revoke() {
	const extra = 2 * time.Second
	revoked := w.c.keys.revokeLatest()
	w.change()
	acked := time.Now()
	for i, g := range w.c.gateways {
		w.c.keys.probing.Go(func() {
			for n := 0; time.Since(acked) < revocationBound+extra; n++ {
				time.Sleep(probeInterval)
				sent := time.Now()
				status := w.sendRecorded(g, gatewayRequest{id: fmt.Sprint(revokedID, revoked, "-", i, "-", n), route: "safe", key: revoked})
				assert.Check(w.c.t, status != http.StatusOK || sent.Sub(acked) <= revocationBound,
					"%s served a key %v after it was revoked", g.vm, sent.Sub(acked))
			}
		})
	}
}

// probeInterval is the interval between two requests with a revoked key, or of the greedy tenant.
const probeInterval = 20 * time.Millisecond

// exceedQuota makes the greedy tenant request several times its quota for a while.
func (w *gatewayObserver) exceedQuota(number int) {
	const duration = 4 * time.Second
	end := time.Now().Add(duration)
	for i, g := range w.c.gateways {
		w.c.keys.probing.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(probeInterval)
				w.sendRecorded(g, gatewayRequest{id: fmt.Sprint(greedyID, number, "-", i, "-", n), route: "safe", key: greedyKey})
			}
		})
	}
}

// checkQuota checks the calls of the greedy tenant that ran against the users' rule.
func (w *gatewayObserver) checkQuota() {
	w.c.keys.mu.Lock()
	defer w.c.keys.mu.Unlock()
	ran := w.c.keys.ran
	allowed := (greedyRate*greedyWindow.Seconds()+greedyBurst)*(1+greedyOverage) + greedySlack
	first, worst := 0, 0
	for i, at := range ran {
		for at.Sub(ran[first]) > greedyWindow {
			first++
		}
		worst = max(worst, (i-first+1)*greedyCost)
	}
	assert.Check(w.c.t, float64(worst) <= allowed, "%d tokens of %s ran in %v, %.0f are allowed", worst, greedyTenant, greedyWindow, allowed)
}

// keyKinds are the faults of keys and quotas.
func (x *soaker) keyKinds() []faultKind {
	return []faultKind{
		{"key taken away", func(int) (string, func()) { x.w.revoke(); return "", nil }},
		{"quota exceeded", func(i int) (string, func()) { x.w.exceedQuota(i); return "", nil }},
	}
}
