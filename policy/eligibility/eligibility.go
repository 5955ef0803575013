// Package eligibility decides whether a server may be asked now, from all conditions that are known of it, and which
// of them decides.
//
// Load pattern: a server refuses all requests for seven seconds, asks each time for a cooldown of three, and is well
// again. Meanwhile its routers have observed failures, heard of suspicions from others and counted overload. Each of
// these mechanisms has its own memory; one whose memory is longer than the cooldown kept requests away from the server
// for seconds after it was well, and nobody could say which one it was.
//
// So each policy states its conditions with their author, effect and end, and Decide alone combines them:
//
//   - A condition counts until its end and not longer.
//   - The strongest effect applies: Excluded, Reduced, LastResort, Costly.
//   - Of several conditions that exclude a server, the one that ends last decides, and one without a known end comes
//     last of all.
//   - Otherwise the order of the reasons decides: what a server says of itself comes before what the store lists, and
//     that before what routers infer.
//   - Only Excluded keeps a server from being asked if no other one can be.
//
// What a server says of itself is not extended by inference: a policy must not draw conclusions from a refusal in which
// the server has named a cooldown.
package eligibility

import "time"

// Author is who states a condition.
type Author uint8

// Authors.
const (
	// Server is the server itself, in an answer or in its entry of the platform's list.
	Server Author = iota
	// Store is the platform's list of servers.
	Store
	// Router is this router, by its own requests.
	Router
	// Peers are other routers.
	Peers
)

var authorNames = [...]string{"server", "store", "router", "peers"}

// String returns the name of a.
func (a Author) String() string { return authorNames[a] }

// Effect is what a condition means for choosing its server.
type Effect uint8

// Effects, the strongest first.
const (
	// Excluded: the server must not be asked.
	Excluded Effect = iota
	// Reduced: the server is asked for a share of the requests only.
	Reduced
	// LastResort: the server is asked only if no other one can be.
	LastResort
	// Costly: the server is chosen as if more requests were outstanding there.
	Costly
)

var effectNames = [...]string{"excluded", "reduced", "last_resort", "costly"}

// String returns the name of e.
func (e Effect) String() string { return effectNames[e] }

// Reason is why a condition holds. It determines the effect.
type Reason uint8

// Reasons, in their order of precedence, which is also that of their effects. None is that of a server without
// conditions.
const (
	None Reason = iota
	// Leaving: the server has announced that it shuts down.
	Leaving
	// Cooldown: the server has refused a request and asked for no more for a while.
	Cooldown
	// RateLimit: the rate limit that the server has declared is used up.
	RateLimit
	// InvalidEntry: the server's entry in the platform's list is invalid.
	InvalidEntry
	// AddressReused: a server that started later has the address.
	AddressReused
	// StageChange: the engine was ordered to another stage and has not completed the change.
	StageChange
	// Down: nothing listens at the server's address.
	Down
	// Unresponsive: the engine did not answer a reservation, or refused a run after it had granted memory.
	Unresponsive
	// ExportLost: an export of the engine could not be fetched.
	ExportLost
	// Unhealthy: requests of several routers failed at the engine and none succeeded since.
	Unhealthy
	// Overload: the server's answers are late, or it rejects requests for lack of capacity.
	Overload
	// Ejected: several requests in a row failed at the server.
	Ejected
	// Suspected: requests of this and other routers failed at the server.
	Suspected
	// Failing: requests fail at the server more often than at the others of its service.
	Failing
	reasonCount
)

// reasonRows hold the name and the effect of each reason.
var reasonRows = [reasonCount]struct {
	name   string
	effect Effect
}{
	None:          {"none", Costly},
	Leaving:       {"leaving", Excluded},
	Cooldown:      {"cooldown", Excluded},
	RateLimit:     {"rate_limit", Excluded},
	InvalidEntry:  {"invalid_entry", Excluded},
	AddressReused: {"address_reused", Excluded},
	StageChange:   {"stage_change", Excluded},
	Down:          {"down", Excluded},
	Unresponsive:  {"unresponsive", Excluded},
	ExportLost:    {"export_lost", Excluded},
	Unhealthy:     {"unhealthy", Excluded},
	Overload:      {"overload", Reduced},
	Ejected:       {"ejected", LastResort},
	Suspected:     {"suspected", LastResort},
	Failing:       {"failing", Costly},
}

