package proofs

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/invariant"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// soakVar is the number of faults of a soak run, seedVar its first seed, and soakSeedsVar the number of
// consecutive seeds.
const (
	soakVar      = "HIBISCUSSPUR_SOAK"
	soakSeedsVar = "HIBISCUSSPUR_SOAK_SEEDS"
)

// Parameters of a soak run.
const (
	soakGateways = 3
	soakClients  = 10
	// soakTailDuration is how long clients continue after the last fault, so that violations that it causes
	// become visible after the bounds.
	soakTailDuration = 2*time.Second + longestFault
	// recoveryBound is how long after the last fault every gateway may take to serve each kind of request,
	// and the servers to become idle.
	recoveryBound = 12 * time.Second
)

// soakBounds are the users' bounds plus the longest fault that may be active meanwhile.
func soakBounds() invariant.Bounds {
	b := invariant.DefaultBounds()
	b.Leaving = 2*time.Second + longestFault
	b.Revision = 2*time.Second + longestFault
	return b
}

// soakRegressions are seeds that failed before, with the number of faults, the number of fault kinds at that
// time, and the cause.
var soakRegressions = []struct {
	seed          uint64
	faults, kinds int
	cause         string
}{
	{1, 20, 31, "a time to come back was rounded up"},
	{6, 20, 31, "a silent connection outlived the faults"},
	{7003, misbehavingFaults, misbehavingOnly, "requests sent ahead took the room of ordinary ones"},
}

// TestSoak injects random faults, drawn from seeds, while clients send requests to gateways, and checks the
// invariants on what clients and servers observed.
func TestSoak(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv(soakVar))
	if n == 0 {
		t.Skip("run by make soak")
	}
	seed, _ := strconv.ParseUint(os.Getenv(seedVar), 10, 64)
	seeds, _ := strconv.ParseUint(os.Getenv(soakSeedsVar), 10, 64)
	for i := range max(seeds, 1) {
		t.Run(fmt.Sprint("seed ", seed+i), func(t *testing.T) { soak(t, seed+i, n, allKinds) })
	}
	t.Run("copies of runs", func(t *testing.T) { soak(t, seed, copyFaults, copiesOnly) })
	t.Run("software versions", func(t *testing.T) { soak(t, seed, versionFaults, versionsOnly) })
	t.Run("parts of prompts", func(t *testing.T) { soak(t, seed, partFaults, partsOnly) })
	t.Run("clients that don't behave", func(t *testing.T) { soak(t, seed, misbehavingFaults, misbehavingOnly) })
	for _, r := range soakRegressions {
		t.Run(fmt.Sprint("seed ", r.seed, ": ", r.cause), func(t *testing.T) { soak(t, r.seed, r.faults, r.kinds) })
	}
}

const (
	// allKinds selects all fault kinds, copiesOnly those after which streams continue from copies, without requests that
	// crash servers: of all kinds, few draws are of these.
	allKinds, copiesOnly = -1, -2
	// versionsOnly selects those of rollouts, and of gateways whose streams are taken up elsewhere.
	versionsOnly = -3
	// partsOnly selects parts of prompts that crash servers, requests gathered at one gateway, processor quotas, and faults of
	// gateways.
	partsOnly = -4
	// copyFaults is the number of faults of a run with copiesOnly, versionFaults that of one with versionsOnly, and
	// partFaults that of one with partsOnly.
	copyFaults, versionFaults, partFaults = 10, 14, 10
)

func soak(t *testing.T, seed uint64, n, kinds int) {
	c := newGatewayCluster(t, soakGateways)
	w := newGatewayObserver(c)
	x := &soaker{faults: newFaults(seed), c: c, w: w}
	if kinds == versionsOnly {
		w.takeUps.leaveWithin, x.resting = clientTimeout/2, site.SlowStream
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() { w.client(i, seed, stop) })
	}
	drawn := x.everyKind()
	switch kinds {
	case allKinds:
		w.crashing.begin(seed)
		w.crashing.beginPart(seed)
	case partsOnly:
		w.crashing.beginPart(seed)
		drawn = slices.Concat(x.partKinds(), x.partKinds(), x.quotaKinds(), x.quotaKinds(), x.kinds()[:gatewayKinds-1])
	case copiesOnly:
		drawn = x.copyKinds()
	case misbehavingOnly:
		drawn = slices.Concat(x.crowdKinds(), x.kinds()[:gatewayKinds])
		defer x.watchGateways(t)()
	case versionsOnly:
		c.beginRollOut()
		drawn = slices.Concat(x.versionKinds(), x.kinds()[:gatewayKinds], x.versionKinds()[:1])
		defer w.slowStreams()()
	default:
		drawn = drawn[:kinds]
	}
	x.run(n, drawn)
	if kinds == copiesOnly {
		w.crashUnderStreams()
	}
	c.store.SetFault(site.NoFault)
	time.Sleep(soakTailDuration)
	w.c.keys.probing.Wait()
	w.checkQuota()
	w.checkAnnouncements()
	w.checkTakeUps()
	w.crashing.check()
	w.awaitRecovery(recoveryBound)
	close(stop)
	clients.Wait()
	w.awaitIdle(recoveryBound)
	for _, g := range c.gateways {
		assert.Check(t, !g.proc.exited(), "%s exited unexpectedly", g.vm)
	}
	t.Logf("seed %d: %d faults %v; %s", seed, n, x.drawn, w.summary())
	for _, b := range invariant.Check(w.rec.Events(), soakBounds()) {
		t.Errorf("assertion failed: %v", b)
	}
}

