package streamversions

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// step is one step of the model.
type step uint8

// Steps. The stream is begun by the first router at v1 before all of them or, in other runs, at v2 when that is first listed.
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
	// cutSecond cuts the second router off from the store and the others, or heals that. loseStore has the store go away for
	// all, or come back: no list changes meanwhile.
	cutSecond
	loseStore
	// takeUpAtFirst to takeUpAtThird: the client takes the stream up at a router; takeUpAlone: at the second one while it
	// reaches no other.
	takeUpAtFirst
	takeUpAtSecond
	takeUpAtThird
	takeUpAlone
	numSteps
)

const routers = 3

// newVersion is the version that comes second.
const newVersion = "v2"

// model is one run of the model: directories of three routers, and what must hold by the steps so far.
type model struct {
	t       *testing.T
	metrics *metrics.Set
	history *History
	all     [routers]*Directory
	list    []registry.Server
	// alone is set while the routers don't reach each other, storeLost while none reaches the store. Those that are cut off
	// reach each other and nothing else.
	alone, storeLost bool
	cut              [routers]bool
	// listed is set for routers that have a list, settled for those that have run for the whole window.
	listed, settled [routers]bool
	// knows is set for routers that must know the stream, owed while the first one has to tell the others of it.
	knows [routers]bool
	owed  bool
	// onlyOld is set while no list had v2.
	onlyOld bool
	path    []step
	// version is the one at which the stream is begun, begun is set once it is.
	version string
	begun   bool
}

var stream = forward.StreamRef{Service: "llm", ID: "first"}

// oldVersion is the version that is listed first.
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

func (modelNetwork) Keepers() []string { return nil }

func (n modelNetwork) Ask(to []string, q Query) {
	for _, addr := range to {
		if n.m.alone || n.m.cut[n.self] != n.m.cut[slices.Index(names[:], addr)] {
			continue
		}
		u, unknown, ok := n.m.all[slices.Index(names[:], addr)].Answer(q)
		if ok {
			n.m.all[n.self].Receive([]Update{u})
			continue
		}
		n.m.all[n.self].ReceiveUnknown(addr, unknown)
	}
}

// modelLists reads the list for one router.
type modelLists struct {
	m    *model
	self int
}

func (l modelLists) ReadServers(context.Context) error {
	if l.m.storeLost || l.m.cut[l.self] {
		return store.ErrUnavailable
	}
	l.m.observe(l.self)
	return nil
}

// modelHistory is the table of versions as the routers reach it.
type modelHistory struct {
	store.Table
	m *model
}

func (h modelHistory) Get(ctx context.Context, key string) (store.Row, error) {
	if h.m.storeLost {
		return store.Row{}, store.ErrUnavailable
	}
	return h.Table.Get(ctx, key)
}

// observe has a router take the list that the store holds.
func (m *model) observe(i int) {
	m.all[i].Observe(m.list)
	m.all[i].RecordReading(m.now())
	m.listed[i] = true
}

// modelReadings is the interval at which routers read the list before the steps.
const modelReadings = 3 * time.Second

// modelBegan is when the clocks of the model began.
var modelBegan = time.Now().Add(-time.Hour)

func (m *model) now() time.Duration { return time.Since(modelBegan) }

func newModel(t *testing.T, counters *metrics.Set, version string) *model {
	m := &model{t: t, metrics: counters, onlyOld: true, version: version}
	m.history = NewHistory(modelHistory{memory.New(memory.Options{}).Table(), m})
	m.list = engines(oldVersion)
	for i := range m.all {
		m.start(i)
	}
	for range streamversion.Window / modelReadings {
		time.Sleep(modelReadings)
		for i := range m.all {
			m.observe(i)
			m.all[i].Expire(true)
			m.settled[i] = true
		}
	}
	if version == oldVersion {
		m.begin()
	}
	return m
}

// begin has the first router begin the stream.
func (m *model) begin() {
	m.all[0].Begun(stream, m.version, time.Now().Add(time.Minute))
	m.knows[0], m.begun = true, true
	m.owed = m.owed || !m.onlyOld
}

// start starts a router. It gets the list from the store or, while that is away, from another router.
func (m *model) start(i int) {
	m.all[i] = New(Config{Network: modelNetwork{m, i}, Lists: modelLists{m, i}, History: m.history, Metrics: m.metrics, Clock: m.now})
	m.knows[i], m.listed[i], m.settled[i] = false, false, false
	switch {
	case m.cut[i]:
	case m.storeLost:
		m.all[i].Observe(m.list)
		m.listed[i] = true
	default:
		m.observe(i)
	}
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
		m.setList(oldVersion, newVersion)
	case listNew:
		m.setList(newVersion)
	case cutSecond:
		m.cut[1] = !m.cut[1]
		if !m.cut[1] && !m.storeLost {
			m.observe(1)
		}
	case loseStore:
		m.storeLost = !m.storeLost
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
	updates, _ := m.all[0].TakeUpdates()
	assert.Assert(m.t, len(updates) > 0 || !m.owed, "not told after %v", m.path)
	m.owed = false
	if !delivered || len(updates) == 0 {
		return
	}
	for i := 1; i < routers; i++ {
		if m.cut[i] == m.cut[0] {
			m.all[i].Receive(updates)
			m.knows[i] = true
		}
	}
}

