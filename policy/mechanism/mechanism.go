// Package mechanism lists the decision mechanisms of a gateway that can be switched off by a
// setting: to measure the benefit of each, or during an incident when one of them does harm.
package mechanism

import (
	"fmt"
	"math/bits"
	"strings"
)

// Mechanism identifies one decision mechanism.
type Mechanism uint8

// The mechanisms of a gateway. docs/CONFIG.md describes the behavior without each of them.
const (
	// Forecast places runs by the predicted peak of their joint KV memory, from learned output
	// lengths.
	Forecast Mechanism = iota
	// Stagger delays gateways by different times before they use memory that became free.
	Stagger
	// LateHeadroom keeps memory free on engines where requests past their latency
	// objective are placed.
	LateHeadroom
	// ZoneBonus prefers engines in the gateway's own zone.
	ZoneBonus
	// PrefillQueues takes into account the prompts that other gateways sent to a prefill engine.
	PrefillQueues
	// LocalPrefill lets decode engines prefill prompts themselves when prefill queues are long.
	LocalPrefill
	// StageOrders switches engines between the prefill and decode stages.
	StageOrders
	// Datagrams announces placements to other gateways at each change, not only in periodic reports.
	Datagrams
	// Outliers avoids servers that fail more often than the others (outlier ejection).
	Outliers
	// Hedges sends a safe call to a second server when the first one takes long (hedged requests).
	Hedges
	// Overload limits the calls that are sent to a server of a plain service.
	Overload
	// RetryQueueing queues requests that are retried after a rejection.
	RetryQueueing
	// EarlyRejection rejects at once requests that can't be placed in time.
	EarlyRejection
	// Quarantine quarantines requests during which servers terminated.
	Quarantine
	// Suspicion avoids engines at which other gateways observed failing requests.
	Suspicion
	// Exclusion sends nothing but trial requests to engines at which all requests fail.
	Exclusion
	// PromptReuse prefers the engine that prefilled a prompt when its request is sent again.
	PromptReuse
	// Backups keeps copies of running streams at other engines, from which they continue after a loss.
	Backups
	// Moves moves running streams off engines that leave or are too slow.
	Moves
	// Pace learns the speed of each engine, and places runs by it.
	Pace
	// QuotaOrder spends quotas by the priority and cost of requests while the demand exceeds them.
	QuotaOrder
	// CustomerShares orders requests that wait for memory by what their customers hold.
	CustomerShares
	// Shedding closes new connections unread while most callers come to an overloaded gateway.
	Shedding
	count
)

var names = [count]string{
	"forecast", "turns", "late-spare", "zone-bonus", "reader-lines", "self-read", "stage-orders",
	"datagrams", "outliers", "hedges", "overload", "late-wait", "hopeless", "quarantine", "doubts",
	"exclusion", "prompt-reuse",
	"backups", "moves",
	"pace",
	"quota-order",
	"customer-shares",
	"shedding",
}

// String returns the name of m as used in settings.
func (m Mechanism) String() string { return names[m] }

// All returns every mechanism.
func All() []Mechanism {
	out := make([]Mechanism, count)
	for i := range out {
		out[i] = Mechanism(i)
	}
	return out
}

// Set is a set of mechanisms that are switched off. The zero Set is empty.
type Set uint32

// Parse returns the set of the named mechanisms. The error names the first unknown one.
func Parse(list []string) (Set, error) {
	var s Set
	for _, name := range list {
		m, ok := find(strings.TrimSpace(name))
		if !ok {
			return 0, fmt.Errorf("unknown mechanism %q; known mechanisms: %s", name, strings.Join(names[:], ", "))
		}
		s |= 1 << m
	}
	return s, nil
}

func find(name string) (Mechanism, bool) {
	for i, n := range names {
		if n == name {
			return Mechanism(i), true
		}
	}
	return 0, false
}

// Has reports whether m is switched off.
func (s Set) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// Len returns the number of mechanisms that are switched off.
func (s Set) Len() int { return bits.OnesCount32(uint32(s)) }

// String returns the names, separated by commas.
func (s Set) String() string {
	var out []string
	for _, m := range All() {
		if s.Has(m) {
			out = append(out, m.String())
		}
	}
	return strings.Join(out, ", ")
}
