package proofs

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/invariant"
	"github.com/hibiscusspur/hibiscusspur/policy/runcopy"
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

// crashUnderStreams crashes an engine that generates a stream of which another engine has a backup, and checks that a run
// continues from it. Copies contain an event before it is sent, so one more than the router requires. Drawn faults don't always hit such a stream.
func (w *gatewayObserver) crashUnderStreams() {
	c := w.c
	engines := func(b site.Behaviour) {
		for _, s := range c.all() {
			if s.stage == registry.Decode {
				s.Behave(b)
			}
		}
	}
	defer engines(site.Answer)
	var clients sync.WaitGroup
	defer clients.Wait()
	found := make(chan struct{})
	defer close(found)
	for i := range 2 * len(c.gateways) {
		clients.Go(func() {
			for k := 0; !isClosed(found); k++ {
				w.sendRecorded(c.gateways[i%len(c.gateways)], gatewayRequest{id: fmt.Sprintf("copied-%d-%d", i, k), route: "draft"})
			}
		})
	}
	var run site.Call
	eventually(c.t, recoveryBound, "backup", func() bool {
		// Engines that replace crashed ones may start meanwhile.
		engines(site.SlowStream)
		i := slices.IndexFunc(c.log.Calls(), func(call site.Call) bool {
			return strings.HasPrefix(call.ID, "copied-") && c.serves(call.Backup) && c.log.HasCopy(call.Backup, call.ID, runcopy.MinBackedUpEvents+1)
		})
		if i >= 0 {
			run = c.log.Calls()[i]
		}
		return i >= 0
	})
	for _, s := range c.all() {
		if s.ID == run.Server {
			s.Crash()
		}
	}
	eventually(c.t, recoveryBound, "continuation of "+run.ID, func() bool {
		return slices.ContainsFunc(c.log.Calls(), func(call site.Call) bool { return call.ID == run.ID && call.Continued })
	})
}

// serves reports whether a server at that address has not crashed. Gateways learn of a crash within seconds, and place
// backups there until then.
func (c *gatewayCluster) serves(addr string) bool {
	return slices.ContainsFunc(c.all(), func(s *clusterServer) bool { return s.relay.addr == addr })
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
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
