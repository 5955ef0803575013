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

// soakVar is the number of faults of a run of the soak; seedVar is its first seed, and
// soakSeedsVar the number of seeds, one after another.
const (
	soakVar      = "HIBISCUSSPUR_SOAK"
	soakSeedsVar = "HIBISCUSSPUR_SOAK_SEEDS"
)

// Shape of a run.
const (
	soakGateways = 3
	soakClients  = 10
	// soakTail is how long clients go on after the last fault, so that what it may break by
	// the bounds shows.
	soakTail = 2*time.Second + longestFault
	// soakRecover is how long after the last fault every gateway has to serve each kind of
	// request, and servers to be at rest.
	soakRecover = 12 * time.Second
)

// soakBounds are the users' bounds, and the longest fault that may hold meanwhile.
func soakBounds() invariant.Bounds {
	b := invariant.DefaultBounds()
	b.Leaving = 2*time.Second + longestFault
	b.Revision = 2*time.Second + longestFault
	return b
}

// soakRegressions are seeds that once failed, with the number of faults, the number of kinds that
// there were then, and why.
var soakRegressions = []struct {
	seed          uint64
	faults, kinds int
	cause         string
}{
	{1, 20, 31, "a time to come back was rounded up"},
	{6, 20, 31, "a silent connection outlived the faults"},
}

// TestSoak draws faults from seeds while clients ask gateways, and lets the checker judge
// what clients and servers saw.
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
	for _, r := range soakRegressions {
		t.Run(fmt.Sprint("seed ", r.seed, ": ", r.cause), func(t *testing.T) { soak(t, r.seed, r.faults, r.kinds) })
	}
}

// allKinds stands for the number of all kinds.
const allKinds = -1

func soak(t *testing.T, seed uint64, n, kinds int) {
	c := newSite(t, soakGateways)
	w := newSiteWatch(c)
	x := &soaker{faults: newFaults(seed), c: c, w: w}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() { w.client(i, seed, stop) })
	}
	drawn := x.everyKind()
	if kinds != allKinds {
		drawn = drawn[:kinds]
	} else {
		w.strikers.begin(seed)
	}
	x.run(n, drawn)
	c.store.SetFault(site.NoFault)
	time.Sleep(soakTail)
	w.c.keys.probing.Wait()
	w.judgeQuota()
	w.judgeSayings()
	w.strikers.judge()
	w.recovers(soakRecover)
	close(stop)
	clients.Wait()
	w.atRest(soakRecover)
	for _, g := range c.gateways {
		assert.Check(t, !g.proc.exited(), "%s ended by itself", g.vm)
	}
	t.Logf("seed %d: %d faults %v; %s", seed, n, x.drawn, w.summary())
	for _, b := range invariant.Check(w.rec.Events(), soakBounds()) {
		t.Error(b)
	}
}

// soaker applies faults to a site.
type soaker struct {
	*faults
	c *siteCluster
	w *siteWatch
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
		{"store's links silent", func(i int) (string, func()) { x.gateway(i).store.silence(false, true); return "", nil }},
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
		{"engine full", func(i int) (string, func()) { return x.full(i) }},
		{"server's links cut", func(i int) (string, func()) { x.server(i).relay.cut(); return "", nil }},
		{"server's links silent", func(i int) (string, func()) { x.server(i).relay.silence(true, true); return "", nil }},
		{"server's links silent one way", func(i int) (string, func()) { x.server(i).relay.silence(false, true); return "", nil }},
		{"server's requests late", func(i int) (string, func()) { return "", x.server(i).relay.hold() }},
		{"server cut off", func(i int) (string, func()) { return x.block(x.server(i).relay) }},
		{"server replaced", func(i int) (string, func()) { return x.replace(i) }},
		{"server leaves", func(i int) (string, func()) { return x.leave(i) }},
		{"manifest changed", func(int) (string, func()) { x.w.change(); return "", nil }},
		{"server starts again", func(i int) (string, func()) { return x.restart(i, false) }},
		{"server starts again silently", func(i int) (string, func()) { return x.restart(i, true) }},
		{"server leaves and starts again", func(i int) (string, func()) { return x.leaveAndRestart(i) }},
		{"entry spoiled", func(i int) (string, func()) { return x.spoil(i) }},
		{"request crashes servers", func(i int) (string, func()) { x.w.strikers.begin(uint64(i)); return "", nil }},
	}
}

