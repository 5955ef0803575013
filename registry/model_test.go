package registry_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// leavingSim simulates a server that may shut down and disappear, one that stays, the store's list of
// both, a process that reads the store, and a peer that mostly learns of the list from that process.
type leavingSim struct {
	now time.Time
	// version is the store's; listed and leaving are its state of the first server.
	version         store.Position
	listed, leaving bool
	// copyListed and copyLeaving are the same before the last change: the copy from which the store is restored.
	copyListed, copyLeaving bool
	// listedAt is whether the store listed the first server at a position.
	listedAt map[store.Position]bool
	// delayed is a response of the store, and reported a report of the reader, both in transit to the peer.
	delayed, reported *serverList
	// processes are the reader and the peer.
	processes [2]*leavingProcess
}

// serverList is a server list with its version, in transit to a process.
type serverList struct {
	version store.Position
	list    []registry.Server
}

// leavingProcess is a process with the facts that its registry must not forget.
type leavingProcess struct {
	*registry.Registry
	sawLeaving bool
	version    store.Position
}

func newLeavingSim() *leavingSim {
	sim := &leavingSim{now: start, version: store.At(1, 1), listed: true, copyListed: true, listedAt: map[store.Position]bool{store.At(1, 1): true}}
	for i := range sim.processes {
		sim.processes[i] = &leavingProcess{Registry: registry.New()}
	}
	sim.apply(0, sim.store())
	return sim
}

// store returns the list in the store.
func (sim *leavingSim) store() *serverList {
	t := &serverList{version: sim.version, list: []registry.Server{server("b")}}
	if sim.listed {
		a := server("a")
		a.Leaving = sim.leaving
		t.list = append(t.list, a)
	}
	return t
}

// change writes the state of the first server.
func (sim *leavingSim) change(listed, leaving bool) {
	sim.copyListed, sim.copyLeaving = sim.listed, sim.leaving
	sim.listed, sim.leaving, sim.version = listed, leaving, sim.version+1
	sim.listedAt[sim.version] = listed
}

// restore takes the store back to its copy; the version of the lost change is given out again.
func (sim *leavingSim) restore() {
	sim.listed, sim.leaving = sim.copyListed, sim.copyLeaving
	sim.version = store.At(sim.version.Era()+1, max(sim.version.Version()-1, 1))
	sim.listedAt[sim.version] = sim.listed
}

func (sim *leavingSim) apply(i int, l *serverList) {
	if l == nil {
		return
	}
	p := sim.processes[i]
	p.Apply(l.version, l.list, sim.now)
	for _, s := range p.List() {
		p.sawLeaving = p.sawLeaving || s.ID == "a" && s.Leaving
	}
}

// pass lets time pass, and the processes remove what they are then to remove.
func (sim *leavingSim) pass(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, p := range sim.processes {
		p.RemoveMissing(sim.now)
	}
}

// leavingEvents are the events of the simulation; each may happen at any time.
var leavingEvents = []struct {
	name string
	do   func(sim *leavingSim)
}{
	{"leaves", func(sim *leavingSim) { sim.change(sim.listed, true) }},
	{"entry is removed", func(sim *leavingSim) { sim.change(false, sim.leaving) }},
	{"a delayed heartbeat restores the entry", func(sim *leavingSim) { sim.change(true, false) }},
	{"reader reads", func(sim *leavingSim) { sim.apply(0, sim.store()) }},
	{"peer reads", func(sim *leavingSim) { sim.apply(1, sim.store()) }},
	{"response to the peer is delayed", func(sim *leavingSim) { sim.delayed = sim.store() }},
	{"delayed response arrives", func(sim *leavingSim) { sim.apply(1, sim.delayed) }},
	{"reader reports", func(sim *leavingSim) {
		sim.reported = &serverList{version: sim.processes[0].Position(), list: sim.processes[0].Listed()}
	}},
	{"report arrives", func(sim *leavingSim) { sim.apply(1, sim.reported) }},
	{"another server at the address responds to the peer", func(sim *leavingSim) {
		if sim.processes[1].MarkLeaving("a", sim.now) {
			sim.processes[1].sawLeaving = true
		}
	}},
	{"an outage", func(sim *leavingSim) { sim.pass(10 * time.Second) }},
	{"the store is restored", func(sim *leavingSim) { sim.restore() }},
	{"the grace is over", func(sim *leavingSim) { sim.pass(registry.Grace) }},
}

// check asserts the invariants of both processes.
func (sim *leavingSim) check(t *testing.T, path []string) {
	for i, p := range sim.processes {
		at := func() string { return strings.Join(path, ", ") }
		assert.Assert(t, p.Position() >= p.version, "process %d went back to an older version: %s", i, at())
		p.version = p.Position()
		assert.Assert(t, !p.sawLeaving || !strings.Contains(usable(p.Registry), "a"), "process %d forgot the shutdown: %s", i, at())
		told := slices.ContainsFunc(p.Listed(), func(s registry.Server) bool { return s.ID == "a" })
		assert.Assert(t, !told || sim.listedAt[p.Position()], "process %d tells of a server that the store did not list: %s", i, at())
		until, missing := p.MissingUntil()
		assert.Assert(t, !missing || sim.now.Before(until), "process %d keeps a server that the list lacks: %s", i, at())
		assert.Assert(t, p.Position() == 0 || strings.Contains(usable(p.Registry), "b"), "process %d lost the other server: %s", i, at())
	}
}

// TestLeavingInAllEventOrders runs every sequence of events of one length. Lists that arrive late, twice, out of
// order, from another process or from a restored store never make a leaving server usable again and never take a
// process back to an older position; what a process tells under a position is what the store listed there; after a read
// beyond the grace, its state is that of the store, and without one no server stays that the list lacks.
func TestLeavingInAllEventOrders(t *testing.T) {
	const length = 5
	runs := 0
	var explore func(path []int)
	explore = func(path []int) {
		if len(path) == length {
			runs++
			runLeaving(t, path)
			return
		}
		for i := range leavingEvents {
			explore(append(path, i))
		}
	}
	explore(make([]int, 0, length))
	assert.Equal(t, runs, 13*13*13*13*13)
}

func runLeaving(t *testing.T, path []int) {
	sim := newLeavingSim()
	done := make([]string, 0, len(path))
	for _, i := range path {
		leavingEvents[i].do(sim)
		done = append(done, leavingEvents[i].name)
		sim.check(t, done)
	}
	for range 2 {
		sim.apply(0, sim.store())
		sim.pass(registry.Grace)
	}
	sim.apply(0, sim.store())
	want := sim.listed && !sim.processes[0].sawLeaving
	assert.Equal(t, strings.Contains(usable(sim.processes[0].Registry), "a"), want, "%v", done)
}
