package load

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
)

// The two customers, with the API keys of the example contracts.
var (
	Samtok    = Customer{ID: "samtok", Brand: "Samtök Neytendagerðar Íslands", Key: "demo-samtok-key", Share: 1}
	Permisele = Customer{ID: "permisele", Brand: "Permisele Carpatice Dobrescu & Fiii", Key: "demo-permisele-key", Share: 1}
)

// The classes of both customers. The latency objectives of deferred classes are tighter
// than in the example contracts, so that a run of half a minute shows the effect of
// queueing.
var (
	// Lookup is a question about case status or a hearing date.
	Lookup = &Class{
		Customer: Samtok, Name: "lookup", Model: "portal",
		Unique: Lengths{Mean: 80, Sigma: 0.5, Min: 20, Max: 400}, Shared: Shared{Texts: 4, Tokens: Fixed(128)},
		Answer: Lengths{Mean: 30, Sigma: 0.4, Min: 8, Max: 100},
		TTFT:   800 * time.Millisecond, TBT: 100 * time.Millisecond, Deadline: 10 * time.Second,
	}
	// Drafting generates a draft from a whole dispute file.
	Drafting = &Class{
		Customer: Samtok, Name: "drafting", Model: "drafting",
		Unique: Lengths{Mean: 3200, Sigma: 0.5, Min: 400, Max: 10000}, Shared: Shared{Texts: 6, Tokens: Fixed(512)},
		Answer: Lengths{Mean: 300, Sigma: 0.4, Min: 80, Max: 800},
		TTFT:   5 * time.Second, TBT: 100 * time.Millisecond, Deadline: time.Minute,
		Urgency: contract.Deferred, Unrepeatable: true,
	}
	// Ruling generates a brief answer about one of the trail dossiers.
	Ruling = &Class{
		Customer: Permisele, Name: "ruling", Model: "ruling",
		Unique: Lengths{Mean: 500, Sigma: 0.5, Min: 100, Max: 2000},
		// The popular dossiers fit into the prefix caches of all engines together, but not
		// into a single one.
		Shared: Shared{Texts: 60, Tokens: Lengths{Mean: 2600, Sigma: 0.5, Min: 600, Max: 8000}, Skew: 0.9},
		Answer: Lengths{Mean: 200, Sigma: 0.4, Min: 50, Max: 500},
		TTFT:   4 * time.Second, TBT: 100 * time.Millisecond, Deadline: 45 * time.Second,
		Urgency: contract.Deferred, Unrepeatable: true,
	}
	// Receipt confirms a visitor permit.
	Receipt = &Class{
		Customer: Permisele, Name: "receipt", Model: "receipt",
		Unique: Lengths{Mean: 60, Sigma: 0.4, Min: 20, Max: 200}, Shared: Shared{Texts: 2, Tokens: Fixed(64)},
		Answer: Lengths{Mean: 24, Sigma: 0.3, Min: 10, Max: 60},
		TTFT:   800 * time.Millisecond, TBT: 100 * time.Millisecond, Deadline: 15 * time.Second,
		Urgency: contract.Prompt, Unrepeatable: true,
	}
	// PermitStatus and PermitReceipt call the permit service; the latter must not be
	// repeated.
	PermitStatus = &Class{
		Customer: Permisele, Name: "permit-status", TTFT: 500 * time.Millisecond, Deadline: 5 * time.Second,
		Service: &ServiceCall{Service: "permits", Method: "GET", Path: "/status/17"},
	}
	PermitReceipt = &Class{
		Customer: Permisele, Name: "permit-receipt", TTFT: 500 * time.Millisecond, Deadline: 5 * time.Second,
		Service: &ServiceCall{Service: "permits", Method: "POST", Path: "/receipts"},
	}
)

// InteractiveBurst is the traffic of interactive users: bursts of a few seconds.
func InteractiveBurst() Burst { return Burst{Factor: 1.4, On: 2 * time.Second, Off: 4 * time.Second} }

// DemoFlows returns a small load for both deployments.
func DemoFlows() []Flow {
	return []Flow{
		{Class: Lookup, Rate: 6, Burst: InteractiveBurst()},
		{Class: Drafting, Rate: 1},
		{Class: Ruling, Rate: 1},
		{Class: Receipt, Rate: 4, Burst: InteractiveBurst()},
		{Class: PermitStatus, Rate: 2},
		{Class: PermitReceipt, Rate: 2},
	}
}

// WithContractTargets returns a copy of flows with the latency objectives and deadlines of
// contracts.
func WithContractTargets(flows []Flow, contracts []*contract.Contract) []Flow {
	out := make([]Flow, len(flows))
	for i, f := range flows {
		c := *f.Class
		for _, ct := range contracts {
			c.useContractTargets(ct)
		}
		f.Class = &c
		out[i] = f
	}
	return out
}

func (c *Class) useContractTargets(ct *contract.Contract) {
	if ct.Customer != c.Customer.ID {
		return
	}
	for _, cl := range ct.Classes {
		if cl.Name == c.Name {
			c.TTFT, c.TBT, c.Deadline = cl.TTFT, cl.TBT, cl.Deadline
		}
	}
}
