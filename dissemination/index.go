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

// Index keeps the contracts and backend records of a State parsed and ready for
// lookup. It is safe for concurrent use. What it returns is shared and must not
// be changed.
type Index struct {
	report func(key string, revision uint64, err error)

	mu        sync.RWMutex
	contracts map[string]contractAt
	backends  map[string]contract.Backend
	list      []contract.Backend // backends by id; nil when it is to be made anew
	keys      apikey.Owners
}

type contractAt struct {
	contract *contract.Contract
	revision uint64
}

// NewIndex returns an index that follows s. Call it before the first Apply. The
// latest record that parses stays in force; report is called, on the applying
// goroutine, for each record that was kept out and must not call s.
func NewIndex(s *State, report func(key string, revision uint64, err error)) *Index {
	x := &Index{
		report:    report,
		contracts: make(map[string]contractAt),
		backends:  make(map[string]contract.Backend),
		keys:      make(apikey.Owners),
	}
	s.Watch(x.apply)
	x.apply(s.Since(0))
	return x
}

// CustomerByKey returns the customer to whom the API key with this hash belongs.
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
// made anew when it is asked for after a record has changed.
func (x *Index) Backends() []contract.Backend {
	x.mu.RLock()
	list := x.list
	x.mu.RUnlock()
	if list != nil {
		return list
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.list == nil {
		x.list = x.sortedBackends()
	}
	return x.list
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
		if err := x.take(r); err != nil {
			x.report(r.Key, r.Revision, err)
		}
	}
}

// take applies one record, or returns why it is kept out.
func (x *Index) take(r Record) error {
	if customer, ok := strings.CutPrefix(r.Key, ContractPrefix); ok {
		return x.takeContract(customer, r)
	}
	if id, ok := strings.CutPrefix(r.Key, BackendPrefix); ok {
		return x.takeBackend(id, r)
	}
	return nil
}

func (x *Index) takeContract(customer string, r Record) error {
	if r.Deleted {
		x.dropContract(customer)
		return nil
	}
	c, err := contract.Parse(r.Key, r.Value)
	if err != nil {
		return err
	}
	if c.Customer != customer {
		return fmt.Errorf("row of %q holds a contract of %q", customer, c.Customer)
	}
	x.dropContract(customer)
	x.contracts[customer] = contractAt{c, r.Revision}
	for _, k := range c.Keys {
		hash, err := apikey.Parse(k.SHA256)
		if err != nil {
			return err // The contract was checked for it.
		}
		if others := x.keys.Add(hash, customer); len(others) > 0 {
			x.report(r.Key, r.Revision, fmt.Errorf("key %q also belongs to %s; none may use it", k.Name, strings.Join(others, ", ")))
		}
	}
	return nil
}

func (x *Index) dropContract(customer string) {
	if old, ok := x.contracts[customer]; ok {
		for _, k := range old.contract.Keys {
			if hash, err := apikey.Parse(k.SHA256); err == nil {
				x.keys.Remove(hash, customer)
			}
		}
	}
	delete(x.contracts, customer)
}

func (x *Index) takeBackend(id string, r Record) error {
	if r.Deleted {
		delete(x.backends, id)
		x.list = nil
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
	x.list = nil
	return nil
}
