// Package freshness decides how old a configuration may be under which requests with keys are served.
//
// Load pattern: a key is taken away while some gateways are cut off from the platform's store, from each
// other, or frozen. From a bound after the change on no gateway may run a request with that key, and none
// can know that it has missed the change. So each knows until when its configuration is proved to have been
// the newest, and refuses once that is too long ago.
//
// A proof says that a version was the newest at some time. It comes from an answer of the store, and holds
// from the moment at which the question was sent; or from another gateway, which tells the age of its own
// proof, and holds from that much before the moment at which it was asked. So ages only add up, no clock of
// another VM is compared, and an answer that was held up on its way only makes the proof older.
//
// A Ledger takes the time from its caller: a clock that goes on while the VM is suspended. It is not safe
// for concurrent use.
package freshness

import "time"

// Proof says that version was the newest at a time of this process's clock.
type Proof struct {
	Version int64
	At      time.Duration
}

// Ledger is what one process has proved.
type Ledger struct {
	inForce int64
	// newest is the latest proof of all, of a version that may not be in force here yet.
	newest Proof
	// proved is since when the version in force may be out of date; known is unset while nothing is proved.
	proved time.Duration
	known  bool
}

// Applied notes the version that is in force from now on. Versions only grow.
func (l *Ledger) Applied(version int64) {
	l.inForce = max(l.inForce, version)
	l.settle()
}

// AddProof takes a proof. One of a version that is not in force yet counts once it is.
func (l *Ledger) AddProof(p Proof) {
	if p.Version <= 0 || (l.newest.Version > 0 && p.At <= l.newest.At) {
		l.settleWith(p)
		return
	}
	l.newest = p
	l.settle()
}

func (l *Ledger) settle() { l.settleWith(l.newest) }

// settleWith counts a proof of a version that is in force, or that was before it: whatever was changed until
// then is in the present one.
func (l *Ledger) settleWith(p Proof) {
	if p.Version <= 0 || p.Version > l.inForce {
		return
	}
	if !l.known || p.At > l.proved {
		l.proved, l.known = p.At, true
	}
}

// Age is how long ago the configuration in force was proved to be the newest; false if it never was.
func (l *Ledger) Age(now time.Duration) (time.Duration, bool) {
	return now - l.proved, l.known
}

// Newest is the latest proof, to be told to others; false if there is none.
func (l *Ledger) Newest() (Proof, bool) { return l.newest, l.newest.Version > 0 }

// Bounds say for how long a configuration may be trusted.
type Bounds struct {
	// Revoke is the time after which a key that was taken away must not work any more; zero means that there
	// is no such bound.
	Revoke time.Duration
}

// margin is kept from the bound for the grain of timers.
const margin = 250 * time.Millisecond

// Limit is the age of a proof from which on requests with keys are refused; false if there is none.
func (b Bounds) Limit() (time.Duration, bool) { return max(b.Revoke-margin, 0), b.Revoke > 0 }

// Trusted reports whether requests with keys may be served under a configuration that was proved so long ago.
func (b Bounds) Trusted(age time.Duration, known bool) bool {
	limit, bounded := b.Limit()
	return !bounded || (known && age < limit)
}

// UnknownKeyMaxAge is the age of a proof up to which a key that is not known counts as unknown. Beyond it the key may have
// been added since, which is asked first.
const UnknownKeyMaxAge = time.Second
