// Package lab starts whole deployments as separate processes on loopback for an
// experiment: the stand-in of the platform, engines, sidecars and entries. It
// stops them at the end, also after a failure.
package lab

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/load"
)

// Engine is the model of one engine.
type Engine struct {
	Places               int
	StepBase, StepPerRun time.Duration
	// PrefillRate is in tokens per second, LinkRate in bytes per second.
	PrefillRate, LinkRate float64
	KVBytesPerToken       int64
	KVTTL                 time.Duration
	CacheTokens           int
	LoadLag, EventDelay   time.Duration
	EventLoss             float64
}

// Step is the time of a decode step of a full batch.
func (e Engine) Step() time.Duration {
	return e.StepBase + time.Duration(e.Places)*e.StepPerRun
}

// Pool is a number of equal engines for one model.
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
	// Flows are offered to the deployment; their classes make up its contracts.
	// A load of 1 is its capacity.
	Flows []load.Flow
	// Services are plain services, with one backend server each.
	Services []string
}

// Large engines read long files, small ones answer quickly. A full batch takes a
// step of 30 ms and 25 ms.
func largeEngine() Engine {
	return Engine{
		Places: 20, StepBase: 20 * time.Millisecond, StepPerRun: 500 * time.Microsecond,
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
	// SizeFull is that of both deployments today: 18 + 3 and 9 + 3 replicas.
	SizeFull = "brief"
	// SizeSmall is for demonstrations and checks.
	SizeSmall = "small"
)

// Deployments returns both deployments in a size.
func Deployments(size string) []Deployment {
	n := counts{draftPrefill: 12, draftDecode: 6, portal: 3, rulePrefill: 6, ruleDecode: 3, receipt: 3, entries: 3}
	if size == SizeSmall {
		n = counts{draftPrefill: 4, draftDecode: 2, portal: 1, rulePrefill: 2, ruleDecode: 1, receipt: 1, entries: 2}
	}
	return []Deployment{reykjavik(n), carpathians(n)}
}

type counts struct {
	draftPrefill, draftDecode, portal int
	rulePrefill, ruleDecode, receipt  int
	entries                           int
}

// The pools of urgent work are larger than their load needs, so that they are
// not full when those of long work are.
const urgentShare = 0.7

func reykjavik(n counts) Deployment {
	d := Deployment{
		Name: load.Samtok.ID, Zones: []string{"rvk-a", "rvk-b", "rvk-c"}, Entries: n.entries,
		Pools: []Pool{
			{"drafting", "prefill", n.draftPrefill, largeEngine()},
			{"drafting", "decode", n.draftDecode, largeEngine()},
			{"portal", "mixed", n.portal, smallEngine()},
		},
	}
	d.Flows = []load.Flow{
		{Class: load.Lookup, Rate: urgentShare * d.Capacity(load.Lookup), Burst: load.Peak()},
		{Class: load.Drafting, Rate: d.Capacity(load.Drafting)},
	}
	return d
}

func carpathians(n counts) Deployment {
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
		{Class: load.Receipt, Rate: urgentShare * d.Capacity(load.Receipt), Burst: load.Peak()},
		{Class: load.PermitStatus, Rate: 2, Fixed: true},
		{Class: load.PermitReceipt, Rate: 2, Fixed: true},
	}
	return d
}
