package route

import (
	"fmt"

	"github.com/hibiscusspur/hibiscusspur/apikey"
)

// Unit is the unit that a tenant's quota counts.
type Unit uint8

const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts a request as the tokens of its prompt and the maximum that it may generate.
	Tokens
)

// String returns the name of u for operators.
func (u Unit) String() string {
	if u == Tokens {
		return "tokens"
	}
	return "requests"
}

// Tenant is a customer of the users' platform.
type Tenant struct {
	Name string
	// Keys authenticate its callers.
	Keys []apikey.Hash
	// Priority overrides that of the route if HasPriority is set; zero is the highest.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Quota bounds the requests of a tenant, over all gateways together.
type Quota struct {
	Unit Unit
	// Rate is in units per second, Burst in units; a zero Rate means no bound.
	Rate, Burst float64
	// DefaultCost is the cost in Tokens of a request that states no size.
	DefaultCost float64
}

// Cost returns the cost of a request with so many tokens in its prompt and to generate at most; sized is false
// for a request that states neither.
func (q *Quota) Cost(tokens int, sized bool) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case !sized:
		return q.DefaultCost
	default:
		return float64(tokens)
	}
}

// Tenants are the tenants of one version of the configuration. They must not be changed once shared.
type Tenants struct {
	list   []Tenant
	byName map[string]*Tenant
	owners apikey.Owners
}

// TenantError is an error in the configuration of one tenant, or of one of its keys if Key is not negative. It does not
// contain the key itself.
type TenantError struct {
	Tenant, Key int
	Message     string
}

// Error implements error.
func (e *TenantError) Error() string {
	if e.Key < 0 {
		return fmt.Sprintf("tenant %d: %s", e.Tenant, e.Message)
	}
	return fmt.Sprintf("tenant %d, key %d: %s", e.Tenant, e.Key, e.Message)
}

// NewTenants returns the tenants of a list, or a *TenantError if one has no name or two share a name or a key.
func NewTenants(list []Tenant) (*Tenants, error) {
	t := &Tenants{list: list, byName: make(map[string]*Tenant, len(list)), owners: apikey.Owners{}}
	for i := range list {
		tenant := &list[i]
		if _, ok := t.byName[tenant.Name]; ok || tenant.Name == "" {
			return nil, &TenantError{Tenant: i, Key: -1, Message: "needs a name that no other tenant has"}
		}
		t.byName[tenant.Name] = tenant
		for k, h := range tenant.Keys {
			if others := t.owners.Add(h, tenant.Name); len(others) > 0 {
				return nil, &TenantError{Tenant: i, Key: k, Message: fmt.Sprintf("is already a key of %s", others[0])}
			}
		}
	}
	return t, nil
}

// ByKey returns the tenant that owns a key.
func (t *Tenants) ByKey(h apikey.Hash) (*Tenant, bool) {
	name, ok := t.owners.Owner(h)
	if !ok {
		return nil, false
	}
	return t.byName[name], true
}

// List returns all tenants in the order of the configuration.
func (t *Tenants) List() []Tenant { return t.list }
