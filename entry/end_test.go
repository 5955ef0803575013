package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// TestEndsThatShowATermination checks which ends of attempts show that a server terminated, and that those of one
// termination have the same name.
func TestEndsThatShowATermination(t *testing.T) {
	for _, c := range []struct {
		name string
		e    end
		want string
	}{
		{"completed", end{outcome: outcome.Outcome{Kind: outcome.Completed}}, ""},
		{"engine lost", end{outcome: outcome.Fail(outcome.EngineLost, ""), engineLosses: 2}, "b@i/2"},
		{"engine lost, from a sidecar of an earlier release", end{outcome: outcome.Fail(outcome.EngineLost, "")}, ""},
		{"sidecar restarted", end{outcome: outcome.Indeterminate(outcome.SidecarRestarted, "")}, "b@i"},
		{"sidecar restarted before the run", end{outcome: outcome.Refuse(outcome.SidecarRestarted, 0)}, ""},
		{"link down", end{outcome: outcome.Indeterminate(outcome.LinkDown, "")}, ""},
		{"prefill engine lost", end{outcome: outcome.Refuse(outcome.EngineLost, 0), engineLosses: 1}, "b@i/1"},
	} {
		c.e.backend, c.e.incarnation = "b", "i"
		name, ok := c.e.terminated()
		assert.Equal(t, name, c.want, c.name)
		assert.Equal(t, ok, c.want != "", c.name)
	}
}

// TestContentIsComputedOnce: the digest is that of the request, and differs between customers.
func TestContentIsComputedOnce(t *testing.T) {
	r := fingerprint.Request{Caller: "woods", Target: "model", Body: []byte("prompt")}
	calls := 0
	c := content{request: func() fingerprint.Request {
		calls++
		return r
	}}
	first := c.get()
	assert.Equal(t, first, fingerprint.Of(r))
	assert.Equal(t, c.get(), first)
	assert.Equal(t, calls, 1)
	r.Caller = "another"
	assert.Assert(t, fingerprint.Of(r) != first)
}
