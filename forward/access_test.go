package forward_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/apikey"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// fakeQuota is one quota shared by all customers.
type fakeQuota struct {
	mu              sync.Mutex
	left            float64
	taken, returned []float64
	customers       []string
	requests        []forward.QuotaRequest
}

func (q *fakeQuota) Take(customer string, _ route.Quota, r forward.QuotaRequest) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.requests = append(q.requests, r)
	cost := r.Cost
	if cost > q.left {
		return 1500 * time.Millisecond, false
	}
	q.left -= cost
	q.taken, q.customers = append(q.taken, cost), append(q.customers, customer)
	return 0, true
}

func (q *fakeQuota) Return(_ string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.left += cost
	q.returned = append(q.returned, cost)
}

// The keys of these tests, and the scheme of the header that carries them.
const (
	ownKey   = "key-of-a"
	otherKey = "key-of-b"
	scheme   = "Token "
)

func tenant(name string, keys ...string) route.Tenant {
	t := route.Tenant{Name: name, Quota: route.Quota{Unit: route.Tokens, Rate: 1000, Burst: 1000, DefaultCost: 200}}
	for _, k := range keys {
		t.Keys = append(t.Keys, apikey.Of(k))
	}
	return t
}

// withTenants puts a table in force with other tenants, and with one route that needs no key.
func (w *testEnv) withTenants(t *testing.T, list ...route.Tenant) {
	tenants, err := route.NewTenants(list)
	assert.NilError(t, err)
	old := w.Table()
	next := &route.Table{Version: old.Version + 1, Services: old.Services, Limits: old.Limits, Tenants: tenants}
	next.Routes = append(next.Routes, old.Routes...)
	if !old.Has("public") {
		next.Routes = append(next.Routes, route.Route{
			Name: "public", Host: "h", Prefix: "/public/", Kind: route.Safe, Timeout: longTimeout, Objective: time.Second, Attempts: 2,
			Targets: []route.Target{{Service: "plain"}}, Public: true,
		})
	}
	w.setTable(next)
}

// newFullEnv starts plain servers and engines.
func newFullEnv(t *testing.T) *testEnv {
	w := newPlainEnv(t)
	w.add(t, "pre", "llm", registry.Prefill)
	w.add(t, "d1", "llm", registry.Decode)
	w.add(t, "d2", "llm", registry.Decode)
	return w
}

// TestKeys guards against requests that reach servers with the caller's key and without the customer's name, and
// against requests that run with an unknown key.
func TestKeys(t *testing.T) {
	for _, c := range []struct {
		name, path, credentials string
		status                  int
		customer                string
	}{
		{"a key", "/safe/1", scheme + ownKey, 200, "a"},
		{"scheme in another case", "/safe/1", "tOKEN  " + otherKey, 200, "b"},
		{"no key", "/safe/1", "", 401, ""},
		{"an unknown key", "/safe/1", scheme + "key", 401, ""},
		{"an empty key", "/safe/1", scheme, 401, ""},
		{"another scheme", "/safe/1", "Basic " + ownKey, 401, ""},
		{"no key where none is needed", "/public/1", "", 200, ""},
		{"an unknown key where none is needed", "/public/1", scheme + "key", 200, ""},
		{"a key where none is needed", "/public/1", scheme + ownKey, 200, "a"},
		{"no key and no route", "/nowhere/", "", 404, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newPlainEnv(t)
			w.withTenants(t, tenant("a", ownKey), tenant("b", otherKey))
			extra := []string{site.Tenant, "forged"}
			if c.credentials != "" {
				extra = append(extra, site.Credentials, c.credentials)
			}
			got := w.post(t, c.path, extra...)
			assert.Equal(t, got.status, c.status)
			if c.status != 200 {
				assert.Equal(t, len(w.log.Calls()), 0)
				return
			}
			w.assertCustomer(t, c.customer)
		})
	}
}

// assertCustomer checks that servers were sent the customer's name, set once by the gateway, and no key.
func (w *testEnv) assertCustomer(t *testing.T, customer string) {
	t.Helper()
	for _, call := range w.log.Calls() {
		if call.Kind == site.Hold || call.Kind == site.Free || call.Kind == site.Drop {
			continue
		}
		assert.Equal(t, strings.Join(call.Header[site.Tenant], ","), customer, "%s at %s", call.Kind, call.Server)
		assert.Equal(t, call.Header.Get(site.Credentials), "", "%s at %s", call.Kind, call.Server)
	}
}

// TestKeyOfTwoValues checks that a request with two keys is rejected instead of using one of them.
func TestKeyOfTwoValues(t *testing.T) {
	w := newPlainEnv(t)
	w.withTenants(t, tenant("a", ownKey), tenant("b", otherKey))
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+w.addr+"/safe/1", nil)
	assert.NilError(t, err)
	r.Host = "h"
	r.Header = http.Header{site.RequestID: {"id-1"}, site.Credentials: {scheme + ownKey, scheme + otherKey}}
	res, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, res.StatusCode, http.StatusUnauthorized)
}