// everyKind are the faults of the site, in the order in which they came to be: seeds that once failed draw from the first.
func (x *soaker) everyKind() []faultKind {
	return slices.Concat(x.kinds(), x.keyKinds(), x.sayingKinds())
}

func (x *soaker) gateway(i int) *siteGateway { return x.c.gateways[i%len(x.c.gateways)] }

func (x *soaker) server(i int) *siteServer {
	all := x.c.all()
	return all[i%len(all)]
}

func (x *soaker) block(r *relay) (string, func()) {
	r.block()
	return "", r.unblock
}

// killAll kills every gateway that no other fault holds, and starts them together.
func (x *soaker) killAll() (string, func()) {
	x.w.strikers.lost()
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
			x.free(ids[i])
		}
	}
}

// reload changes the settings file, with a signal or without one.
func (x *soaker) reload(i int) (string, func()) {
	g := x.gateway(i)
	if !x.take(g.proc.name) {
		return "", nil
	}
	x.c.writeSettings(g)
	if i%2 == 0 {
		g.proc.signal(syscall.SIGHUP)
	}
	return g.proc.name, func() {}
}

func (x *soaker) storeFault(f site.StoreFault) (string, func()) {
	if !x.take("store") {
		return "", nil
	}
	x.c.store.SetFault(f)
	return "store", func() { x.c.store.SetFault(site.NoFault) }
}

func (x *soaker) behave(i int, b site.Behaviour) (string, func()) {
	s := x.server(i)
	if !x.take(s.ID) {
		return "", nil
	}
	s.Behave(b)
	return s.ID, func() { s.Behave(site.Answer) }
}

func (x *soaker) full(i int) (string, func()) {
	s := x.server(i)
	if s.stage != registry.Decode || !x.take(s.ID) {
		return "", nil
	}
	s.SetFull(true)
	return s.ID, func() { s.SetFull(false) }
}

// replace ends a server without a word; its entry goes later, and another one starts.
func (x *soaker) replace(i int) (string, func()) {
	s := x.lastAsked(x.server(i).stage)
	if !x.take(s.ID) {
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

// lastAsked is the server that was asked last among those of one stage: at low load gateways
// send most to the same ones, and the end of another would change nothing.
func (x *soaker) lastAsked(stage registry.Stage) *siteServer {
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

// leave has a server say that it leaves; it serves on, and another one starts.
func (x *soaker) leave(i int) (string, func()) {
	s := x.lastAsked(x.server(i).stage)
	if !x.take(s.ID) {
		return "", nil
	}
	x.c.addServer(s.service, s.stage)
	x.c.retire(s)
	x.c.list(s, "draining")
	x.w.rec.Add(invariant.Event{Kind: invariant.Leaving, Node: startID(s.ID, s.Born())})
	return s.ID, func() {}
}

// restart has a server start again under its name. Its connections are closed, or stay and are silent.
func (x *soaker) restart(i int, dark bool) (string, func()) {
	s := x.lastAsked(x.server(i).stage)
	if !x.take(s.ID) {
		return "", nil
	}
	s.Restart(time.Now().UnixMilli(), dark)
	x.c.list(s, "ready")
	return s.ID, func() {}
}

// leaveAndRestart has a server say that it leaves; in the end it starts again under its name.
func (x *soaker) leaveAndRestart(i int) (string, func()) {
	s := x.lastAsked(x.server(i).stage)
	if !x.take(s.ID) {
		return "", nil
	}
	x.c.list(s, "draining")
	x.w.rec.Add(invariant.Event{Kind: invariant.Leaving, Node: startID(s.ID, s.Born())})
	return s.ID, func() {
		s.Restart(time.Now().UnixMilli(), false)
		x.c.list(s, "ready")
	}
}

// spoil has another writer overwrite the entry of a server, which serves on.
func (x *soaker) spoil(i int) (string, func()) {
	s := x.server(i)
	if !x.take(s.ID) {
		return "", nil
	}
	entries := []string{"", "{", "[]", "{}", `{"service":7}`, "\xff"}
	x.c.store.Put("servers", s.ID, []byte(entries[i%len(entries)]+" "))
	return s.ID, func() { x.c.list(s, "ready") }
}
