package proofs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shutdownBound is how long a process may take to finish its requests in progress and exit.
const shutdownBound = 15 * time.Second

// mediumRequest is a request that takes about a second; every third is unrepeatable.
func mediumRequest(i int) modelRequest {
	q := modelRequest{model: "drafting", prompt: promptForTokens(60+i%40, 5, fmt.Sprint("medium ", i)), stream: i%2 == 0}
	if i%3 == 0 {
		q.model = "ruling"
	}
	return q
}

var shutdownRows = []struct {
	fault string
	opts  options
	act   func(c *cluster)
}{
	{"SIGTERM to an entry", options{prefills: 1, decodes: 2, entries: 2}, func(c *cluster) { c.entries[0].proc.terminateAndWait() }},
	{"SIGTERM to a decode sidecar", options{prefills: 1, decodes: 2, entries: 2}, func(c *cluster) { c.backend("d1").sidecar.terminateAndWait() }},
	{"SIGTERM to a prefill sidecar", options{prefills: 2, decodes: 2, entries: 2}, func(c *cluster) { c.backend("p1").sidecar.terminateAndWait() }},
	{"SIGTERM to every process, one after the other", options{prefills: 2, decodes: 2, entries: 2}, func(c *cluster) {
		for _, b := range c.backends {
			before := c.linkUps(b)
			b.sidecar.terminateAndWait()
			b.sidecar.restart()
			eventually(c.t, startBound, "links of both entries to "+b.id, func() bool { return c.linkUps(b) >= before+len(c.entries) })
		}
		for _, e := range c.entries {
			e.proc.terminateAndWait()
			e.proc.restart()
			await(c.t, startBound, e.adminURL+"/healthz")
			c.awaitServing(e)
		}
	}},
}

func TestShutdownCutsNothing(t *testing.T) {
	for _, r := range shutdownRows {
		t.Run(r.fault, func(t *testing.T) {
			var all, bad int
			row(t, 7, r.fault, func() string { return fmt.Sprintf("%d requests, %d not whole", all, bad) })
			c := newCluster(t, r.opts)
			l := c.startLoad(16, mediumRequest)
			eventually(t, startBound, "load", func() bool { return l.sent.Load() > 32 })
			r.act(c)
			ends := l.finish()
			lost := mismatches(ends)
			all, bad = len(ends), len(lost)
			assert.Assert(t, bad == 0, "%d of %d: %.2000q", bad, all, lost)
		})
	}
}

// terminateAndWait requests a graceful shutdown and waits until the process has exited.
func (p *process) terminateAndWait() {
	p.t.Helper()
	p.terminate()
	eventually(p.t, shutdownBound, p.name+" exited", p.exited)
}

// linkUps counts how often the entries have logged that a link to b came up.
func (c *cluster) linkUps(b *backend) int {
	n := 0
	for _, e := range c.entries {
		n += strings.Count(readLog(e.proc.log), `"event":401,"text":"link up","backend":"`+b.id+`"`)
	}
	return n
}
