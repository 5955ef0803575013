package proofs

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
)

// The rows below inject a fault at token faultToken of answerTokens. Decoding all of them takes longer than any
// lease.
const (
	faultToken   = 20
	answerTokens = 250
)

// expectation is the result that a caller must see.
type expectation uint8

const (
	whole          expectation = iota + 1 // the expected answer, from one run
	resumed                               // the expected answer, from any number of runs
	visibleError                          // an error, without a second run
	connectionLost                        // the connection ends without a complete answer
	notRun                                // rejected with Retry-After, and never run
	notRunOrWhole                         // either notRun or whole
)

var expectationNames = map[expectation]string{whole: "whole, one run", resumed: "whole", visibleError: "visible error, no rerun", connectionLost: "cut, not taken for whole", notRun: "not run, no run", notRunOrWhole: "not run or whole"}

// answerRow injects a fault while an answer is being produced.
type answerRow struct {
	point int
	fault string
	model string
	opts  options
	// before is called before the request is sent, during at token faultToken.
	before, during func(c *cluster)
	want           expectation
}

// redundant has a second server of each kind, single does not, and shortKV has engines that expire an
// exported KV cache soon.
var (
	redundant = options{prefills: 2, decodes: 2, engineArgs: longKVTTL}
	single    = options{prefills: 1, decodes: 1, engineArgs: longKVTTL}
	shortKV   = options{prefills: 2, decodes: 2, engineArgs: []string{"--kv-ttl", "400ms"}}
)

