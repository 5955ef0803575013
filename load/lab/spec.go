// Package lab starts whole deployments as separate processes on loopback for an
// experiment: the stand-in of the platform, engines, sidecars and entries. It stops them
// at the end, even after a failure.
package lab

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/load"
)

// Engine holds the simulation parameters of one stand-in engine.
type Engine struct {
	DecodeSlots          int
	StepBase, StepPerRun time.Duration
	// PrefillRate is in tokens per second, LinkRate in bytes per second.
	PrefillRate, LinkRate float64
	KVBytesPerToken       int64
	KVTTL                 time.Duration
	CacheTokens           int
	LoadLag, EventDelay   time.Duration
	EventLoss             float64
}

// Step returns the duration of a decode step of a full batch.
func (e Engine) Step() time.Duration {
	return e.StepBase + time.Duration(e.DecodeSlots)*e.StepPerRun
}

// Pool is a number of identical engines for one model.
type Pool struct {
	Model  string
	Role   string
	Count  int
	Engine Engine
}

// Deployment is one region of one provider: a platform, entries and pools.
type Deployment struct {
	Name    string
	Zones   []string
	Entries int
	Pools   []Pool
	// Flows are offered to the deployment; their classes define its contracts. A load of 1
	// is the capacity of the deployment.
	Flows []load.Flow
	// Services are plain services, with one backend server each.
	Services []string
}

// Large engines serve long prompts, small ones interactive requests. A decode step of a
// full batch takes 30 ms on a large and 25 ms on a small engine.
func largeEngine() Engine {
	return Engine{
		DecodeSlots: 20, StepBase: 20 * time.Millisecond, StepPerRun: 500 * time.Microsecond,
		PrefillRate: 5000, LinkRate: 4e9, KVBytesPerToken: 128 << 10, KVTTL: 800 * time.Millisecond,
		CacheTokens: 24000, LoadLag: 500 * time.Millisecond, EventDelay: 300 * time.Millisecond, EventLoss: 0.05,
	}
}

func smallEngine() Engine {
	e := largeEngine()
	e.StepBase = 15 * time.Millisecond
	e.PrefillRate = 10000
	return e
}

// Sizes of a lab.
const (
	// SizeFull is the current size of both deployments: 18 + 3 and 9 + 3 replicas.
	SizeFull = "brief"
	// SizeSmall is for demonstrations and checks.
	SizeSmall = "small"
)

// Deployments returns both deployments at a size.
func Deployments(size string) []Deployment {
	n := poolCounts{draftPrefill: 12, draftDecode: 6, portal: 3, rulePrefill: 6, ruleDecode: 3, receipt: 3, entries: 3}
	if size == SizeSmall {
		n = poolCounts{draftPrefill: 4, draftDecode: 2, portal: 1, rulePrefill: 2, ruleDecode: 1, receipt: 1, entries: 2}
	}
	return []Deployment{reykjavik(n), carpathians(n)}
}

type poolCounts struct {
	draftPrefill, draftDecode, portal int
	rulePrefill, ruleDecode, receipt  int
	entries                           int
}

// The pools of urgent work are overprovisioned, so that they are not saturated when those
// of long work are.
const urgentShare = 0.7

func reykjavik(n poolCounts) Deployment {
	d := Deployment{
		Name: load.Samtok.ID, Zones: []string{"rvk-a", "rvk-b", "rvk-c"}, Entries: n.entries,
		Pools: []Pool{
			{"drafting", "prefill", n.draftPrefill, largeEngine()},
			{"drafting", "decode", n.draftDecode, largeEngine()},
			{"portal", "mixed", n.portal, smallEngine()},
		},
	}
	d.Flows = []load.Flow{
		{Class: load.Lookup, Rate: urgentShare * d.Capacity(load.Lookup), Burst: load.InteractiveBurst()},
		{Class: load.Drafting, Rate: d.Capacity(load.Drafting)},
	}
	return d
}

func carpathians(n poolCounts) Deployment {
	d := Deployment{
		Name: load.Permisele.ID, Zones: []string{"crp-a", "crp-b", "crp-c"}, Entries: n.entries,
		Services: []string{"permits"},
		Pools: []Pool{
			{"ruling", "prefill", n.rulePrefill, largeEngine()},
			{"ruling", "decode", n.ruleDecode, largeEngine()},
			{"receipt", "mixed", n.receipt, smallEngine()},
		},
	}
	d.Flows = []load.Flow{
		{Class: load.Ruling, Rate: d.Capacity(load.Ruling)},
		{Class: load.Receipt, Rate: urgentShare * d.Capacity(load.Receipt), Burst: load.InteractiveBurst()},
		{Class: load.PermitStatus, Rate: 2, Fixed: true},
		{Class: load.PermitReceipt, Rate: 2, Fixed: true},
	}
	return d
}
