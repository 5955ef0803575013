package entry

import (
	"slices"

	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/policy/placement"
)

// Policy selects how the entry decides. The defaults are meant for production; the others are baselines for
// comparison.
type Policy struct {
	// Placement is the picker: expected, random, roundrobin or leastload.
	Placement string `yaml:"placement"`
	// Reserve sets whether a decode slot is reserved before the prefill.
	Reserve bool `yaml:"reserve"`
	// SubsetSize is the number of backend servers of one model and role that the
	// entry keeps links to; zero means all.
	SubsetSize int `yaml:"subset_size"`
	// Limits is how the contracts' limits are enforced over all entries: demand, by the load that sidecars
	// report, or static, a fixed share for each entry.
	Limits string `yaml:"limits"`
	// Quarantine sets whether requests are held back under which backend servers repeatedly terminated.
	Quarantine bool `yaml:"quarantine"`
	// Entries and Index, when set, are the number of entries and this one's index among them, from 0. They
	// even out how many entries link to one server, and divide the polls of the list of VMs among the
	// entries. Static limits need the number.
	Entries int `yaml:"entries,omitempty"`
	Index   int `yaml:"index,omitempty"`
}

// defaultSubsetSize covers every server of a model at present deployment sizes.
const defaultSubsetSize = 16

// Bounds of the settings.
const (
	maxSubsetSize = 4096
	maxEntries    = 65536
)

// DefaultPolicy returns the policy that is meant for production.
func DefaultPolicy() Policy {
	return Policy{Placement: placement.Expected, Reserve: true, SubsetSize: defaultSubsetSize, Limits: limit.Demand, Quarantine: true}
}

func (p *Policy) check(fail func(field, format string, args ...any)) {
	if !slices.Contains(placement.Names(), p.Placement) {
		fail("policy.placement", "must be one of %v, got %q", placement.Names(), p.Placement)
	}
	if !slices.Contains(limit.Names(), p.Limits) {
		fail("policy.limits", "must be one of %v, got %q", limit.Names(), p.Limits)
	}
	if p.SubsetSize < 0 || p.SubsetSize > maxSubsetSize {
		fail("policy.subset_size", "must be from 0 to %d, got %d", maxSubsetSize, p.SubsetSize)
	}
	if p.Entries < 0 || p.Entries > maxEntries {
		fail("policy.entries", "must be from 0 to %d, got %d", maxEntries, p.Entries)
	}
	if p.Index < 0 || (p.Index > 0 && p.Index >= p.Entries) {
		fail("policy.index", "must be from 0 and less than policy.entries, got %d", p.Index)
	}
}