var answerRows = []answerRow{
	{3, "nothing", unrepeatable, redundant, nil, nil, whole},
	{3, "link silent both ways", unrepeatable, redundant, nil, func(c *cluster) { c.dropToRunning(true, true) }, whole},
	{3, "link silent towards the sidecar", unrepeatable, redundant, nil, func(c *cluster) { c.dropToRunning(true, false) }, whole},
	{3, "link silent towards the entry", unrepeatable, redundant, nil, func(c *cluster) { c.dropToRunning(false, true) }, whole},
	{3, "link cut", unrepeatable, redundant, nil, func(c *cluster) { c.running().relay.cut() }, whole},
	{3, "engine's stream cut", unrepeatable, redundant, onDecodes(fault.Rule{Kind: fault.Cut, Op: "decode", AfterTokens: faultToken, Count: 1}), nil, whole},
	{3, "engine's stream silent", unrepeatable, redundant, onDecodes(fault.Rule{Kind: fault.Silent, Op: "decode", AfterTokens: faultToken, Count: 1}), nil, whole},
	{3, "engine's answer to the start lost", unrepeatable, redundant, onDecodes(fault.Rule{Kind: fault.LoseAnswer, Op: "decode", Count: 1}), nil, whole},
	{3, "decode engine dies, repeatable", repeatable, redundant, nil, func(c *cluster) { c.running().engine.kill() }, resumed},
	{3, "decode engine dies, unrepeatable", unrepeatable, redundant, nil, func(c *cluster) { c.running().engine.kill() }, visibleError},
	{4, "the only decode engine dies after a run, repeatable", repeatable, single, nil, func(c *cluster) { c.running().engine.kill() }, visibleError},
	{3, "sidecar killed, repeatable", repeatable, redundant, nil, func(c *cluster) { c.running().sidecar.kill() }, resumed},
	{3, "sidecar killed, unrepeatable", unrepeatable, redundant, nil, func(c *cluster) { c.running().sidecar.kill() }, visibleError},
	{3, "sidecar killed and restarted, repeatable", repeatable, redundant, nil, func(c *cluster) { b := c.running(); b.sidecar.kill(); b.sidecar.restart() }, resumed},
	{3, "sidecar killed and restarted, unrepeatable", unrepeatable, redundant, nil, func(c *cluster) { b := c.running(); b.sidecar.kill(); b.sidecar.restart() }, visibleError},
	{3, "sidecar and its engine frozen, repeatable", repeatable, redundant, nil, func(c *cluster) { b := c.running(); b.sidecar.freeze(); b.engine.freeze() }, resumed},
	{3, "decode engine frozen, repeatable", repeatable, redundant, nil, func(c *cluster) { c.running().engine.freeze() }, resumed},
	{3, "entry frozen past its lease and thawed, repeatable", repeatable, redundant, nil, freezeEntry, resumed},
	{3, "entry frozen past its lease and thawed, unrepeatable", unrepeatable, redundant, nil, freezeEntry, visibleError},
	{3, "entry killed", repeatable, redundant, nil, func(c *cluster) { c.entries[0].proc.kill() }, connectionLost},
	{3, "transfer stalls until the KV cache is evicted, repeatable", repeatable, shortKV, func(c *cluster) { c.fault(c.backend("d1"), fault.Rule{Kind: fault.Link, Factor: 0}) }, nil, resumed},
	{3, "prefill answer lost", unrepeatable, redundant, onPrefills(fault.Rule{Kind: fault.LoseAnswer, Op: "prefill", Count: 1}), nil, whole},
	{3, "prefill engine refuses", unrepeatable, redundant, onPrefills(fault.Rule{Kind: fault.Refuse, Op: "prefill", Count: 1}), nil, whole},
	{3, "prefill engine dies", unrepeatable, redundant, func(c *cluster) { c.fault(c.backend("p1"), fault.Rule{Kind: fault.Die, Op: "prefill", Count: 1}) }, nil, whole},
	{3, "prefill sidecar dead", unrepeatable, redundant, func(c *cluster) { c.backend("p1").sidecar.kill() }, nil, whole},
	{4, "start held back by the network, arrives after a new link", unrepeatable, redundant, delayStart, nil, notRunOrWhole},
	{4, "engine refuses the start", unrepeatable, single, onDecodes(fault.Rule{Kind: fault.Refuse, Op: "decode"}), nil, notRun},
	{4, "no place", unrepeatable, singleSlot, func(c *cluster) {
		c.entries[0].begin(longRequest(false))
		c.awaitPhase("d1", engine.PhaseDecode)
	}, nil, notRun},
	{4, "decode sidecar killed before the start", unrepeatable, single, func(c *cluster) {
		c.fault(c.backend("p1"), fault.Rule{Kind: fault.Delay, Op: "prefill", DelayMillis: 200})
		go func() {
			for c.slotsUsed("d1") == 0 {
				time.Sleep(pollInterval)
			}
			c.backend("d1").sidecar.kill()
		}()
	}, nil, notRun},
	{4, "decode sidecar restarted before the start", unrepeatable, single, func(c *cluster) {
		c.fault(c.backend("p1"), fault.Rule{Kind: fault.Delay, Op: "prefill", DelayMillis: 200, Count: 1})
		go func() {
			for c.slotsUsed("d1") == 0 {
				time.Sleep(pollInterval)
			}
			c.backend("d1").sidecar.kill()
			c.backend("d1").sidecar.restart()
		}()
	}, nil, notRunOrWhole},
	{3, "link cut and decode engine dies, repeatable", repeatable, redundant, nil, func(c *cluster) { b := c.running(); b.relay.cut(); b.engine.kill() }, resumed},
	{3, "two decode engines die one after the other, repeatable", repeatable, options{prefills: 1, decodes: 3, engineArgs: longKVTTL}, nil, func(c *cluster) {
		first := c.running()
		first.engine.kill()
		eventually(c.t, startBound, "resumed", func() bool { b := c.findRunning(); return b != nil && b != first })
		c.running().engine.kill()
	}, resumed},
}

// delayStart delays the frames that the entry sends to the decode sidecars once a decode slot is reserved, and lets them
// arrive after the entry has a new link.
func delayStart(c *cluster) {
	c.fault(c.backend("p1"), fault.Rule{Kind: fault.Delay, Op: "prefill", DelayMillis: 200, Count: 1})
	c.fault(c.backend("p2"), fault.Rule{Kind: fault.Delay, Op: "prefill", DelayMillis: 200, Count: 1})
	go func() {
		for c.slotsUsed("d1")+c.slotsUsed("d2") == 0 {
			time.Sleep(pollInterval)
		}
		releases := []func(){c.backend("d1").relay.delay(), c.backend("d2").relay.delay()}
		time.Sleep(startDelay)
		for _, release := range releases {
			release()
		}
	}()
}

// startDelay is longer than the time without traffic after which both ends close a link.
const startDelay = 1500 * time.Millisecond