// soaker applies faults to a gateway cluster.
type soaker struct {
	*faults
	c *gatewayCluster
	w *gatewayObserver
	// resting is how servers behave after a fault of theirs.
	resting site.Behaviour
}

// kinds are the faults of gateways, servers, links and the store.
func (x *soaker) kinds() []faultKind {
	server := func(b site.Behaviour) func(int) (string, func()) {
		return func(i int) (string, func()) { return x.behave(i, b) }
	}
	store := func(f site.StoreFault) func(int) (string, func()) {
		return func(int) (string, func()) { return x.storeFault(f) }
	}
	return []faultKind{
		{"gateway killed", func(i int) (string, func()) { return x.kill(x.gateway(i).proc) }},
		{"gateway frozen", func(i int) (string, func()) { return x.freeze(x.gateway(i).proc) }},
		{"gateway shut down", func(i int) (string, func()) { return x.shutDown(x.gateway(i).proc) }},
		{"all gateways killed", func(int) (string, func()) { return x.killAll() }},
		{"settings changed", func(i int) (string, func()) { return x.reload(i) }},
		{"gateway cut off the store", func(i int) (string, func()) { return x.block(x.gateway(i).store) }},
		{"store's links cut", func(i int) (string, func()) { x.gateway(i).store.cut(); return "", nil }},
		{"store's links silent", func(i int) (string, func()) { x.gateway(i).store.drop(false, true); return "", nil }},
		{"store busy", store(site.Unavailable)},
		{"store rejects calls", store(site.TooManyRequests)},
		{"store loses answers", store(site.LoseAnswer)},
		{"store forgets its history", store(site.Compacted)},
		{"store answers garbage", store(site.CorruptAnswer)},
		{"server fails", server(site.Fail)},
		{"server refuses", server(site.Shed)},
		{"server resets", server(site.Reset)},
		{"server mute", server(site.NeverAnswer)},
		{"server forgets its mark", server(site.Unstamped)},
		{"server breaks off", server(site.CutBody)},
		{"server can't fetch", server(site.FailKVFetch)},
		{"streams cut", server(site.CutStream)},
		{"streams silent", server(site.StallStream)},
		{"engine full", func(i int) (string, func()) { return x.fillEngine(i) }},
		{"server's links cut", func(i int) (string, func()) { x.server(i).relay.cut(); return "", nil }},
		{"server's links silent", func(i int) (string, func()) { x.server(i).relay.drop(true, true); return "", nil }},
		{"server's links silent one way", func(i int) (string, func()) { x.server(i).relay.drop(false, true); return "", nil }},
		{"server's requests late", func(i int) (string, func()) { return "", x.server(i).relay.delay() }},
		{"server cut off", func(i int) (string, func()) { return x.block(x.server(i).relay) }},
		{"server replaced", func(i int) (string, func()) { return x.replace(i) }},
		{"server leaves", func(i int) (string, func()) { return x.leave(i) }},
		{"manifest changed", func(int) (string, func()) { x.w.change(); return "", nil }},
		{"server starts again", func(i int) (string, func()) { return x.restart(i, false) }},
		{"server starts again silently", func(i int) (string, func()) { return x.restart(i, true) }},
		{"server leaves and starts again", func(i int) (string, func()) { return x.leaveAndRestart(i) }},
		{"entry spoiled", func(i int) (string, func()) { return x.corruptEntry(i) }},
		{"request crashes servers", func(i int) (string, func()) { x.w.crashing.begin(uint64(i)); return "", nil }},
	}
}

// everyKind returns all fault kinds in the order in which they were added: the regression seeds draw from the
// first ones only.
func (x *soaker) everyKind() []faultKind {
	return slices.Concat(x.kinds(), x.keyKinds(), x.announcementKinds(), x.restoreKinds(), x.copyKinds(), x.versionKinds(), x.partKinds(), x.quotaKinds())
}

// gatewayKinds is the number of kinds that come first, of gateways that are killed, frozen or shut down.
const gatewayKinds = 4

func (x *soaker) gateway(i int) *clusterGateway { return x.c.gateways[i%len(x.c.gateways)] }

