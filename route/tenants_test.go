package route_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/apikey"
	"github.com/hibiscusspur/hibiscusspur/route"
)

func TestTenants(t *testing.T) {
	tenants, err := route.NewTenants([]route.Tenant{
		{Name: "a", Keys: []apikey.Hash{apikey.Of("k1"), apikey.Of("k2")}},
		{Name: "b", Keys: []apikey.Hash{apikey.Of("k3")}},
		{Name: "c"},
	})
	assert.NilError(t, err)
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		tenant, ok := tenants.ByKey(apikey.Of(key))
		assert.Assert(t, ok, key)
		assert.Equal(t, tenant.Name, want)
	}
	_, ok := tenants.ByKey(apikey.Of(""))
	assert.Assert(t, !ok)
}

func TestInvalidTenants(t *testing.T) {
	shared := []apikey.Hash{apikey.Of("k")}
	for name, c := range map[string]struct {
		list        []route.Tenant
		tenant, key int
	}{
		"no name":                     {[]route.Tenant{{Name: "a"}, {}}, 1, -1},
		"two tenants with one name":   {[]route.Tenant{{Name: "a"}, {Name: "a"}}, 1, -1},
		"two tenants with one key":    {[]route.Tenant{{Name: "a", Keys: shared}, {Name: "b", Keys: shared}}, 1, 0},
		"one tenant with a key twice": {[]route.Tenant{{Name: "a", Keys: append(shared, shared...)}}, 0, 1},
	} {
		_, err := route.NewTenants(c.list)
		var fault *route.TenantError
		assert.Assert(t, errors.As(err, &fault), name)
		assert.Equal(t, fault.Tenant, c.tenant, name)
		assert.Equal(t, fault.Key, c.key, name)
	}
}

func TestCost(t *testing.T) {
	tokens := route.Quota{Unit: route.Tokens, DefaultCost: 200}
	assert.Equal(t, tokens.Cost(1540, true), 1540.0)
	assert.Equal(t, tokens.Cost(0, false), 200.0)
	assert.Equal(t, tokens.Cost(0, true), 0.0)
	requests := route.Quota{DefaultCost: 200}
	assert.Equal(t, requests.Cost(1540, true), 1.0)
}