// dropToRunning drops the traffic of the open connections to the sidecar of the running request.
func (c *cluster) dropToRunning(up, down bool) { c.running().relay.drop(up, down) }

func onDecodes(r fault.Rule) func(c *cluster) { return onRole(string(engine.RoleDecode), r) }

func onPrefills(r fault.Rule) func(c *cluster) { return onRole(string(engine.RolePrefill), r) }

func onRole(role string, r fault.Rule) func(c *cluster) {
	return func(c *cluster) {
		for _, b := range c.backends {
			if b.role == role {
				c.fault(b, r)
			}
		}
	}
}

// freezeEntry freezes the entry until the sidecar has cancelled its run.
func freezeEntry(c *cluster) {
	c.entries[0].proc.freeze()
	eventually(c.t, leaseBound, "run cancelled", func() bool { return c.heldCount() == 0 })
	c.entries[0].proc.thaw()
}

func (c *cluster) findRunning() *backend {
	for _, b := range c.backends {
		if b.role != "service" && b.phase(engine.PhaseDecode) {
			return b
		}
	}
	return nil
}

// running waits for a run in decode and returns its backend server.
func (c *cluster) running() *backend {
	c.t.Helper()
	var found *backend
	eventually(c.t, startBound, "a run in decode", func() bool { found = c.findRunning(); return found != nil })
	return found
}

func TestTheWholeAnswer(t *testing.T) {
	for _, r := range answerRows {
		for _, stream := range []bool{true, false} {
			name := r.fault + map[bool]string{true: ", streamed", false: ""}[stream]
			t.Run(name, func(t *testing.T) {
				var a answer
				row(t, r.point, name, func() string {
					return fmt.Sprintf("%s in %v", expectationNames[r.want], a.took.Round(time.Millisecond))
				})
				c := newCluster(t, r.opts)
				if r.before != nil {
					r.before(c)
				}
				q := modelRequest{model: r.model, prompt: promptForTokens(answerTokens, 20, name), stream: stream}
				a = c.injectDuring(q, r.during)
				c.checkExpectation(q, a, r.want)
			})
		}
	}
}

// injectDuring sends q and calls during once the answer has reached token faultToken.
func (c *cluster) injectDuring(q modelRequest, during func(c *cluster)) answer {
	c.t.Helper()
	reached := make(chan struct{})
	q.onToken = func(n int) {
		if n == faultToken {
			close(reached)
		}
	}
	p := c.entries[0].begin(q)
	if during != nil && q.stream {
		<-reached
		during(c)
	} else if during != nil {
		eventually(c.t, startBound, "answer started", func() bool { b := c.findRunning(); return b != nil && c.position(b.id) >= faultToken })
		during(c)
	}
	return <-p.done
}

// awaitLateRuns waits long enough for a delayed message to start a second run.
func (c *cluster) awaitLateRuns() {
	for start := time.Now(); time.Since(start) < lateRunWindow; time.Sleep(pollInterval) {
	}
}

func (c *cluster) checkExpectation(q modelRequest, a answer, e expectation) {
	c.t.Helper()
	if e == notRun || e == notRunOrWhole {
		c.awaitLateRuns()
	}
	runs, _ := c.runsStarted(a.id)
	switch e {
	case whole, resumed:
		assert.Assert(c.t, a.whole, "%v", a)
		assert.Equal(c.t, a.text, q.expectedAnswer())
		assert.Assert(c.t, a.outcome == "", "%v", a)
		assert.Assert(c.t, runs == 1 || e == resumed, "%d runs", runs)
	case visibleError:
		assert.Assert(c.t, !a.whole, "%v", a)
		assert.Assert(c.t, a.outcome == "failed" || a.outcome == "unknown", "%v", a)
		assert.Assert(c.t, runs <= 1, "%d runs", runs)
	case notRun:
		assert.Equal(c.t, a.outcome, "not_run", "%v", a)
		assert.Assert(c.t, a.retryAfter != "", "%v", a)
		assert.Equal(c.t, runs, 0)
	case notRunOrWhole:
		assert.Assert(c.t, a.whole && runs == 1 || a.outcome == "not_run" && runs == 0, "%d runs, %v", runs, a)
	case connectionLost:
		assert.Assert(c.t, !a.whole && a.err != nil, "%v", a)
	}
}
