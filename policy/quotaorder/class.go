// Package quotaorder decides in which order a customer's requests are admitted while they exceed its quota.
//
// Load pattern: a customer sends 3 to 7 times its quota for some seconds, through many gateways. Its requests belong to
// routes of different priority and differ in cost by a factor of 35: first come, first served, one stream of the least
// urgent route takes what 27 plain calls are rejected for. Rejected clients retry once.
//
// A request is admitted while the level of the customer's bucket, which all gateways know within milliseconds, is above
// the threshold of its class (trunk reservation): the less urgent the class, and the more expensive its requests, the
// higher the threshold. So the level settles at the threshold of the class that the quota is only partly enough for,
// without any knowledge of the demand. The demand of all gateways is used where some error does no harm: for the order of
// the classes that ask at present, the small share that each of them keeps, and the stated Retry-After.
//
// The order applies from the moment when a request finds the bucket empty until it is half full, and only where requests
// have several priorities. Before, no request would be rejected without it either, so all decisions are the same. The
// bucket itself remains the limit: an Order only rejects.
package quotaorder

import "strconv"

// NumClasses is the number of classes of one customer.
const NumClasses = numPriorities * numTiers

const (
	// numPriorities is the number of priorities that are told apart; less urgent ones count as the last.
	numPriorities = 4
	numTiers      = 2
	// requestsPerSecond is the number of requests a second from which a request counts as cheap: a quota pays for so
	// many of them. The measured quotas of 66,347 and 240,472 tokens a second have plain calls of 200 below the limits
	// of 518 and 1,879, and streams of some 7,000 above.
	requestsPerSecond = 128
)

// Class is a priority and a tier of cost, in the order in which a quota is spent: the most urgent first, and within a
// priority the cheap ones.
type Class uint8

// ClassOf returns the class of a request of a route's priority, zero being the most urgent, that costs so much of a
// quota of that rate. All gateways with the same configuration agree on it.
func ClassOf(priority int, cost, rate float64) Class {
	c := Class(min(max(priority, 0), numPriorities-1) * numTiers)
	if cost*requestsPerSecond > rate {
		c++
	}
	return c
}

// Priority returns the priority of the class's routes.
func (c Class) Priority() int { return int(c) / numTiers }

// Expensive reports whether the class is that of expensive requests.
func (c Class) Expensive() bool { return c%numTiers == 1 }

// String returns the name of the class, such as p0-cheap.
func (c Class) String() string {
	name := PriorityName(c.Priority())
	if c.Expensive() {
		return name + "-expensive"
	}
	return name + "-cheap"
}

// PriorityName returns the name of a priority, such as p0. There are few different ones.
func PriorityName(priority int) string {
	return "p" + strconv.Itoa(min(max(priority, 0), numPriorities-1))
}

// Demand is a cost per second by class.
type Demand [NumClasses]float64

// Total returns the demand of all classes.
func (d *Demand) Total() float64 {
	sum := 0.0
	for _, v := range d {
		sum += v
	}
	return sum
}

// KeptShare is the share of the quota that a class keeps however many more urgent requests there are. The cheap tier keeps
// more, since it serves many callers: a tenth of 240,472 tokens a second is 120 plain calls, or 3 streams.
func (c Class) KeptShare() float64 {
	if c.Expensive() {
		return 0.02
	}
	return 0.1
}

// width returns how many steps there are between the thresholds of the class and of the next one.
func (c Class) width() float64 {
	if c.Expensive() {
		return 1 + expensiveSteps
	}
	return 1
}
