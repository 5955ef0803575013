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
	if off.Has(mechanism.Stagger) {
		c.Turn = 0
	}
	if off.Has(mechanism.LateHeadroom) {
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
	if off.Has(mechanism.LocalPrefill) {
		c.DecodePrefillFactor = 0
	}
	return c
}

// waitingTerms is the same for requests that wait.
func waitingTerms(off mechanism.Set) waitqueue.Policy {
	t := waitqueue.DefaultPolicy()
	if off.Has(mechanism.RetryQueueing) {
		t.LateWait = 0
	}
	if off.Has(mechanism.EarlyRejection) {
		t.RejectFactor = math.Inf(1)
	}
	return t
}
