package proofs

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/invariant"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// versionKinds are the faults of rollouts, and of answers that end with their connection.
func (x *soaker) versionKinds() []faultKind {
	return []faultKind{
		{"engine of the next version replaces one", func(int) (string, func()) { return x.rollOut() }},
		{"answers end with their connection", func(i int) (string, func()) { return x.frameByConnection(i) }},
		{"streams end inside an event", func(i int) (string, func()) { return x.behave(i, site.EndInEventData) }},
		{"streams end inside an event, with their connection", func(i int) (string, func()) { return x.endWithConnection(i) }},
	}
}

// enginesPerVersion is the number of engines that start with one version before the next one.
const enginesPerVersion = 2

// beginRollOut adds engines of the next version beside those of the first.
func (c *gatewayCluster) beginRollOut() {
	c.mu.Lock()
	c.software = "next"
	c.mu.Unlock()
	for range enginesPerVersion {
		c.addServer(modelService, registry.Decode)
	}
}

// rollOut replaces the decode engine that was called last, at times by one of the next software version. The old one
// serves for some seconds more.
func (x *soaker) rollOut() (string, func()) {
	s := x.lastCalled(registry.Decode)
	if !x.reserve(s.ID) {
		return "", nil
	}
	x.c.nextSoftware()
	x.c.addServer(s.service, s.stage)
	x.c.retire(s)
	x.c.putEntry(s, "draining")
	x.w.rec.Add(invariant.Event{Kind: invariant.Leaving, Node: incarnationID(s.ID, s.Born())})
	time.AfterFunc(leavingServes, s.CloseClientConnections)
	return s.ID, func() {}
}

// nextSoftware sets the software version of servers that start from now on.
func (c *gatewayCluster) nextSoftware() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.software = fmt.Sprint("v", 1+c.started/enginesPerVersion)
}

func (x *soaker) frameByConnection(i int) (string, func()) {
	s := x.server(i)
	if !x.reserve(s.ID) {
		return "", nil
	}
	s.FrameByConnection(true)
	return s.ID, func() { s.FrameByConnection(false) }
}

func (x *soaker) endWithConnection(i int) (string, func()) {
	id, end := x.behave(i, site.EndInEventData)
	if end == nil {
		return "", nil
	}
	s := x.server(i)
	s.FrameByConnection(true)
	return id, func() {
		s.FrameByConnection(false)
		end()
	}
}

// slowStreams makes all engines, also those that start later, generate slowly, until the returned function is called.
func (w *gatewayObserver) slowStreams() (end func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		slow := map[string]bool{}
		for !isClosed(stop) {
			for _, s := range w.c.all() {
				if s.stage == registry.Decode && !slow[s.ID] {
					slow[s.ID] = true
					s.Behave(site.SlowStream)
				}
			}
			time.Sleep(maxClientInterval)
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// takeUps are the streams that clients took up, and the software version that began each stream.
type takeUps struct {
	// leaveWithin is the time within which every second client of such a stream closes its connection; zero if these
	// leave no more often than others.
	leaveWithin time.Duration

	mu sync.Mutex
	// versions is that of the latest run without events before it, by the request that began the stream.
	versions map[string]string
	// begun counts the streams of which clients received an event, tried the answers to clients that took one up, and
	// wentOn those of them with further events.
	begun, tried, wentOn int
	joined               []string
}

// recordVersion records the software version of a run, and notes a run that goes on with events of another version.
func (w *gatewayObserver) recordVersion(call site.Call) {
	if call.Kind != site.Decode {
		return
	}
	w.c.mu.Lock()
	version := w.c.versions[call.Server]
	w.c.mu.Unlock()
	root := call.ID
	if first := call.Header.Get(site.Resumes); first != "" {
		root = first
	}
	x := &w.takeUps
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.versions == nil {
		x.versions = map[string]string{}
	}
	if call.LastEvent == "" {
		x.versions[root] = version
		return
	}
	if began := x.versions[root]; began != version {
		x.joined = append(x.joined, fmt.Sprintf("%s (resumes %q) begun at %s, goes on at %s of %s", call.ID, call.Header.Get(site.Resumes), began, version, call.Server))
	}
}

const (
	// maxTakeUps is how often a client takes up a stream, takeUpDelay the delay before each.
	maxTakeUps  = 6
	takeUpDelay = 200 * time.Millisecond
)

// sendUntilWhole sends a request for a stream and, while it breaks off after its first event, takes it up at the next
// gateway.
func (w *gatewayObserver) sendUntilWhole(gateway func() *clusterGateway, q gatewayRequest) {
	received := 0
	q.received = &received
	w.sendRecorded(gateway(), q)
	w.countIf(&w.takeUps.begun, received > 0)
	for i := 1; i <= maxTakeUps && received > 0 && received < site.Events; i++ {
		time.Sleep(takeUpDelay)
		before := received
		again := gatewayRequest{id: fmt.Sprintf("%s-%d", q.id, i), route: q.route, parts: q.parts, resumes: q.id, first: received, received: &received}
		status := w.sendRecorded(gateway(), again)
		w.countIf(&w.takeUps.tried, status != 0)
		w.countIf(&w.takeUps.wentOn, status == http.StatusOK && received > before)
	}
}

// countIf counts one more if cond holds.
func (w *gatewayObserver) countIf(n *int, cond bool) {
	w.takeUps.mu.Lock()
	defer w.takeUps.mu.Unlock()
	if cond {
		*n++
	}
}

// checkTakeUps checks that no stream holds events of two software versions.
func (w *gatewayObserver) checkTakeUps() {
	x := &w.takeUps
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, joined := range x.joined {
		assert.Check(w.c.t, false, "events of two software versions: %s", joined)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes["streams begun"], w.outcomes["streams taken up"], w.outcomes["streams taken up that went on"] = x.begun, x.tried, x.wentOn
}
