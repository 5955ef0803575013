// Package freshness bounds the age of the configuration under which requests with API keys are served.
//
// Load pattern: a key is revoked while some gateways are partitioned from the platform's store or from each
// other, or are suspended. Once a bounded time has passed since the change, no gateway may run a request with
// that key, but a gateway cannot know that it has missed the change. So each tracks until when its
// configuration is proved to have been the newest, and rejects requests with keys once that is too long ago.
//
// A proof states that a version was the newest at some time. If it comes from the store, that is the time at
// which the query was sent. If it comes from another gateway, which reports the age of its own proof, it is the
// time at which the query was sent minus that age. So ages only add up, clocks of different VMs are never
// compared, and a delayed answer only makes the proof older.
//
// A Ledger takes the time from its caller, whose clock must continue while the VM is suspended. It is not safe
// for concurrent use.
package freshness

import "time"

// Proof states that Version was the newest at a time of this process's clock.
type Proof struct {
	Version int64
	// Era is that of the store when Version was its newest one, see store.Position; zero if that is not known.
	Era int64
	At  time.Duration
}

// Ledger holds the proofs of one process.
type Ledger struct {
	applied int64
	// appliedEra is the latest era of the store that was known when a version was applied or proved: a store that was
	// restored in a later era may lack the applied version. era is the latest one of all proofs.
	appliedEra, era int64
	// newest is the latest proof; its version may not be applied here yet.
	newest Proof
	// provedAt is the time since which the applied version may be out of date; known is false without a proof.
	provedAt time.Duration
	known    bool
}

// Applied records the version that is applied from now on. Versions only grow.
func (l *Ledger) Applied(version int64) {
	if version > l.applied {
		l.applied, l.appliedEra = version, l.era
	}
	l.useNewest()
}

// AddProof adds a proof. One of a version that is not applied yet counts once it is.
func (l *Ledger) AddProof(p Proof) {
	l.era = max(l.era, p.Era)
	if p.Version <= 0 || (l.newest.Version > 0 && p.At <= l.newest.At) {
		l.use(p)
		return
	}
	l.newest = p
	l.useNewest()
}

func (l *Ledger) useNewest() { l.use(l.newest) }

// use takes a proof of the applied version or of an earlier one into account: the applied version contains all
// changes up to the time of either. That does not hold for an earlier version in a later era: the store lacks the applied
// version, and may lack later ones. A proof without an era may be of a version that a restored store gave out again.
func (l *Ledger) use(p Proof) {
	if p.Version <= 0 || p.Version > l.applied || (p.Era == 0 && l.era > 0) {
		return
	}
	if p.Version < l.applied && p.Era > l.appliedEra {
		return
	}
	if p.Version == l.applied {
		l.appliedEra = max(l.appliedEra, p.Era)
	}
	if !l.known || p.At > l.provedAt {
		l.provedAt, l.known = p.At, true
	}
}

// Age returns how long ago the applied configuration was proved to be the newest; false if it never was.
func (l *Ledger) Age(now time.Duration) (time.Duration, bool) {
	return now - l.provedAt, l.known
}

// Newest returns the latest proof, to report to other gateways; false if there is none.
func (l *Ledger) Newest() (Proof, bool) { return l.newest, l.newest.Version > 0 }

// Bounds limit how long a configuration may be trusted.
type Bounds struct {
	// Revoke is the time after which a revoked key must no longer work; zero means that there is no such bound.
	Revoke time.Duration
}

// margin is subtracted from the bound to allow for the granularity of timers.
const margin = 250 * time.Millisecond

// Limit returns the age of a proof from which on requests with keys are rejected; false if there is none.
func (b Bounds) Limit() (time.Duration, bool) { return max(b.Revoke-margin, 0), b.Revoke > 0 }

// Trusted reports whether requests with keys may be served under a configuration whose proof has an age.
func (b Bounds) Trusted(age time.Duration, known bool) bool {
	limit, bounded := b.Limit()
	return !bounded || (known && age < limit)
}

// UnknownKeyMaxAge is the maximum age of a proof under which a key that is missing here counts as unknown. With an older
// proof the key may have been added since, so a newer proof is requested first.
const UnknownKeyMaxAge = time.Second
