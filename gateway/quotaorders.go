package gateway

import (
	"maps"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/limit"
	"github.com/hibiscusspur/hibiscusspur/policy/quotaorder"
)

// quotaOrders logs and counts the requests that are rejected while quotas are spent in the order of classes. The caller
// locks it.
type quotaOrders struct {
	log     *log.Logger
	metrics *metrics.Set
	// lastLogged is when the order of a customer was last logged.
	lastLogged map[string]time.Time
}

// rejected counts a rejected request, and logs the customer's classes at most once per usedUpLogInterval.
func (o *quotaOrders) rejected(customer string, r forward.QuotaRequest, shared *limit.SharedQuotas, now time.Time) {
	o.metrics.Counter(metrics.QuotaRejectedPrefix + quotaorder.PriorityName(r.Priority)).Inc(1)
	if at, ok := o.lastLogged[customer]; ok && now.Sub(at) < usedUpLogInterval {
		return
	}
	if !shared.Ordered(customer) {
		return
	}
	o.lastLogged[customer] = now
	s := shared.StateOf(customer, now)
	event.QuotaOrdered.Log(o.log).Str("customer", customer).Float64("rate", s.Rate).Float64("left", s.Remaining).
		Strs("classes", describeClasses(s.Classes)).Msg("")
}

func (o *quotaOrders) retain(customers map[string]bool) {
	maps.DeleteFunc(o.lastLogged, func(customer string, _ time.Time) bool { return !customers[customer] })
}

// describeClasses returns the demand of each class per second and the part of it that is admitted here.
func describeClasses(classes []limit.ClassState) []string {
	out := make([]string, 0, len(classes))
	for _, c := range classes {
		out = append(out, c.Class.String()+" "+strconv.FormatFloat(c.Demand, 'f', 0, 64)+" "+strconv.FormatFloat(c.AdmittedShare, 'f', 2, 64))
	}
	return out
}