// Reasons returns all reasons but None, in their order of precedence.
func Reasons() []Reason {
	out := make([]Reason, 0, reasonCount-1)
	for r := None + 1; r < reasonCount; r++ {
		out = append(out, r)
	}
	return out
}

// String returns the name of r, as shown to operators and used in metrics.
func (r Reason) String() string { return reasonRows[r].name }

// Effect returns the effect of conditions with this reason.
func (r Reason) Effect() Effect { return reasonRows[r].effect }

// Condition is one thing that is known of a server.
type Condition struct {
	Reason Reason
	Author Author
	// Since is when it began to hold; zero if that is not recorded.
	Since time.Time
	// Until is when it ends by itself; zero if it ends with another event: an answer, an entry of the list, a later
	// start of the server.
	Until time.Time
	// Share is the share of requests that a server whose effect is Reduced is asked for, in [0, 1].
	Share float64
	// Cost is the cost of a server whose effect is Costly, in outstanding requests.
	Cost float64
}

// Over reports whether the condition has ended.
func (c Condition) Over(now time.Time) bool { return !c.Until.IsZero() && !now.Before(c.Until) }

// Verdict is the result of all conditions of a server. NewVerdict and Decide return one; the zero Verdict is not valid.
type Verdict struct {
	// Reason is that of the condition that decides; None if there is none.
	Reason Reason
	// Excluded is set if the server must not be asked; Until is when that ends by itself, zero if it does not.
	Excluded bool
	Until    time.Time
	// Share is the share of requests for which the server is asked, in [0, 1].
	Share float64
	// LastResort is set if the server is asked only if no other one can be.
	LastResort bool
	// Cost is to be added to the cost of the server, in outstanding requests.
	Cost float64
}

// Verdicts returns the verdict on a server. Nil Verdicts are those on servers without conditions.
type Verdicts func(id string, now time.Time) Verdict

// Of returns the verdict on a server.
func (f Verdicts) Of(id string, now time.Time) Verdict {
	if f == nil {
		return NewVerdict()
	}
	return f(id, now)
}

// NewVerdict returns the verdict on a server without conditions.
func NewVerdict() Verdict { return Verdict{Share: 1} }

// Decide returns the verdict on a server with these conditions.
func Decide(conditions []Condition, now time.Time) Verdict {
	v := NewVerdict()
	for _, c := range conditions {
		v.Add(c, now)
	}
	return v
}

// Add takes one more condition of the server into account. The order of conditions does not matter.
func (v *Verdict) Add(c Condition, now time.Time) {
	if c.Over(now) {
		return
	}
	decides := v.Reason == None || c.Reason < v.Reason
	switch c.Reason.Effect() {
	case Excluded:
		if v.Excluded && !c.Until.Equal(v.Until) {
			decides = endsLater(c.Until, v.Until)
		}
		if decides {
			v.Until = c.Until
		}
		v.Excluded = true
	case Reduced:
		v.Share = min(v.Share, c.Share)
	case LastResort:
		v.LastResort = true
	case Costly:
		v.Cost += c.Cost
	}
	if decides {
		v.Reason = c.Reason
	}
}

// endsLater reports whether a condition that ends at a ends after one that ends at b.
func endsLater(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return a.IsZero() && !b.IsZero()
	}
	return a.After(b)
}

// Wait returns how long the server is still excluded: zero if it is not, and forever if that has no known end.
func (v *Verdict) Wait(now time.Time) time.Duration {
	switch {
	case !v.Excluded:
		return 0
	case v.Until.IsZero():
		return forever
	default:
		return v.Until.Sub(now)
	}
}

// forever is longer than any request waits.
const forever = time.Duration(1<<63 - 1)

// Precedes reports whether a server with verdict v is to be preferred to one with verdict o, of which neither is
// excluded: better is whether it is by all else, their costs included.
func (v *Verdict) Precedes(o *Verdict, better bool) bool {
	if v.LastResort != o.LastResort {
		return o.LastResort
	}
	return better
}
