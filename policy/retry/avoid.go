package retry

import (
	"slices"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// serversToAvoid returns the servers at which attempts ended, and the zones of those that seem
// to have failed rather than rejected the attempt. After a stale revision the same server may
// get the next attempt, since its rejection included the newer revision.
func serversToAvoid(attempts []Attempt) (ids, zones []string) {
	for _, a := range attempts {
		if a.Outcome.Reason != outcome.StaleRevision {
			ids = appendNew(ids, a.Backends)
		}
		if suggestsFailure(a.Outcome.Reason) {
			zones = appendNew(zones, a.Zones)
		}
	}
	return ids, zones
}

// suggestsFailure reports whether r may be a symptom of a failing VM, rack or zone.
func suggestsFailure(r outcome.Reason) bool {
	switch r {
	case outcome.EngineError, outcome.EngineLost, outcome.LinkDown, outcome.SidecarRestarted,
		outcome.LeaseLapsed, outcome.KVLost:
		return true
	default:
		return false
	}
}

func appendNew(list, more []string) []string {
	for _, s := range more {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}
