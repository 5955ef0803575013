// Package mechanism names the mechanisms that decide, so that each can be switched off by a
// setting: to measure what it is worth, and on call, where one of them harms.
package mechanism

import (
	"fmt"
	"math/bits"
	"strings"
)

// Mechanism is one of them.
type Mechanism uint8

// The mechanisms of a gateway. docs/CONFIG.md says what happens without each.
const (
	// Forecast places runs by the most that they hold together, with learned lengths.
	Forecast Mechanism = iota
	// Stagger lets gateways take turns at memory that becomes free.
	Stagger
	// LateHeadroom keeps memory free beside requests that are late.
	LateHeadroom
	// ZoneBonus prefers engines of the own zone.
	ZoneBonus
	// PrefillQueues counts the prompts that other gateways sent to an engine.
	PrefillQueues
	// LocalPrefill has decode engines read prompts when lines are long.
	LocalPrefill
	// StageOrders moves engines between reading and generating.
	StageOrders
	// Datagrams tells placement at each change and not just with reports.
	Datagrams
	// Outliers avoids servers that fail more often than the others.
	Outliers
	// Hedges gives a safe call to another server when one takes long.
	Hedges
	// Overload limits the calls that a server of a plain service gets.
	Overload
	// RetryQueueing lets requests wait that came back after a refusal.
	RetryQueueing
	// EarlyRejection turns requests away at once that can't be placed in time.
	EarlyRejection
	// Quarantine holds requests back under which servers end.
	Quarantine
	// Suspicion avoids engines at which other gateways saw requests fail.
	Suspicion
	count
)

var names = [count]string{
	"forecast", "turns", "late-spare", "zone-bonus", "reader-lines", "self-read", "stage-orders",
	"datagrams", "outliers", "hedges", "overload", "late-wait", "hopeless", "quarantine", "doubts",
}

// String returns the name of m in settings.
func (m Mechanism) String() string { return names[m] }

// All returns every mechanism.
func All() []Mechanism {
	out := make([]Mechanism, count)
	for i := range out {
		out[i] = Mechanism(i)
	}
	return out
}

// Set is mechanisms that are switched off. The zero Set has none.
type Set uint32

// Parse returns the mechanisms of a list of names; an error names the first that is unknown.
func Parse(list []string) (Set, error) {
	var s Set
	for _, name := range list {
		m, ok := find(strings.TrimSpace(name))
		if !ok {
			return 0, fmt.Errorf("unknown mechanism %q; there are %s", name, strings.Join(names[:], ", "))
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

// Has reports whether a mechanism is switched off.
func (s Set) Has(m Mechanism) bool { return s&(1<<m) != 0 }

// Len is the number of mechanisms that are switched off.
func (s Set) Len() int { return bits.OnesCount32(uint32(s)) }

// String lists the names.
func (s Set) String() string {
	var out []string
	for _, m := range All() {
		if s.Has(m) {
			out = append(out, m.String())
		}
	}
	return strings.Join(out, ", ")
}