// TestEveryMessageNamesTheCustomer checks that prefills, runs, retries and resumed streams carry the customer's name
// and no key.
func TestEveryMessageNamesTheCustomer(t *testing.T) {
	for _, c := range []struct {
		name, path string
		setup      func(w *testEnv)
		kinds      string
	}{
		{"a stream", "/draft/1", func(*testEnv) {}, "prefill decode"},
		{"KV cache not fetched", "/resume/1", func(w *testEnv) { w.setDecodeBehaviour(site.FailKVFetch) }, "prefill decode decode"},
		{"resumed", "/resume/1", func(w *testEnv) { w.setDecodeBehaviour(site.CutStream) }, "prefill decode prefill decode"},
		{"a call that is retried", "/safe/1", func(w *testEnv) { w.servers["p1"].Behave(site.Fail) }, "plain plain"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFullEnv(t)
			w.withTenants(t, tenant("a", ownKey))
			c.setup(w)
			w.post(t, c.path, site.Credentials, scheme+ownKey, site.Tenant, "forged")
			var kinds []string
			for _, call := range w.log.Calls() {
				if call.Header != nil {
					kinds = append(kinds, call.Kind)
				}
			}
			assert.Equal(t, strings.Join(kinds, " "), c.kinds)
			w.assertCustomer(t, "a")
		})
	}
}

// TestWithoutTenants: a configuration without customers changes nothing, and the client's own credentials are passed
// on.
func TestWithoutTenants(t *testing.T) {
	w := newPlainEnv(t)
	got := w.post(t, "/safe/1", site.Credentials, scheme+"anything")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, w.log.Calls()[0].Header.Get(site.Credentials), scheme+"anything")
}

// TestUnprovedConfiguration: while it is not proved that a key has not been revoked, requests with keys are refused as
// not run, and a request with an unknown key does not learn that its key is unknown.
func TestUnprovedConfiguration(t *testing.T) {
	for _, c := range []struct {
		name, path, key       string
		recent, forUnknownKey bool
		status                int
	}{
		{"a known key", "/safe/1", ownKey, false, false, 503},
		{"a known key, proved", "/safe/1", ownKey, true, false, 200},
		{"an unknown key", "/safe/1", "new", true, false, 503},
		{"an unknown key, proved unknown", "/safe/1", "new", true, true, 401},
		{"no key", "/safe/1", "", false, false, 401},
		{"a route without keys", "/public/1", "", false, false, 200},
		{"a key on a route without keys", "/public/1", ownKey, false, false, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newPlainEnv(t)
			w.withTenants(t, tenant("a", ownKey))
			w.setProved(c.recent, c.forUnknownKey)
			var extra []string
			if c.key != "" {
				extra = []string{site.Credentials, scheme + c.key}
			}
			got := w.post(t, c.path, extra...)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.header.Get("Retry-After") != "", c.status == 503)
			assert.Equal(t, len(w.log.Calls()) > 0, c.status == 200)
			assert.Equal(t, w.met.Counter(metrics.RefusedPrefix+string(outcome.ConfigUnproved)).Count(), b2i(c.status == 503))
		})
	}
}

func b2i(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// TestKeyRevokedWhileQueued guards against running a request whose key was revoked while it waited for an engine. It
// is checked when it leaves the queue and refused as not run; so is one whose configuration is no longer proved.
func TestKeyRevokedWhileQueued(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(w *testEnv)
		status int
	}{
		{"the key is revoked", func(w *testEnv) { w.withTenants(t, tenant("a", otherKey)) }, 401},
		{"the proof has expired", func(w *testEnv) { w.setProved(false, false) }, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestEnv(t)
			w.withTenants(t, tenant("a", ownKey))
			w.add(t, "pre", "llm", registry.Prefill)
			done := make(chan answer, 1)
			go func() { done <- w.post(t, "/draft/patient/1", site.Credentials, scheme+ownKey) }()
			for w.view.countLookups("llm") == 0 {
				assert.NilError(t, t.Context().Err())
			}
			c.change(w)
			w.add(t, "d1", "llm", registry.Decode)
			assert.Equal(t, (<-done).status, c.status)
			for _, call := range w.log.Calls() {
				assert.Assert(t, call.Kind == site.Hold || call.Kind == site.Drop, "%s at %s", call.Kind, call.Server)
			}
			assert.Equal(t, len(w.quota.returned), 1, "what did not run is not charged")
		})
	}
}

