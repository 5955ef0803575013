package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestFailingEngineIsExcludedByAllGateways guards against an engine that answers every request with 500 and gets requests
// of each gateway because no other engine has free memory: after two gateways have failed there, the third sends it
// nothing but trial requests, and once it works again the success at one gateway makes all use it.
func TestFailingEngineIsExcludedByAllGateways(t *testing.T) {
	cl := newCluster(t)
	cl.answerOthers()
	failing := cl.current
	var full []*site.Server
	for range 3 {
		cl.addEngine()
		full = append(full, cl.current)
	}
	// Each gateway has a loopback address of its own, on which no other test uses the port.
	const port = 9464
	gateways := []*process{startWithDatagrams(t, cl.store, "g1", port)}
	for _, vm := range []string{"g2", "g3"} {
		gateways = append(gateways, startWithDatagrams(t, cl.store, vm, port, gateways[0].settings.ControlAddr))
	}
	for _, p := range gateways {
		p.waitReady(t, http.StatusOK)
	}
	n := 0
	send := func(p *process) int {
		n++
		res := p.stream(t, fmt.Sprint("id-", n), "a harmless question")
		_, _ = io.Copy(io.Discard, res.Body)
		assert.NilError(t, res.Body.Close())
		return res.StatusCode
	}
	excludedBy := func() (excluded float64) {
		for _, p := range gateways {
			excluded += p.gauge(t, metrics.EnginesExcluded)
		}
		return excluded
	}
	for _, p := range gateways {
		waitUntil(t, "an engine", func() bool { return send(p) == http.StatusOK })
	}
	for _, s := range full {
		s.SetFull(true)
	}
	failing.Behave(site.Fail)
	waitUntil(t, "an exclusion at all gateways", func() bool {
		for _, p := range gateways[:2] {
			send(p)
		}
		return excludedBy() == float64(len(gateways))
	})
	failing.Behave(site.Answer)
	waitUntil(t, "the end of the exclusion", func() bool {
		for _, p := range gateways {
			send(p)
		}
		return excludedBy() == 0
	})
	for _, p := range gateways {
		waitUntil(t, "an answer of the engine", func() bool { return send(p) == http.StatusOK })
	}
}
