package registry

import "slices"

// Reason is why an entry of the platform's list names no server to use.
type Reason string

// Reasons of faults.
const (
	// FaultBytes is an entry that can't be decoded at all.
	FaultBytes Reason = "bytes"
	// FaultKey is a key that can't be the name of an instance.
	FaultKey Reason = "key"
	// FaultMissing is a field that every entry has, FaultType one of another type, and
	// FaultValue one with a value that it can't have.
	FaultMissing Reason = "missing"
	FaultType    Reason = "type"
	FaultValue   Reason = "value"
)

// FaultReasons lists all reasons.
func FaultReasons() []Reason {
	return []Reason{FaultBytes, FaultKey, FaultMissing, FaultType, FaultValue}
}

// FieldBorn names the field of an entry that tells the start.
const FieldBorn = "born"

// Fault is what is wrong with one entry.
type Fault struct {
	// Instance is the key of the entry.
	Instance string
	Reason   Reason
	// Field is the first field that is wrong; empty for FaultBytes and FaultKey. Found is what was found.
	Field, Found string
}

// Snapshot is the platform's list as it was read at one moment.
type Snapshot struct {
	Servers []Server
	// Faults are the entries that can't be used.
	Faults []Fault
}

// RequireStartTimes makes a fault of each entry that lacks its start, where the platform tells starts: if
// the instance, by latest, or most of the others have one. On a platform that tells none, an
// instance counts as one start.
func (r Snapshot) RequireStartTimes(latest func(instance string) int64) Snapshot {
	told := 0
	for _, s := range r.Servers {
		if s.Born != 0 {
			told++
		}
	}
	most := told > len(r.Servers)/2
	out := Snapshot{Faults: slices.Clone(r.Faults)}
	for _, s := range r.Servers {
		if s.Born == 0 && (most || latest(s.Instance()) != 0) {
			out.Faults = append(out.Faults, Fault{Instance: s.Instance(), Reason: FaultMissing, Field: FieldBorn})
			continue
		}
		out.Servers = append(out.Servers, s)
	}
	return out
}

// List is the reading as a snapshot for a Registry.
func (r Snapshot) List() []Server {
	out := slices.Clone(r.Servers)
	for _, f := range r.Faults {
		out = append(out, Server{ID: f.Instance, Unusable: true})
	}
	return out
}
