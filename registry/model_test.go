package registry_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

// model is a small world: one server that may come to leave and to end, one that stays, the
// store's list of both, a process that reads the store, and one that mostly hears of it.
type model struct {
	now time.Time
	// version is the store's; listed and leaving are what it holds of the first server.
	version         int64
	listed, leaving bool
	// kept is an answer of the store, and said a telling of the reader, on their way.
	kept, said *telling
	// processes are the reader and the hearer.
	processes [2]*process
}

// telling is a list and its version, on its way to a process.
type telling struct {
	version int64
	list    []registry.Server
}

// process is a registry and what it must not forget.
type process struct {
	*registry.Registry
	sawLeaving bool
	version    int64
}

func newModel() *model {
	m := &model{now: start, version: 1, listed: true}
	for i := range m.processes {
		m.processes[i] = &process{Registry: registry.New()}
	}
	m.apply(0, m.store())
	return m
}

// store is the list as the store holds it.
func (m *model) store() *telling {
	t := &telling{version: m.version, list: []registry.Server{server("b")}}
	if m.listed {
		a := server("a")
		a.Leaving = m.leaving
		t.list = append(t.list, a)
	}
	return t
}

func (m *model) apply(i int, t *telling) {
	if t == nil {
		return
	}
	p := m.processes[i]
	p.Apply(t.version, t.list, m.now)
	for _, s := range p.List() {
		p.sawLeaving = p.sawLeaving || s.ID == "a" && s.Leaving
	}
}

// events are what may happen, each at any moment.
var events = []struct {
	name string
	do   func(m *model)
}{
	{"leaves", func(m *model) { m.leaving, m.version = true, m.version+1 }},
	{"entry goes", func(m *model) { m.listed, m.version = false, m.version+1 }},
	{"an old heartbeat brings the entry back", func(m *model) { m.listed, m.leaving, m.version = true, false, m.version+1 }},
	{"reader reads", func(m *model) { m.apply(0, m.store()) }},
	{"hearer reads", func(m *model) { m.apply(1, m.store()) }},
	{"answer is kept back", func(m *model) { m.kept = m.store() }},
	{"kept answer arrives", func(m *model) { m.apply(1, m.kept) }},
	{"reader tells", func(m *model) {
		m.said = &telling{version: m.processes[0].Version(), list: m.processes[0].List()}
	}},
	{"telling arrives", func(m *model) { m.apply(1, m.said) }},
	{"hearer is answered by another server", func(m *model) {
		if m.processes[1].MarkLeaving("a") {
			m.processes[1].sawLeaving = true
		}
	}},
	{"an outage", func(m *model) { m.now = m.now.Add(10 * time.Second) }},
	{"the grace is over", func(m *model) { m.now = m.now.Add(registry.Grace) }},
}

// check holds the processes to what must always be true.
func (m *model) check(t *testing.T, path []string) {
	for i, p := range m.processes {
		at := func() string { return strings.Join(path, ", ") }
		assert.Assert(t, p.Version() >= p.version, "process %d fell back: %s", i, at())
		p.version = p.Version()
		assert.Assert(t, !p.sawLeaving || !strings.Contains(usable(p.Registry), "a"), "process %d forgot that it leaves: %s", i, at())
		assert.Assert(t, p.Version() == 0 || strings.Contains(usable(p.Registry), "b"), "process %d lost the other server: %s", i, at())
	}
}

// TestAllOrders plays every order of events up to a length: lists that come late, twice,
// in the wrong order and from another process never bring a leaving server back, never
// make a process older, and after a read beyond the grace it knows what the store holds.
func TestAllOrders(t *testing.T) {
	const length = 5
	played := 0
	var explore func(path []int)
	explore = func(path []int) {
		if len(path) == length {
			played++
			playAll(t, path)
			return
		}
		for i := range events {
			explore(append(path, i))
		}
	}
	explore(make([]int, 0, length))
	assert.Equal(t, played, 12*12*12*12*12)
}

func playAll(t *testing.T, path []int) {
	m := newModel()
	names := make([]string, 0, len(path))
	for _, i := range path {
		events[i].do(m)
		names = append(names, events[i].name)
		m.check(t, names)
	}
	for range 2 {
		m.apply(0, m.store())
		m.now = m.now.Add(registry.Grace)
	}
	m.apply(0, m.store())
	want := m.listed && !m.processes[0].sawLeaving
	assert.Equal(t, strings.Contains(usable(m.processes[0].Registry), "a"), want, "%v", names)
}