func (x *soaker) server(i int) *clusterServer {
	all := x.c.all()
	return all[i%len(all)]
}

func (x *soaker) block(r *relay) (string, func()) {
	r.block()
	return "", r.unblock
}

// killAll kills every gateway that is not under another fault, and restarts them together.
func (x *soaker) killAll() (string, func()) {
	x.w.crashing.recordStateLoss()
	var ends []func()
	var ids []string
	for _, g := range x.c.gateways {
		if id, end := x.kill(g.proc); end != nil {
			ids, ends = append(ids, id), append(ends, end)
		}
	}
	return "", func() {
		for i, end := range ends {
			end()
			x.release(ids[i])
		}
	}
}

// reload rewrites the settings file, for every second target followed by SIGHUP.
func (x *soaker) reload(i int) (string, func()) {
	g := x.gateway(i)
	if !x.reserve(g.proc.name) {
		return "", nil
	}
	x.c.writeSettings(g)
	if i%2 == 0 {
		g.proc.signal(syscall.SIGHUP)
	}
	return g.proc.name, func() {}
}

func (x *soaker) storeFault(f site.StoreFault) (string, func()) {
	if !x.reserve("store") {
		return "", nil
	}
	x.c.store.SetFault(f)
	return "store", func() { x.c.store.SetFault(site.NoFault) }
}

func (x *soaker) behave(i int, b site.Behaviour) (string, func()) {
	s := x.server(i)
	if !x.reserve(s.ID) {
		return "", nil
	}
	s.Behave(b)
	return s.ID, func() { s.Behave(x.resting) }
}

func (x *soaker) fillEngine(i int) (string, func()) {
	s := x.server(i)
	if s.stage != registry.Decode || !x.reserve(s.ID) {
		return "", nil
	}
	s.SetFull(true)
	return s.ID, func() { s.SetFull(false) }
}

// replace stops a server without notice; its entry is deleted later, when a replacement starts.
func (x *soaker) replace(i int) (string, func()) {
	s := x.lastCalled(x.server(i).stage)
	if !x.reserve(s.ID) {
		return "", nil
	}
	x.c.retire(s)
	s.CloseClientConnections()
	s.Listener.Close()
	return s.ID, func() {
		x.c.store.Put("servers", s.ID, nil)
		x.c.addServer(s.service, s.stage)
	}
}

// lastCalled returns the server of one stage that was called last. At low load gateways send most requests to
// the same servers, and a fault of any other would have no effect.
func (x *soaker) lastCalled(stage registry.Stage) *clusterServer {
	calls, all := x.c.log.Calls(), x.c.all()
	for _, call := range slices.Backward(calls) {
		for _, s := range all {
			if s.ID == call.Server && s.stage == stage {
				return s
			}
		}
	}
	return all[0]
}

// leave marks a server as draining in its entry; it continues to serve, and a replacement starts.
func (x *soaker) leave(i int) (string, func()) {
	s := x.lastCalled(x.server(i).stage)
	if !x.reserve(s.ID) {
		return "", nil
	}
	x.c.addServer(s.service, s.stage)
	x.c.retire(s)
	x.c.putEntry(s, "draining")
	x.w.rec.Add(invariant.Event{Kind: invariant.Leaving, Node: incarnationID(s.ID, s.Born())})
	return s.ID, func() {}
}

// restart restarts a server under the same name. Its connections are closed, or stay open and unresponsive.
func (x *soaker) restart(i int, unresponsive bool) (string, func()) {
	s := x.lastCalled(x.server(i).stage)
	if !x.reserve(s.ID) {
		return "", nil
	}
	s.Restart(time.Now().UnixMilli(), unresponsive)
	x.c.putEntry(s, "ready")
	return s.ID, func() {}
}

// leaveAndRestart marks a server as draining; when the fault ends, the server restarts under the same name.
func (x *soaker) leaveAndRestart(i int) (string, func()) {
	s := x.lastCalled(x.server(i).stage)
	if !x.reserve(s.ID) {
		return "", nil
	}
	x.c.putEntry(s, "draining")
	x.w.rec.Add(invariant.Event{Kind: invariant.Leaving, Node: incarnationID(s.ID, s.Born())})
	return s.ID, func() {
		s.Restart(time.Now().UnixMilli(), false)
		x.c.putEntry(s, "ready")
	}
}

// corruptEntry overwrites the entry of a server with an invalid one, as a faulty writer would; the server
// continues to serve.
func (x *soaker) corruptEntry(i int) (string, func()) {
	s := x.server(i)
	if !x.reserve(s.ID) {
		return "", nil
	}
	entries := []string{"", "{", "[]", "{}", `{"service":7}`, "\xff"}
	x.c.store.Put("servers", s.ID, []byte(entries[i%len(entries)]+" "))
	return s.ID, func() { x.c.putEntry(s, "ready") }
}
