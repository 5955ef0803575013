package retry_test

import (
	"fmt"
	"time"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/policy/retry"
)

// A request that may not be repeated is retried only if the attempt provably did not run.
func Example() {
	policy := retry.New(retry.DefaultConfig())
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, end := range []outcome.Outcome{
		outcome.Refuse(outcome.NoDecodeSlot, 250*time.Millisecond),
		outcome.Indeterminate(outcome.LinkDown, ""),
	} {
		d := policy.Decide(retry.Request{
			Customer:     "permisele",
			Unrepeatable: true,
			Attempts:     []retry.Attempt{{Backends: []string{"vm-1"}, Outcome: end}},
		}, now)
		fmt.Println(end, "again:", d.Action == retry.Restart, "without:", d.ExcludeIDs)
	}
	// Output:
	// not_run:no_decode_place again: true without: [vm-1]
	// unknown:link_down again: false without: []
}
