package forward

import (
	"math"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
	"github.com/hibiscusspur/hibiscusspur/policy/prefillpool"
	"github.com/hibiscusspur/hibiscusspur/policy/waitqueue"
)

// memoryConfig returns the configuration for choosing decode engines without the disabled mechanisms.
func memoryConfig(off mechanism.Set) kvmemory.Config {
	c := kvmemory.DefaultConfig()
	if off.Has(mechanism.Stagger) {
		c.Stagger = 0
	}
	if off.Has(mechanism.LateHeadroom) {
		c.LateSpare = 0
	}
	if off.Has(mechanism.ZoneBonus) {
		c.ZoneBonus = 0
	}
	if off.Has(mechanism.Pace) {
		c.Pace = kvmemory.PaceConfig{}
	}
	return c
}

// prefillConfig returns the configuration for choosing prefill engines without the disabled mechanisms.
func prefillConfig(off mechanism.Set) prefillpool.Config {
	c := prefillpool.DefaultConfig()
	if off.Has(mechanism.LocalPrefill) {
		c.DecodePrefillFactor = 0
	}
	return c
}

// queuePolicy returns the policy of the wait queue without the disabled mechanisms.
func queuePolicy(off mechanism.Set) waitqueue.Policy {
	policy := waitqueue.DefaultPolicy()
	if off.Has(mechanism.RetryQueueing) {
		policy.LateWait = 0
	}
	if off.Has(mechanism.EarlyRejection) {
		policy.RejectFactor = math.Inf(1)
	}
	return policy
}
