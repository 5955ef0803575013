package proofs

import (
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/invariant"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// leavingServes is how long an engine serves after it has announced that it leaves; then it cuts its streams.
const leavingServes = 3 * time.Second

// copyKinds are the faults after which streams continue from copies of their runs.
func (x *soaker) copyKinds() []faultKind {
	return []faultKind{
		{"engine crashes in the middle of streams", func(int) (string, func()) { return x.crashMidStream() }},
		{"engine with slow streams leaves", func(i int) (string, func()) { return x.leaveMidStream(i) }},
		{"copies lost", func(int) (string, func()) { x.c.log.LoseCopies(); return "", x.c.log.KeepCopies }},
	}
}

// checkContinued checks that runs have continued from copies: otherwise the faults show nothing.
func (w *gatewayObserver) checkContinued() {
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Check(w.c.t, w.outcomes["backup used"]+w.outcomes["moved"]+w.outcomes["returned"] > 0, "no run continued from a copy")
}

// crashMidStream crashes the engine that was called last while it generates streams, and replaces it.
func (x *soaker) crashMidStream() (string, func()) {
	s := x.lastCalled(registry.Decode)
	if !x.reserve(s.ID) {
		return "", nil
	}
	s.Behave(site.SlowStream)
	return s.ID, s.Crash
}

// leaveMidStream has the engine that was called last leave while it generates streams, some of which end after it has
// stopped to serve. Every second one refuses a move at first.
func (x *soaker) leaveMidStream(i int) (string, func()) {
	s := x.lastCalled(registry.Decode)
	if !x.reserve(s.ID) {
		return "", nil
	}
	s.Behave(site.SlowStream)
	if i%2 == 0 {
		s.BehaveMoves(site.MoveRun, site.MoveRefused, site.MoveRefused, site.MoveLost)
	}
	return s.ID, func() {
		x.c.addServer(s.service, s.stage)
		x.c.retire(s)
		x.c.putEntry(s, "draining")
		x.w.rec.Add(invariant.Event{Kind: invariant.Leaving, Node: incarnationID(s.ID, s.Born())})
		time.AfterFunc(leavingServes, s.CloseClientConnections)
	}
}
