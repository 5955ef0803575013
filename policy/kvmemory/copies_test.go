package kvmemory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
)

// TestCopyTeachesNoPace guards against the pace of a run that counts as that of an engine that only holds a copy of it,
// also when the copy is released, and against a run that goes on from its copy without being observed.
func TestCopyTeachesNoPace(t *testing.T) {
	p, now := pool("g", 2), start
	r := lengthRun(1000)
	generated := 0
	generate := func() {
		for range 10 {
			now = now.Add(250 * time.Millisecond)
			generated += 50
			r.Generated(generated)
			p.Pick(kvmemory.Request{Run: run(100)}, now)
		}
	}
	// Engines are refreshed in the order of their IDs: the copy is where the run would be observed first.
	p.Place("b", r)
	p.PlaceCopy("a", r)
	generate()
	now = now.Add(250 * time.Millisecond)
	r.Generated(generated + 50)
	evidence := func(id string) int { return p.OwnLoad(id, now).Pace.Tokens }
	assert.Equal(t, evidence("a"), 0)
	assert.Assert(t, evidence("b") > 0)

	p.Release("b", r, now)
	p.Continue("a", r)
	generate()
	assert.Assert(t, evidence("a") > 0)
}
