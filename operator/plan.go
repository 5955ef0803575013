package operator

import (
	"fmt"
	"maps"
	"slices"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
)

// Action is the kind of change to one record.
type Action string

// Actions of a plan.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// Item is the planned change of one record.
type Item struct {
	Key    string        `json:"key"`
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// Plan is the set of changes that a commit would make, relative to one head revision.
type Plan struct {
	Head  uint64 `json:"head"`
	Items []Item `json:"items"`

	changes map[string]dissemination.Change
	// base is the snapshot that the plan was made against.
	base *Snapshot
}

// Empty reports whether there is nothing to change.
func (p *Plan) Empty() bool {
	return len(p.changes) == 0
}

// Options configure a plan.
type Options struct {
	// Prune removes the contracts that are absent from the desired state.
	Prune bool
	// Revive allows a retired backend server to be returned to service.
	Revive bool
}

// NewPlan compares the desired state with s. It rejects an API key that would belong
// to two customers, and the return of a retired backend server to service without Revive.
func NewPlan(s *Snapshot, wanted Desired, o Options) (*Plan, error) {
	if o.Prune {
		wanted = withPrunedContracts(s, wanted)
	}
	if err := checkOwners(s, wanted); err != nil {
		return nil, err
	}
	p := &Plan{Head: s.Head.Revision, Items: []Item{}, changes: make(map[string]dissemination.Change), base: s}
	for _, key := range slices.Sorted(maps.Keys(wanted)) {
		if err := checkRevival(s, key, wanted[key], o); err != nil {
			return nil, err
		}
		p.add(s, key, wanted[key])
	}
	return p, nil
}

func (p *Plan) add(s *Snapshot, key string, c dissemination.Change) {
	old, present := s.live(key)
	fields := diffBodies(old.Body, c.Body)
	action := ActionChange
	switch {
	case !present && c.Deleted, present && !c.Deleted && len(fields) == 0:
		return
	case !present:
		action = ActionAdd
	case c.Deleted:
		action = ActionRemove
	}
	p.Items = append(p.Items, Item{Key: key, Action: action, Fields: fields})
	p.changes[key] = c
}

func withPrunedContracts(s *Snapshot, wanted Desired) Desired {
	all := maps.Clone(wanted)
	for _, key := range s.liveKeys(dissemination.ContractPrefix) {
		if _, ok := all[key]; !ok {
			all[key] = dissemination.Change{Deleted: true}
		}
	}
	return all
}

// checkOwners rejects an API key of a desired contract that an unchanged contract already has.
func checkOwners(s *Snapshot, wanted Desired) error {
	owners := make(map[string]string)
	for _, key := range s.liveKeys(dissemination.ContractPrefix) {
		c, ok := s.contract(key)
		if _, replaced := wanted[key]; replaced || !ok {
			continue
		}
		for _, k := range c.Keys {
			owners[k.SHA256] = c.Customer
		}
	}
	for _, key := range slices.Sorted(maps.Keys(wanted)) {
		c, err := contract.Parse(key, []byte(wanted[key].Body))
		if err != nil {
			continue // a backend record or a deletion
		}
		for i, k := range c.Keys {
			if owner, taken := owners[k.SHA256]; taken {
				return badInput("%s: %s: the API key %q already belongs to customer %s", key, keyField(i), k.Name, owner)
			}
		}
	}
	return nil
}

func checkRevival(s *Snapshot, key string, c dissemination.Change, o Options) error {
	old, ok := s.backend(key)
	if !ok || !old.Retired || o.Revive || c.Deleted {
		return nil
	}
	b, err := contract.ParseBackend(key, []byte(c.Body))
	if err == nil && !b.Retired {
		return badInput("backend server %s was retired; use --revive to put it back in use", b.ID)
	}
	return nil
}

func keyField(i int) string {
	return fmt.Sprintf("keys[%d].sha256", i)
}
