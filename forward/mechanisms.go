package forward

import (
	"math"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
)

// memoryConfig is how decode engines are chosen without the mechanisms that are off.
func memoryConfig(off mechanism.Set) kvmemory.Config {
	c := kvmemory.DefaultConfig()
	if off.Has(mechanism.Turns) {
		c.Stagger = 0
	}
	if off.Has(mechanism.LateSpare) {
		c.LateSpare = 0
	}
	if off.Has(mechanism.ZoneBonus) {
		c.ZoneBonus = 0
	}
	return c
}

// readingConfig is the same for who reads prompts.
func readingConfig(off mechanism.Set) prefillpool.Config {
	c := prefillpool.DefaultConfig()
	if off.Has(mechanism.SelfRead) {
		c.Self = 0
	}
	return c
}

// waitingTerms is the same for requests that wait.
func waitingTerms(off mechanism.Set) waitqueue.Terms {
	t := waitqueue.DefaultTerms()
	if off.Has(mechanism.LateWait) {
		t.LateWait = 0
	}
	if off.Has(mechanism.Hopeless) {
		t.Doubt = math.Inf(1)
	}
	return t
}
