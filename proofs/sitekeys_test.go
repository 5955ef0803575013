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

// Tenants of the site: clients ask as one, whose keys come and go; the other one asks for many times its quota now and then.
const (
	siteTenant   = "team"
	greedyTenant = "greedy"
	greedyKey    = "greedy-key"
	// greedyID begins the IDs of requests of the greedy tenant, takenID those with keys that were taken away.
	greedyID = "greedy-"
	takenID  = "taken-"
	// siteRevoke is the users' bound for keys that were taken away.
	siteRevoke = 5 * time.Second
	// greedyRate and greedyBurst are its quota, in calls that count greedyCost each.
	greedyRate, greedyBurst = 2000, 2000
	greedyCost              = 100
	// The users' rule for a quota, with the slack of their deployment in proportion to the rate.
	greedyWindow  = 8 * time.Second
	greedyOverage = 0.1
	greedySlack   = 7000
)

// siteKeys are the keys of the tenant that clients ask as.
type siteKeys struct {
	mu sync.Mutex
	// made counts keys, current are those in the newest manifest with the time from which clients use them.
	made    int
	current []siteKey
	// ran is when calls of the greedy tenant ran.
	ran     []time.Time
	probing sync.WaitGroup
}

type siteKey struct {
	key  string
	from time.Time
}

func newSiteKeys() *siteKeys {
	k := &siteKeys{}
	for range 3 {
		k.add(time.Now())
	}
	return k
}

// add makes a key. The caller holds mu, or nobody else knows k.
func (k *siteKeys) add(from time.Time) {
	k.made++
	k.current = append(k.current, siteKey{fmt.Sprint("team-key-", k.made), from})
}

// use returns a key that must be known everywhere by now.
func (k *siteKeys) use() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range k.current {
		if time.Now().After(key.from) {
			return key.key
		}
	}
	return k.current[0].key
}

// tenants is that part of a manifest.
func (k *siteKeys) tenants() []any {
	k.mu.Lock()
	defer k.mu.Unlock()
	var keys []string
	for _, key := range k.current {
		keys = append(keys, key.key)
	}
	return []any{
		map[string]any{"name": siteTenant, "api_keys": keys, "unit": "generate", "plain_tokens": 100},
		map[string]any{
			"name": greedyTenant, "api_keys": []string{greedyKey}, "unit": "generate", "plain_tokens": greedyCost,
			"rate_per_s": greedyRate, "burst": greedyBurst,
		},
	}
}

// takeAway replaces the latest key that clients do not use, and returns the one that is gone.
func (k *siteKeys) takeAway() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	last := len(k.current) - 1
	gone := k.current[last].key
	k.current = k.current[:last]
	k.add(time.Now().Add(soakBounds().Revision))
	return gone
}

// credentials are those of a request.
func (w *siteWatch) credentials(q siteAsk) string {
	if q.key != "" {
		return "Token " + q.key
	}
	return "Token " + w.c.keys.use()
}

// sawTenant checks whom a server was told, and notes runs of the greedy tenant.
func (w *siteWatch) sawTenant(call site.Call) {
	want := siteTenant
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

// revoke takes a key away, and asks every gateway with it until it must not work any more, and for a while after.
func (w *siteWatch) revoke() {
	const after = 2 * time.Second
	gone := w.c.keys.takeAway()
	w.change()
	acked := time.Now()
	for i, g := range w.c.gateways {
		w.c.keys.probing.Go(func() {
			for n := 0; time.Since(acked) < siteRevoke+after; n++ {
				time.Sleep(probePause)
				sent := time.Now()
				status := w.ask(g, siteAsk{id: fmt.Sprint(takenID, gone, "-", i, "-", n), route: "safe", key: gone})
				assert.Check(w.c.t, status != http.StatusOK || sent.Sub(acked) <= siteRevoke,
					"%s served a key %v after it was taken away", g.vm, sent.Sub(acked))
			}
		})
	}
}

// probePause is the pause between two requests with one key that was taken away, or of the greedy tenant.
const probePause = 20 * time.Millisecond

// greed has the greedy tenant ask for several times its quota for a while.
func (w *siteWatch) greed(number int) {
	const lasts = 4 * time.Second
	end := time.Now().Add(lasts)
	for i, g := range w.c.gateways {
		w.c.keys.probing.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(probePause)
				w.ask(g, siteAsk{id: fmt.Sprint(greedyID, number, "-", i, "-", n), route: "safe", key: greedyKey})
			}
		})
	}
}

// judgeQuota holds what ran of the greedy tenant to the users' rule.
func (w *siteWatch) judgeQuota() {
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
		{"quota exceeded", func(i int) (string, func()) { x.w.greed(i); return "", nil }},
	}
}
