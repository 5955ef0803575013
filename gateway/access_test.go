package gateway

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/apikey"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// TestAccessExposesNoKey: the access report of a gateway holds neither customers' keys nor their hashes.
func TestAccessExposesNoKey(t *testing.T) {
	withKeyedCluster(t, func(t *testing.T, cl *keyedCluster) {
		const key = "secret-key"
		tenants, err := route.NewTenants([]route.Tenant{
			{Name: "a", Keys: []apikey.Hash{apikey.Of(key)}, Quota: route.Quota{Unit: route.Tokens, Rate: 1000, Burst: 2000}},
			{Name: "unbounded"},
		})
		assert.NilError(t, err)
		s := cl.gateways[0]
		s.installTable(&route.Table{Version: 9, Tenants: tenants}, nil, fromStore)
		_, ok := s.quotas.Take("a", route.Quota{Rate: 1000, Burst: 2000}, forward.QuotaRequest{Cost: 500})
		assert.Assert(t, ok)

		w := httptest.NewRecorder()
		s.handleAccess(w, nil)
		body := w.Body.String()
		assert.Assert(t, !strings.Contains(body, key) && !strings.Contains(body, apikey.Of(key).String()), body)
		var a Access
		assert.NilError(t, json.Unmarshal([]byte(body), &a))
		assert.Equal(t, a.Version, int64(9))
		assert.Equal(t, len(a.Customers), 2)
		got := a.Customers[0]
		assert.Equal(t, got.Name, "a")
		assert.Equal(t, got.Keys, 1)
		assert.Equal(t, got.Unit, "tokens")
		assert.Equal(t, got.Used, 500.0)
		assert.Equal(t, got.Rate, 1000.0)
		assert.Equal(t, a.Customers[1].Rate, 0.0)
		assert.Assert(t, a.Trusted && a.ProofAgeMs >= 0)
	})
}

// TestAccessWithoutKeys: a gateway whose configuration requires no keys trusts it at any age.
func TestAccessWithoutKeys(t *testing.T) {
	s := New(Settings{VM: "g", Freshness: freshness.Bounds{Revoke: revoke}}, testDeps())
	a := s.access()
	assert.Assert(t, a.Trusted)
	assert.Equal(t, a.ProofAgeMs, int64(-1))
	assert.Equal(t, len(a.Customers), 0)
}
