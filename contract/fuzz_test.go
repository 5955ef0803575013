package contract

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// FuzzParse checks that Parse never panics and that the canonical form of a valid
// contract is valid and parses to the same contract.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		sample,
		"",
		"customer: [",
		"customer: &a shop\nbrand: *a\n",
		"<<: {customer: shop}\n",
		"limits: {requests_per_second: .inf, burst: -1}\n",
		"classes: [{urgency: late, ttft: 1h}]\n",
		"---\n---\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse("fuzz.yaml", data)
		if err != nil {
			return
		}
		out, err := c.Marshal()
		if err != nil {
			t.Fatalf("marshal: %v", err)
		}
		again, err := Parse("canonical.yaml", out)
		if err != nil {
			t.Fatalf("canonical form rejected: %v\n%s", err, out)
		}
		if diff := cmp.Diff(c, again, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("canonical form differs: %s\n%s", diff, out)
		}
	})
}
