package gateway

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/apikey"
	"github.com/hibiscusspur/hibiscusspur/policy/freshness"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// TestAccessTellsNoKey: what a gateway tells of its customers holds neither keys nor their hashes.
func TestAccessTellsNoKey(t *testing.T) {
	withKeyedFleet(t, func(t *testing.T, f *keyedFleet) {
		const key = "secret-key"
		tenants, err := route.NewTenants([]route.Tenant{
			{Name: "a", Keys: []apikey.Hash{apikey.Of(key)}, Quota: route.Quota{Unit: route.Tokens, Rate: 1000, Burst: 2000}},
			{Name: "unbounded"},
		})
		assert.NilError(t, err)
		s := f.gateways[0]
		s.takeTable(&route.Table{Version: 9, Tenants: tenants}, nil, fromStore)
		_, ok := s.quotas.Take("a", route.Quota{Rate: 1000, Burst: 2000}, 500)
		assert.Assert(t, ok)

		w := httptest.NewRecorder()
		s.answerAccess(w, nil)
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

// TestAccessWithoutKeys: a gateway whose configuration asks for no keys trusts it, however old it is.
func TestAccessWithoutKeys(t *testing.T) {
	s := New(Settings{VM: "g", Keys: freshness.Bounds{Revoke: revoke}}, testDeps())
	a := s.access()
	assert.Assert(t, a.Trusted)
	assert.Equal(t, a.ProofAgeMs, int64(-1))
	assert.Equal(t, len(a.Customers), 0)
}
