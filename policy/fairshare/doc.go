// Package fairshare is a queue of waiting requests in weighted fair order over customers, and by
// urgency within a customer.
//
// The algorithm is start-time fair queuing (SFQ) over customers: each customer has a start tag in
// virtual time, which grows by cost/weight with each item served, and the customer with the
// lowest tag is served next. Three rules modify this order:
//
//   - Entitlement. A customer with fewer slots in use than its weight entitles it to is served
//     before one with more. A share that its owner leaves idle is lent to others, and the owner
//     gets it back from the first slots that become free.
//   - Lead. Urgent work may be served ahead of its customer's share by a bounded service time. In
//     the long run the customer still gets only its share, so urgent work delays other
//     customers by a bounded amount.
//   - Deferral. Within one customer urgent work is served first, but only before work that has
//     waited for less than a bound.
//
// A Queue is deterministic and takes the time from its caller. It is not safe for concurrent use;
// its owner synchronizes the calls.
package fairshare
