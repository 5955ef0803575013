// Package runcopy decides when the KV cache of a running stream is copied to another engine, and where a stream
// continues from such a copy.
//
// Load pattern: engines crash, are replaced and leave while streams of several seconds run on them. A stream whose
// route allows no second run is lost with its engine, and one that may be resumed has its prompt prefilled again, about
// 5,200 tokens each time. On a day with 6 crashes, 4 leaving engines and 13 replaced ones 84 attempts were lost, most
// within half a second of their start. With a copy at another engine the stream continues there, and only the tokens
// that the copy lacks are prefilled.
//
// A copy occupies memory and a slot at its engine and bytes on the links, so only runs get one that would be lost
// otherwise, and only while no request waits for memory.
//
// The package is deterministic and takes times from its caller.
package runcopy

import "time"

// MaxContinuations bounds how often one request continues from a copy. A request under which three servers terminated
// is quarantined, so a fourth loss is not expected.
const MaxContinuations = 3

// minBackupTime is the shortest expected remaining time of a run that is backed up. Engines send parts several times a
// second; a run that ends within two of them has no useful copy when its engine is lost.
const minBackupTime = 500 * time.Millisecond

// MinBackedUpEvents is the number of events from an engine after which its backup counts. Engines send the first part of
// a copy some tenths of a second after the start of a run. A run without a copy that is continued would be a second run
// wherever the engine asked does not check for the copy first.
const MinBackedUpEvents = 2

// Backup describes a run that is about to be sent to an engine.
type Backup struct {
	// Resumable is set if the route allows another run, AttemptsLeft is the number of attempts after this one.
	Resumable    bool
	AttemptsLeft int
	// MemoryShort is set if a request waits for memory. Beside a copy, engines keep memory free as for late requests.
	// Whether a request has waited lately is no measure: gateways delay requests by some milliseconds also when memory
	// is free, and with that few streams of a busy service would be backed up.
	MemoryShort bool
	// Remaining is the expected time until the end of the run.
	Remaining time.Duration
}

// Wanted reports whether the run is backed up.
func (b Backup) Wanted() bool {
	if b.MemoryShort || b.Resumable && b.AttemptsLeft > 0 {
		return false
	}
	return b.Remaining >= minBackupTime
}
