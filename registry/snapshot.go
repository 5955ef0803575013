package registry

import "slices"

// Reason is why an entry of the platform's server list is invalid.
type Reason string

// Reasons of faults.
const (
	// FaultBytes is an entry that can't be decoded at all.
	FaultBytes Reason = "bytes"
	// FaultKey is a key that is no valid instance name.
	FaultKey Reason = "key"
	// FaultMissing is the lack of a required field, FaultType a field of the wrong type,
	// and FaultValue a field whose value is not allowed.
	FaultMissing Reason = "missing"
	FaultType    Reason = "type"
	FaultValue   Reason = "value"
)

// FaultReasons returns all reasons.
func FaultReasons() []Reason {
	return []Reason{FaultBytes, FaultKey, FaultMissing, FaultType, FaultValue}
}

// FieldBorn is the field of an entry that holds the start time.
const FieldBorn = "born"

// Fault describes an invalid entry.
type Fault struct {
	// Instance is the key of the entry.
	Instance string
	Reason   Reason
	// Field is the first invalid field; empty for FaultBytes and FaultKey. Found is the content found there.
	Field, Found string
}

// Snapshot is the platform's server list as read at one time.
type Snapshot struct {
	Servers []Server
	// Faults are the invalid entries.
	Faults []Fault
}

// RequireStartTimes turns each entry that lacks a start time into a Fault, if the platform reports start times:
// the instance had one before, according to latest, or more than half of the servers have one. On a platform that
// reports none, an instance counts as a single incarnation.
func (snap Snapshot) RequireStartTimes(latest func(instance string) int64) Snapshot {
	withStart := 0
	for _, s := range snap.Servers {
		if s.Born != 0 {
			withStart++
		}
	}
	majority := withStart > len(snap.Servers)/2
	out := Snapshot{Faults: slices.Clone(snap.Faults)}
	for _, s := range snap.Servers {
		if s.Born == 0 && (majority || latest(s.Instance()) != 0) {
			out.Faults = append(out.Faults, Fault{Instance: s.Instance(), Reason: FaultMissing, Field: FieldBorn})
			continue
		}
		out.Servers = append(out.Servers, s)
	}
	return out
}

// List returns the server list that Registry.Apply takes: the servers, and an unusable one for each fault.
func (snap Snapshot) List() []Server {
	out := slices.Clone(snap.Servers)
	for _, f := range snap.Faults {
		out = append(out, Server{ID: f.Instance, Unusable: true})
	}
	return out
}