// TestQuota: a request beyond a quota is refused at once and reaches no server; what did not run is refunded, and a
// retry is not charged again.
func TestQuota(t *testing.T) {
	const prompt, maxTokens, plainCost = 1000, 200, 200
	for _, c := range []struct {
		name, path      string
		left            float64
		setup           func(w *testEnv)
		status          int
		taken, returned int
	}{
		{"within", "/safe/1", plainCost, func(*testEnv) {}, 200, plainCost, 0},
		{"beyond", "/safe/1", plainCost - 1, func(*testEnv) {}, 429, 0, 0},
		{"a stream", "/draft/1", prompt + maxTokens, func(*testEnv) {}, 200, prompt + maxTokens, 0},
		{"a stream beyond", "/draft/1", prompt, func(*testEnv) {}, 429, 0, 0},
		{"repeated", "/safe/1", plainCost, func(w *testEnv) { w.servers["p1"].Behave(site.Fail) }, 200, plainCost, 0},
		{"failed", "/unsafe/1", plainCost, func(w *testEnv) { w.servers["p1"].Behave(site.Reset) }, 502, plainCost, 0},
		{"refused by its server", "/once/1", plainCost, func(w *testEnv) { w.servers["p1"].Behave(site.Shed) }, 503, plainCost, plainCost},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFullEnv(t)
			w.withTenants(t, tenant("a", ownKey))
			w.quota.left = c.left
			c.setup(w)
			got := w.post(t, c.path, site.Credentials, scheme+ownKey)
			assert.Equal(t, got.status, c.status)
			if c.status == 429 {
				assert.Equal(t, got.header.Get("Retry-After"), "1.50")
				assert.Equal(t, len(w.log.Calls()), 0)
			}
			assert.Equal(t, sum(w.quota.taken), float64(c.taken))
			assert.Equal(t, sum(w.quota.returned), float64(c.returned))
		})
	}
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// TestKeysAreNotLogged checks that keys appear in no log line, whatever happens to the requests.
func TestKeysAreNotLogged(t *testing.T) {
	w := newPlainEnv(t)
	w.withTenants(t, tenant("a", ownKey))
	w.post(t, "/safe/1", site.Credentials, scheme+ownKey)
	w.post(t, "/safe/1", site.Credentials, scheme+otherKey)
	w.setProved(false, false)
	w.post(t, "/safe/1", site.Credentials, scheme+ownKey)
	w.setProved(true, true)
	w.quota.left = 0
	w.post(t, "/safe/1", site.Credentials, scheme+ownKey)
	w.servers["p1"].Behave(site.Reset)
	w.quota.left = 1e9
	w.post(t, "/unsafe/1", site.Credentials, scheme+ownKey)
	assert.Assert(t, strings.Contains(w.logged.String(), `"customer":"a"`))
	for _, key := range []string{ownKey, otherKey, apikey.Of(ownKey).String()} {
		assert.Assert(t, !strings.Contains(w.logged.String(), key), w.logged.String())
	}
}

// TestUnknownKeysAreRejectedBeforeBody: a request without a known key is answered before its body is read; every other
// error is answered after that.
func TestUnknownKeysAreRejectedBeforeBody(t *testing.T) {
	for _, c := range []struct {
		name, path, credentials string
		forUnknownKey           bool
		status                  int
	}{
		{"no key", "/safe/1", "", true, 401},
		{"an unknown key", "/safe/1", scheme + "key", true, 401},
		{"an unknown key that may be new", "/safe/1", scheme + "key", false, 0},
		{"a key", "/safe/1", scheme + ownKey, true, 0},
		{"no key where none is needed", "/public/1", "", true, 0},
		{"no route", "/nowhere/", "", true, 0},
	} {
		w := newPlainEnv(t)
		w.withTenants(t, tenant("a", ownKey))
		w.setProved(true, c.forUnknownKey)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h"+c.path, nil)
		assert.NilError(t, err)
		if c.credentials != "" {
			r.Header.Set(site.Credentials, c.credentials)
		}
		assert.Equal(t, w.fwd.CheckHead(r), c.status, c.name)
		assert.Equal(t, len(w.fwd.Refusals()), int(b2i(c.status == 401)), c.name)
	}
	w := newPlainEnv(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/safe/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, w.fwd.CheckHead(r), 0, "a configuration without customers")
}

// TestQuarantineIsPerCustomer: a quarantined request is refused for its customer, whichever of the customer's keys it
// uses, and for no other customer: one customer's requests must not have another's refused.
func TestQuarantineIsPerCustomer(t *testing.T) {
	const secondKey = "second-key-of-a"
	w := newPlainEnv(t)
	w.withTenants(t, tenant("a", ownKey, secondKey), tenant("b", otherKey))
	crashing := fingerprint.Of(fingerprint.Request{Caller: "a", Method: http.MethodPost, Host: "h", Target: "/safe/1", Body: []byte("question")})
	w.guard.Receive(&peer.Suspects{Holds: []*peer.Hold{{Content: crashing[:], LeftMs: 60_000, ForMs: 60_000}}}, "another gateway")
	assert.Equal(t, w.post(t, "/safe/1", site.Credentials, scheme+ownKey).status, 503)
	assert.Equal(t, w.post(t, "/safe/1", site.Credentials, scheme+secondKey).status, 503)
	assert.Equal(t, w.post(t, "/safe/1", site.Credentials, scheme+otherKey).status, 200)
}
