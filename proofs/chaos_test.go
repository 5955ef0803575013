package proofs

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/invariant"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
	splatform "github.com/hibiscusspur/hibiscusspur/standin/platform"
)

// Environment variables of the random-fault run: chaosVar is the number of faults, seedVar the seed that they
// are drawn from.
const (
	chaosVar = "HIBISCUSSPUR_CHAOS"
	seedVar  = "HIBISCUSSPUR_SEED"
)

const chaosCallers = 12

// TestRandomFaults injects random faults, drawn from a seed, while callers send requests, and checks the
// invariants on the observed events.
func TestRandomFaults(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv(chaosVar))
	if n == 0 {
		t.Skip("run by make chaos")
	}
	seed, _ := strconv.ParseUint(os.Getenv(seedVar), 10, 64)
	c := newCluster(t, options{prefills: 2, decodes: 3, mixed: 1, entries: 3})
	w := newObserver(c)
	x := &chaos{faults: newFaults(seed), c: c, w: w}
	callers := w.startCallers(chaosCallers, seed)
	x.run(n, x.kinds())
	c.clearStore()
	c.clearEngines()
	w.stop()
	callers.Wait()
	took := w.awaitIdle(settleBound)
	breaches := invariant.Check(w.rec.Events(), chaosBounds())
	t.Logf("seed %d: %d faults %v; %s; at rest after %v", seed, n, x.drawn, w.summary(), took.Round(time.Millisecond))
	for _, b := range breaches {
		t.Error(b)
	}
}

// chaosBounds are the default bounds, with time for the faults that are active when memory has to be freed.
func chaosBounds() invariant.Bounds {
	b := invariant.DefaultBounds()
	b.Memory = settleBound
	return b
}

// chaos applies faults to a cluster.
type chaos struct {
	*faults
	c *cluster
	w *observer
}

// kinds are the faults of entries, sidecars, engines, links and the store.
func (x *chaos) kinds() []faultKind {
	return []faultKind{
		{"entry killed", func(i int) (string, func()) { return x.kill(x.entry(i).proc) }},
		{"entry frozen", func(i int) (string, func()) { return x.freeze(x.entry(i).proc) }},
		{"entry shut down", func(i int) (string, func()) { return x.shutDown(x.entry(i).proc) }},
		{"sidecar killed", func(i int) (string, func()) { return x.kill(x.server(i).sidecar) }},
		{"sidecar frozen", func(i int) (string, func()) { return x.freeze(x.server(i).sidecar) }},
		{"sidecar shut down", func(i int) (string, func()) { return x.shutDown(x.server(i).sidecar) }},
		{"engine killed", func(i int) (string, func()) {
			b := x.server(i)
			x.w.scan(b)
			return x.kill(b.engine)
		}},
		{"engine frozen", func(i int) (string, func()) { return x.freeze(x.server(i).engine) }},
		{"link cut", func(i int) (string, func()) { x.server(i).relay.cut(); return "", nil }},
		{"link silent", func(i int) (string, func()) { x.server(i).relay.drop(true, true); return "", nil }},
		{"link silent up", func(i int) (string, func()) { x.server(i).relay.drop(true, false); return "", nil }},
		{"link silent down", func(i int) (string, func()) { x.server(i).relay.drop(false, true); return "", nil }},
		{"link held", func(i int) (string, func()) { return "", x.server(i).relay.delay() }},
		{"link blocked", func(i int) (string, func()) {
			r := x.server(i).relay
			r.block()
			return "", r.unblock
		}},
		{"store cut off", func(i int) (string, func()) {
			r := x.entry(i).store
			r.block()
			return "", r.unblock
		}},
		{"store refuses", x.storeFault(splatform.Fault{Kind: splatform.Refuse})},
		{"store hangs", x.storeFault(splatform.Fault{Kind: splatform.Hang})},
		{"store slow", x.storeFault(splatform.Fault{Kind: splatform.Delay, Delay: 300 * time.Millisecond})},
		{"store loses answers", x.storeFault(splatform.Fault{Kind: splatform.LoseAnswer, Side: splatform.Writes})},
		{"stream cut", x.engineFault(fault.Rule{Kind: fault.Cut, Op: "decode", AfterTokens: 5, Count: 2})},
		{"stream silent", x.engineFault(fault.Rule{Kind: fault.Silent, Op: "decode", AfterTokens: 5, Count: 1})},
		{"start's answer lost", x.engineFault(fault.Rule{Kind: fault.LoseAnswer, Op: "decode", Count: 2})},
		{"start refused", x.engineFault(fault.Rule{Kind: fault.Refuse, Op: "decode", Count: 2})},
		{"prefill refused", x.engineFault(fault.Rule{Kind: fault.Refuse, Op: "prefill", Count: 2})},
		{"prefill's answer lost", x.engineFault(fault.Rule{Kind: fault.LoseAnswer, Op: "prefill", Count: 2})},
		{"cancel's answer lost", x.engineFault(fault.Rule{Kind: fault.LoseAnswer, Op: "cancel", Count: 3})},
		{"cancel refused", x.engineFault(fault.Rule{Kind: fault.Refuse, Op: "cancel", Count: 3})},
		{"transfers stall", x.engineFault(fault.Rule{Kind: fault.Link, Factor: 0.001})},
		{"contract changed", func(_ int) (string, func()) { x.w.change(); return "", nil }},
	}
}

func (x *chaos) entry(i int) *entry    { return x.c.entries[i%len(x.c.entries)] }
func (x *chaos) server(i int) *backend { return x.c.backends[i%len(x.c.backends)] }

func (x *chaos) storeFault(f splatform.Fault) func(int) (string, func()) {
	return func(int) (string, func()) {
		if !x.reserve("store") {
			return "", nil
		}
		x.c.storeFault(f)
		return "store", x.c.clearStore
	}
}

func (x *chaos) engineFault(r fault.Rule) func(int) (string, func()) {
	return func(target int) (string, func()) {
		b := x.server(target)
		id := b.engine.name
		if !x.reserve(id) {
			return "", nil
		}
		x.c.fault(b, r)
		return id, func() { x.c.clearEngine(b) }
	}
}

// change commits a contract change without effect, and retries while the store fails.
func (w *observer) change() {
	w.changes++
	text := fmt.Sprintf("%s# change %d\n", contractText(), w.changes)
	change := map[string]dissemination.Change{dissemination.ContractPrefix + customer: {Body: text}}
	w.wg.Go(func() {
		w.changing.Lock()
		defer w.changing.Unlock()
		for !w.stopped.Load() {
			rev, err := w.tryChange(change)
			if err == nil {
				w.c.head = rev
				w.rec.Add(invariant.Event{Kind: invariant.RevisionCommitted, Key: configKey, Revision: rev})
				return
			}
			time.Sleep(20 * pollInterval)
		}
	})
}

// clearEngine ends the faults of an engine; an engine that is down has none.
func (c *cluster) clearEngine(b *backend) { _ = deleteAt(b.engineURL + fault.Path) }

func (c *cluster) clearEngines() {
	for _, b := range c.backends {
		c.clearEngine(b)
	}
}

func (c *cluster) clearStore() { assert.Check(c.t, deleteAt(c.storeURL+splatform.PathFault)) }
