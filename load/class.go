package load

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
)

// Customer is one customer with the brand and the API key that its callers use.
type Customer struct {
	ID    string
	Brand string
	Key   string
	// Share is the customer's fraction of the capacity of its models.
	Share float64
}

// Class is one kind of request of a customer.
type Class struct {
	Customer Customer
	// Name is the name of the class in the contract.
	Name  string
	Model string
	// Unique is the length of the part of a prompt that differs in every request.
	Unique Lengths
	// Shared is the prompt prefix that requests have in common.
	Shared Shared
	Answer Lengths
	// TTFT and TBT are the latency objectives. A request meets TBT when at least 95 % of
	// its token gaps are at most TBT.
	TTFT, TBT time.Duration
	// Deadline is the time after which the caller gives up.
	Deadline time.Duration
	Urgency  contract.Urgency
	// Unrepeatable requests run at most once.
	Unrepeatable bool
	// Service, if set, makes the request a call of a plain service.
	Service *ServiceCall
}

// ID is the name of the class in reports.
func (c *Class) ID() string { return c.Customer.ID + "/" + c.Name }

// Shared is a set of prompt prefixes, such as dossiers, whose popularity follows Zipf's
// law.
type Shared struct {
	// Texts is the number of prefixes; zero means that prompts share none.
	Texts  int
	Tokens Lengths
	// Skew is the Zipf exponent; zero makes all prefixes equally popular.
	Skew float64
}

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Service, Method, Path string
}

// Flow is a class and its request rate.
type Flow struct {
	Class *Class
	// Rate is the mean number of requests per second at a load of 1.
	Rate float64
	// Burst makes the rate change over time.
	Burst Burst
	// Fixed makes the rate independent of the load.
	Fixed bool
	// Surge multiplies the rate during a part of the run.
	Surge Surge
}

// Surge is an interval, relative to the start of the run, in which a flow's rate is
// multiplied by Factor. The zero value is no surge.
type Surge struct {
	From, To time.Duration
	Factor   float64
}

// Burst is on-off traffic: the rate alternates between a high and a low value whose mean
// is the rate of the flow. The zero value is a constant rate.
type Burst struct {
	// Factor is the high rate divided by the mean.
	Factor float64
	// On and Off are the mean lengths of the two phases; each is drawn from an
	// exponential distribution.
	On, Off time.Duration
}

// lowFactor returns the rate of the low phase divided by the mean.
func (b Burst) lowFactor() float64 {
	on, off := b.On.Seconds(), b.Off.Seconds()
	return max((on+off-b.Factor*on)/off, 0)
}
