package streamversions

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// step is one step of the model.
type step uint8

// Steps. The stream is begun by the first router at v1 before all of them.
const (
	// killFirst to killThird: a router is lost, and starts again without what it knew.
	killFirst step = iota
	killSecond
	killThird
	// tell delivers what the first router tells the others; loseTelling loses it. It is told late if other steps come between.
	tell
	loseTelling
	// listBoth lists engines of v1 and v2, listNew of v2 alone: the engines of v1 have left, or have started again under
	// their names at v2.
	listBoth
	listNew
	// takeUpAtFirst to takeUpAtThird: the client takes the stream up at a router; takeUpAlone: at the second one while it
	// reaches no other.
	takeUpAtFirst
	takeUpAtSecond
	takeUpAtThird
	takeUpAlone
	numSteps
)

const routers = 3

// model is one run of the model: directories of three routers, and what must hold by the steps so far.
type model struct {
	t       *testing.T
	metrics *metrics.Set
	history *History
	all     [routers]*Directory
	list    []registry.Server
	// alone is set while the routers don't reach each other.
	alone bool
	// knows is set for routers that must know the stream, owed while the first one has to tell the others of it.
	knows [routers]bool
	owed  bool
	// onlyOld is set while no list had v2.
	onlyOld bool
	path    []step
}

var stream = forward.StreamRef{Service: "llm", ID: "first"}

// oldVersion is the version that began the stream.
const oldVersion = "v1"

func engines(versions ...string) (out []registry.Server) {
	for _, v := range versions {
		out = append(out, registry.Server{ID: "i-" + v, Service: "llm", Stage: registry.Decode, Version: v})
	}
	return out
}

// modelNetwork is the network of one router; asked ones answer at once.
type modelNetwork struct {
	m    *model
	self int
}

var names = [routers]string{"a", "b", "c"}

func (n modelNetwork) Others() (out []string) {
	for i, name := range names {
		if i != n.self {
			out = append(out, name)
		}
	}
	return out
}

func (n modelNetwork) Ask(to []string, service string, k streamversion.Key) {
	for _, addr := range to {
		if n.m.alone {
			return
		}
		u, unknown, ok := n.m.all[slices.Index(names[:], addr)].Answer(service, k)
		if ok {
			n.m.all[n.self].Receive([]Update{u})
			continue
		}
		n.m.all[n.self].ReceiveUnknown(addr, unknown)
	}
}

func newModel(t *testing.T, counters *metrics.Set) *model {
	m := &model{t: t, metrics: counters, history: NewHistory(memory.New(memory.Options{}).Table()), onlyOld: true}
	m.list = engines(oldVersion)
	for i := range m.all {
		m.start(i)
	}
	m.all[0].Begun(stream, oldVersion, time.Now().Add(time.Minute))
	m.knows[0] = true
	return m
}

func (m *model) start(i int) {
	m.all[i] = New(modelNetwork{m, i}, m.history, m.metrics)
	m.all[i].Observe(m.list)
	m.knows[i] = false
}

func (m *model) apply(s step) {
	m.path = append(m.path, s)
	switch s {
	case killFirst, killSecond, killThird:
		m.start(int(s - killFirst))
		m.owed = m.owed && s != killFirst
	case tell, loseTelling:
		m.deliver(s == tell)
	case listBoth:
		m.setList(oldVersion, "v2")
	case listNew:
		m.setList("v2")
	case takeUpAlone:
		m.alone = true
		m.takeUp(1)
		m.alone = false
	default:
		m.takeUp(int(s - takeUpAtFirst))
	}
}

// deliver delivers or loses what the first router has to tell.
func (m *model) deliver(delivered bool) {
	updates := m.all[0].TakeUpdates()
	assert.Assert(m.t, len(updates) > 0 || !m.owed, "not told after %v", m.path)
	m.owed = false
	if !delivered || len(updates) == 0 {
		return
	}
	for i := 1; i < routers; i++ {
		m.all[i].Receive(updates)
		m.knows[i] = true
	}
}

// setList has all routers see a list, and one of them keep the versions. Lists come from the store, so it is reached.
func (m *model) setList(versions ...string) {
	m.list = engines(versions...)
	m.owed = m.owed || m.onlyOld && m.knows[0]
	m.onlyOld = false
	for _, d := range m.all {
		d.Observe(m.list)
	}
	for service, seen := range m.all[0].dueHistory(true) {
		assert.NilError(m.t, m.history.Keep(m.t.Context(), service, seen))
		m.all[0].setStored(service, seen)
	}
}

// takeUp has the client take the stream up at a router, and checks that it goes on at v1, or is turned away only if no
// router that is reached knows it and two versions may have begun it.
func (m *model) takeUp(i int) {
	version, ok := m.all[i].Version(m.t.Context(), stream)
	assert.Assert(m.t, !ok || version == oldVersion, "goes on at %q after %v", version, m.path)
	known := m.knows[i] || !m.alone && slices.Contains(m.knows[:], true)
	assert.Assert(m.t, ok || !known && !m.onlyOld, "turned away after %v", m.path)
	if ok {
		m.all[i].Begun(stream, version, time.Now().Add(time.Minute))
		m.knows[i] = true
		m.owed = m.owed || i == 0 && !m.onlyOld
	}
}

// modelDepth is the number of steps after the beginning of the stream.
const modelDepth = 5

// TestAllShortRuns explores all sequences of the model's steps that end with a take-up: a stream goes on at the version that began it, whatever
// is lost, and is turned away only when that is not known.
func TestAllShortRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs, counters := 0, metrics.NewSet()
		var explore func(path []step)
		explore = func(path []step) {
			for s := range numSteps {
				next := append(slices.Clip(path), s)
				if s >= takeUpAtFirst {
					m := newModel(t, counters)
					for _, s := range next {
						m.apply(s)
					}
					runs++
				}
				if len(next) < modelDepth {
					explore(next)
				}
			}
		}
		explore(nil)
		t.Logf("%d runs", runs)
	})
}