// setList has all routers that reach the store see a list, and one of them keep the versions.
func (m *model) setList(versions ...string) {
	if m.storeLost {
		return
	}
	m.list = engines(versions...)
	m.owed = m.owed || m.onlyOld && m.knows[0]
	m.onlyOld = false
	for i := range m.all {
		if !m.cut[i] {
			m.observe(i)
		}
	}
	if !m.begun {
		m.begin()
	}
	for len(m.all[0].dueHistory(true)) > 0 {
		assert.NilError(m.t, m.all[0].syncHistory(m.t.Context(), "llm"))
	}
}

// takeUp has the client take the stream up at a router, and checks that it goes on at v1, or is turned away only if no
// router that is reached knows it and two versions may have begun it, as far as the store or all routers say.
func (m *model) takeUp(i int) {
	if !m.listed[i] || !m.begun {
		return
	}
	version, ok := m.all[i].Version(m.t.Context(), stream)
	assert.Assert(m.t, !ok || version == m.version, "goes on at %q after %v", version, m.path)
	assert.Assert(m.t, ok || !m.mustGoOn(i), "turned away after %v", m.path)
	if ok {
		m.all[i].Begun(stream, version, time.Now().Add(time.Minute))
		m.knows[i] = true
		m.owed = m.owed || i == 0 && !m.onlyOld
	}
}

func (m *model) mustGoOn(i int) bool {
	reachesAll := !m.alone && !slices.Contains(m.cut[:], true)
	for j, known := range m.knows {
		if known && (j == i || !m.alone && m.cut[i] == m.cut[j]) {
			return true
		}
	}
	if !m.onlyOld || m.cut[i] {
		return false
	}
	return !m.storeLost || reachesAll && !slices.Contains(m.settled[:], false)
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
					for _, version := range []string{oldVersion, newVersion} {
						m := newModel(t, counters, version)
						for _, s := range next {
							m.apply(s)
						}
						runs++
					}
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

// TestCutOffRoutersMixVersions guards against routers that take the only version that they know for the only one, while they
// are cut off from the store and the others begin streams at a new version.
func TestCutOffRoutersMixVersions(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  [routers]bool
		path []step
		ok   bool
	}{
		{"one, cut off", [routers]bool{1: true}, []step{listBoth}, false},
		{"two, cut off together", [routers]bool{1: true, 2: true}, []step{listBoth}, false},
		{"two, cut off together, the old version has left", [routers]bool{1: true, 2: true}, []step{listNew}, false},
		{"one, while the store is away", [routers]bool{1: true}, []step{listBoth, loseStore}, false},
		{"one, in touch again", [routers]bool{1: true}, []step{listBoth, cutSecond}, true},
		{"one, in touch again, who began it is lost", [routers]bool{1: true}, []step{listBoth, cutSecond, killFirst}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(t, metrics.NewSet(), newVersion)
				m.cut = c.cut
				for _, s := range c.path {
					m.apply(s)
				}
				version, ok := m.all[1].Version(t.Context(), stream)
				assert.Equal(t, ok, c.ok, "goes on at %q", version)
				assert.Assert(t, !ok || version == newVersion, "goes on at %q", version)
			})
		})
	}
}

// TestStreamsGoOnWithoutStore guards against turning away streams of the only version while the store alone is away: all
// routers that may have begun them answer. Without the answer of one, or of one that has just started, nothing is known.
func TestStreamsGoOnWithoutStore(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  [routers]bool
		path []step
		ok   bool
	}{
		{"the store alone", [routers]bool{}, nil, true},
		{"and a router", [routers]bool{2: true}, nil, false},
		{"and a router has just started", [routers]bool{}, []step{killThird}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(t, metrics.NewSet(), oldVersion)
				m.apply(loseStore)
				m.cut = c.cut
				time.Sleep(streamversion.Window)
				for _, s := range c.path {
					m.apply(s)
				}
				version, ok := m.all[1].Version(t.Context(), forward.StreamRef{Service: "llm", ID: "of a router that is gone"})
				assert.Equal(t, ok, c.ok)
				assert.Assert(t, !ok || version == oldVersion, "goes on at %q", version)
			})
		})
	}
}
