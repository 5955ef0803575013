package dissemination

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hibiscusspur/hibiscusspur/apikey"
	"github.com/hibiscusspur/hibiscusspur/contract"
)

// Index holds the contracts and backend records of a State parsed for lookup. It is
// safe for concurrent use. The values that it returns are shared and must not be
// changed.
type Index struct {
	report func(key string, revision uint64, err error)

	mu        sync.RWMutex
	contracts map[string]contractVersion
	backends  map[string]contract.Backend
	sorted    []contract.Backend // backends by id; nil after a change, until the next use
	keys      apikey.Owners
}

type contractVersion struct {
	contract *contract.Contract
	revision uint64
}

// NewIndex returns an index that follows s. Call it before the first Apply. The
// latest valid record of a key stays in force. report is called on the applying
// goroutine for each rejected record and must not call s.
func NewIndex(s *State, report func(key string, revision uint64, err error)) *Index {
	x := &Index{
		report:    report,
		contracts: make(map[string]contractVersion),
		backends:  make(map[string]contract.Backend),
		keys:      make(apikey.Owners),
	}
	s.Watch(x.apply)
	x.apply(s.Since(0))
	return x
}

// CustomerByKey returns the customer that owns the API key with this hash.
func (x *Index) CustomerByKey(hash apikey.Hash) (string, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.keys.Owner(hash)
}

// Contract returns the contract of a customer and the revision that last changed it.
func (x *Index) Contract(customer string) (*contract.Contract, uint64, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	c, ok := x.contracts[customer]
	return c.contract, c.revision, ok
}

// Customers returns the customers that have a contract, sorted.
func (x *Index) Customers() []string {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return slices.Sorted(maps.Keys(x.contracts))
}

// Backends returns all backend records by id, retired ones included. The list is
// rebuilt by the first call after a change.
func (x *Index) Backends() []contract.Backend {
	x.mu.RLock()
	list := x.sorted
	x.mu.RUnlock()
	if list != nil {
		return list
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sorted == nil {
		x.sorted = x.sortedBackends()
	}
	return x.sorted
}

func (x *Index) sortedBackends() []contract.Backend {
	list := make([]contract.Backend, 0, len(x.backends))
	for _, id := range slices.Sorted(maps.Keys(x.backends)) {
		list = append(list, x.backends[id])
	}
	return list
}

// Backend returns one backend record.
func (x *Index) Backend(id string) (contract.Backend, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	b, ok := x.backends[id]
	return b, ok
}

func (x *Index) apply(d Delta) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range d.Records {
		if err := x.applyRecord(r); err != nil {
			x.report(r.Key, r.Revision, err)
		}
	}
}

// applyRecord applies one record, or returns why it was rejected.
func (x *Index) applyRecord(r Record) error {
	if customer, ok := strings.CutPrefix(r.Key, ContractPrefix); ok {
		return x.applyContract(customer, r)
	}
	if id, ok := strings.CutPrefix(r.Key, BackendPrefix); ok {
		return x.applyBackend(id, r)
	}
	return nil
}

func (x *Index) applyContract(customer string, r Record) error {
	if r.Deleted {
		x.removeContract(customer)
		return nil
	}
	c, err := contract.Parse(r.Key, r.Value)
	if err != nil {
		return err
	}
	if c.Customer != customer {
		return fmt.Errorf("row of %q holds a contract of %q", customer, c.Customer)
	}
	x.removeContract(customer)
	x.contracts[customer] = contractVersion{c, r.Revision}
	for _, k := range c.Keys {
		hash, err := apikey.Parse(k.SHA256)
		if err != nil {
			return err // unreachable: Parse has checked the hash
		}
		if others := x.keys.Add(hash, customer); len(others) > 0 {
			x.report(r.Key, r.Revision, fmt.Errorf("key %q also belongs to %s; none may use it", k.Name, strings.Join(others, ", ")))
		}
	}
	return nil
}

func (x *Index) removeContract(customer string) {
	if old, ok := x.contracts[customer]; ok {
		for _, k := range old.contract.Keys {
			if hash, err := apikey.Parse(k.SHA256); err == nil {
				x.keys.Remove(hash, customer)
			}
		}
	}
	delete(x.contracts, customer)
}

func (x *Index) applyBackend(id string, r Record) error {
	if r.Deleted {
		delete(x.backends, id)
		x.sorted = nil
		return nil
	}
	b, err := contract.ParseBackend(r.Key, r.Value)
	if err != nil {
		return err
	}
	if b.ID != id {
		return fmt.Errorf("row of %q holds backend server %q", id, b.ID)
	}
	x.backends[id] = *b
	x.sorted = nil
	return nil
}
