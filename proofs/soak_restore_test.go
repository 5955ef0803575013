package proofs

import (
	"fmt"
	"time"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

const (
	// maxLostWrites is the number of writes of the operator, the servers and the gateways that a copy lacks at most.
	maxLostWrites = 12
	// otherWrites is the number of other writes that a copy lacks too: versions stay below the lost ones for the rest
	// of a run.
	otherWrites = 60
	// absence is how long the store is away before it comes back from a copy.
	absence = 300 * time.Millisecond
	// writeAgainDelay is the time from the return of the store until operators and servers have written again.
	writeAgainDelay = 200 * time.Millisecond
)

// restoreKinds are the faults after which the store comes back from a copy.
func (x *soaker) restoreKinds() []faultKind {
	return []faultKind{
		{"store restored", func(i int) (string, func()) { return x.restoreStore(i, 1) }},
		{"store restored twice", func(i int) (string, func()) { return x.restoreStore(i, 2) }},
	}
}

// restoreStore makes the store unavailable at the end of the fault, and has it come back from a copy, some times in a row.
// Gateways have read the versions that are lost.
func (x *soaker) restoreStore(i, times int) (string, func()) {
	if !x.reserve("store") {
		return "", nil
	}
	for n := range otherWrites * times {
		x.c.store.Put("others", fmt.Sprint(n), []byte{1})
	}
	return "store", func() {
		for range times {
			x.c.store.SetFault(site.Unavailable)
			time.Sleep(absence)
			x.c.store.Restore(otherWrites + 1 + int64(i%maxLostWrites))
			x.c.store.SetFault(site.NoFault)
			time.Sleep(writeAgainDelay)
			x.c.store.WriteAgain("op", "servers")
		}
	}
}
