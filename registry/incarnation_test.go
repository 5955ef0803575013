package registry_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
)

func TestIDs(t *testing.T) {
	for _, c := range []struct {
		start registry.Incarnation
		id    string
	}{
		{registry.Incarnation{Instance: "i-1"}, "i-1"},
		{registry.Incarnation{Instance: "i-1", Born: 1764720000123}, "i-1@1764720000123"},
	} {
		assert.Equal(t, c.start.ID(), c.id)
		assert.Equal(t, registry.ParseID(c.id), c.start)
		assert.Equal(t, registry.Server{ID: c.id}.Instance(), "i-1")
	}
	assert.Equal(t, registry.ParseID("i-1@x"), registry.Incarnation{Instance: "i-1@x"}, "no start")
}

// TestTags: a tag names the latest start, or none that a server has; starts within seconds differ.
func TestTags(t *testing.T) {
	const born = 1764720000123
	start := registry.Incarnation{Instance: "i-1", Born: born}
	assert.Equal(t, registry.ResolveTag("i-1", start.Tag(), born), start.ID())
	assert.Equal(t, registry.ResolveTag("i-1", 0, born), start.ID(), "a process that tells no starts")
	assert.Equal(t, registry.ResolveTag("i-1", 0, 0), "i-1")
	for later := int64(1); later < 16_000; later++ {
		next := registry.Incarnation{Instance: "i-1", Born: born + later}
		assert.Assert(t, next.Tag() != start.Tag() && next.Tag() != 0 && next.Tag() < 1<<14, "%d", later)
	}
	other := registry.ResolveTag("i-1", start.Tag()+1, born)
	assert.Assert(t, other != start.ID())
	assert.Equal(t, registry.Server{ID: other}.Instance(), "i-1")
}

// started is a start of instance "a".
func started(born int64) registry.Server {
	s := server(registry.Incarnation{Instance: "a", Born: born}.ID())
	s.Born = born
	return s
}

func TestLaterStart(t *testing.T) {
	r := registry.New()
	first := started(1)
	first.Leaving = true
	r.Apply(10, []registry.Server{first}, at(0))
	assert.Equal(t, usable(r), "")
	r.Apply(20, []registry.Server{started(2)}, at(10))
	assert.Equal(t, usable(r), "a@2", "what the earlier start said does not hold for it")
	ended := r.TakeTerminated()
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].ID, "a@1")
	assert.Equal(t, len(r.TakeTerminated()), 0, "once")
	r.Apply(30, []registry.Server{started(1)}, at(10.1))
	assert.Equal(t, usable(r), "a@2", "an entry of the earlier one that comes late changes nothing")
	r.Apply(40, []registry.Server{started(2)}, at(11))
	assert.Equal(t, usable(r), "a@2")
	assert.Assert(t, r.MarkLeaving("a@2") && !r.MarkLeaving("a@1"))
}

func TestTwoAtOneAddress(t *testing.T) {
	r := registry.New()
	other := server("b@5")
	other.Born = 5
	r.Apply(10, []registry.Server{started(3), other}, at(0))
	assert.Equal(t, usable(r), "b@5", "the later start has the address")
	other.Unusable = true
	r.Apply(20, []registry.Server{started(3), other}, at(1))
	assert.Equal(t, usable(r), "a@3", "an entry that can't be trusted takes nobody's place")
	same := server("c@3")
	same.Born = 3
	r.Apply(30, []registry.Server{started(3), same}, at(2))
	assert.Equal(t, usable(r), "a@3c@3", "which of them is there shows when one is asked")
}

func TestEntryTurnsBad(t *testing.T) {
	r := registry.New()
	other := server("b")
	other.Addr = "10.0.0.2:80"
	bad := registry.Server{ID: "a", Unusable: true}
	r.Apply(10, []registry.Server{bad, other}, at(0))
	assert.Equal(t, usable(r), "b", "never readable")
	assert.Equal(t, len(r.List()), 1)
	r.Apply(20, []registry.Server{started(1), other}, at(10))
	r.Apply(30, []registry.Server{bad, other}, at(20))
	assert.Equal(t, usable(r), "b", "no new work, also in the grace after an outage")
	s, ok := r.Get("a@1")
	assert.Assert(t, ok && s.Addr != "", "what runs there still has its server")
	r.Apply(40, []registry.Server{started(1), other}, at(21))
	assert.Equal(t, usable(r), "a@1b", "readable again")
}

func TestRequireStarts(t *testing.T) {
	with, without := started(7), server("b")
	none := func(string) int64 { return 0 }
	fault := registry.Fault{Instance: "b", Reason: registry.FaultMissing, Field: registry.FieldBorn}
	for _, c := range []struct {
		what   string
		list   []registry.Server
		latest func(string) int64
		faults []registry.Fault
	}{
		{"a platform that tells no starts", []registry.Server{without, server("c")}, none, nil},
		{"one of three lacks it", []registry.Server{with, started(8), without}, none, []registry.Fault{fault}},
		{"one of three has it", []registry.Server{with, without, server("c")}, none, nil},
		{"the instance had one", []registry.Server{without, server("c")}, func(i string) int64 {
			if i == "b" {
				return 5
			}
			return 0
		}, []registry.Fault{fault}},
	} {
		got := registry.Snapshot{Servers: c.list}.RequireStartTimes(c.latest)
		assert.DeepEqual(t, got.Faults, c.faults)
		assert.Equal(t, len(got.Servers), len(c.list)-len(c.faults), c.what)
		assert.Equal(t, len(got.List()), len(c.list), c.what)
	}
}

// starts is a small world: one instance that starts again and again, its row in the store, a process that
// reads it and one that mostly hears of it.
type starts struct {
	now time.Time
	// born is the start that runs.
	born int64
	// version, listed, row, leaving and bad are what the store holds.
	version              int64
	listed, leaving, bad bool
	row                  int64
	kept, said           *telling
	processes            [2]*hearer
}

// hearer is a process and what it must not forget.
type hearer struct {
	*registry.Registry
	latest int64
	left   map[int64]bool
	ended  map[string]bool
}

func newStarts() *starts {
	w := &starts{now: start, born: 1, version: 1, listed: true, row: 1}
	for i := range w.processes {
		w.processes[i] = &hearer{Registry: registry.New(), left: map[int64]bool{}, ended: map[string]bool{}}
	}
	w.apply(0, w.store())
	return w
}

func (w *starts) store() *telling {
	t := &telling{version: w.version}
	switch {
	case !w.listed:
	case w.bad:
		t.list = []registry.Server{{ID: "a", Unusable: true}}
	default:
		s := started(w.row)
		s.Leaving = w.leaving
		t.list = []registry.Server{s}
	}
	return t
}

func (w *starts) apply(i int, t *telling) {
	if t == nil {
		return
	}
	p := w.processes[i]
	if p.Apply(t.version, t.list, w.now) {
		for _, s := range t.list {
			p.latest = max(p.latest, s.Born)
		}
	}
	for _, s := range p.List() {
		if s.Leaving {
			p.left[s.Born] = true
		}
	}
}

func (w *starts) write(born int64, leaving, bad bool) {
	w.listed, w.row, w.leaving, w.bad = true, born, leaving, bad
	w.version++
}

// strip is a telling as a process of an earlier release makes it: without starts.
func strip(t *telling) *telling {
	out := &telling{version: t.version}
	for _, s := range t.list {
		s.ID, s.Born = s.Instance(), 0
		out.list = append(out.list, s)
	}
	return out
}

var startEvents = []struct {
	name string
	do   func(w *starts)
}{
	{"starts again", func(w *starts) { w.born++ }},
	{"writes its entry", func(w *starts) { w.write(w.born, false, false) }},
	{"says that it leaves", func(w *starts) { w.write(w.born, true, false) }},
	{"an entry of an earlier start is written late", func(w *starts) { w.write(max(w.born-1, 1), false, false) }},
	{"another writer spoils the entry", func(w *starts) { w.write(w.row, false, true) }},
	{"entry goes", func(w *starts) { w.listed = false; w.version++ }},
	{"reader reads", func(w *starts) { w.apply(0, w.store()) }},
	{"hearer reads", func(w *starts) { w.apply(1, w.store()) }},
	{"answer is kept back", func(w *starts) { w.kept = w.store() }},
	{"kept answer arrives", func(w *starts) { w.apply(1, w.kept) }},
	{"reader tells", func(w *starts) {
		w.said = &telling{version: w.processes[0].Version(), list: w.processes[0].List()}
	}},
	{"telling arrives", func(w *starts) { w.apply(1, w.said) }},
	{"telling arrives without starts", func(w *starts) {
		if w.said != nil {
			w.apply(1, strip(w.said))
		}
	}},
	{"an outage", func(w *starts) { w.now = w.now.Add(10 * time.Second) }},
}

func (w *starts) check(t *testing.T, path []string) {
	for i, p := range w.processes {
		at := fmt.Sprintf("process %d after %s", i, strings.Join(path, ", "))
		assert.Assert(t, p.LatestStart("a") >= p.latest, "fell back: %s", at)
		for _, s := range p.Usable("svc") {
			assert.Assert(t, s.Born == 0 || s.Born == p.LatestStart("a"), "%s is used: %s", s.ID, at)
			assert.Assert(t, !p.left[s.Born] || s.Born == 0, "%s has left: %s", s.ID, at)
			assert.Assert(t, !p.ended[s.ID], "%s has ended: %s", s.ID, at)
		}
		for _, s := range p.TakeTerminated() {
			assert.Assert(t, s.Born < p.LatestStart("a"), "%s has not ended: %s", s.ID, at)
			assert.Assert(t, !p.ended[s.ID], "%s ended twice: %s", s.ID, at)
			p.ended[s.ID] = true
		}
	}
}

// settle lets the server that runs renew its entry, and has both read it.
func (w *starts) settle(t *testing.T, path []string) {
	w.write(w.born, false, false)
	w.now = w.now.Add(registry.Grace)
	for i, p := range w.processes {
		w.apply(i, w.store())
		want := registry.Incarnation{Instance: "a", Born: w.born}.ID()
		if p.left[w.born] {
			want = ""
		}
		assert.Equal(t, usable(p.Registry), want, "process %d in the end of %s", i, strings.Join(path, ", "))
	}
}

func playStarts(t *testing.T, path []int) {
	w := newStarts()
	names := make([]string, 0, len(path))
	for _, i := range path {
		startEvents[i].do(w)
		names = append(names, startEvents[i].name)
		w.check(t, names)
	}
	w.settle(t, names)
}

// TestStartsInAllOrders plays every order of events up to a length, and longer ones drawn from a seed: no
// earlier start is ever used, brought back or told twice to have ended, whoever tells of it; nothing that
// one start said holds for the next; and once the server has renewed its entry, all use it.
func TestStartsInAllOrders(t *testing.T) {
	const length = 4
	var explore func(path []int)
	explore = func(path []int) {
		if len(path) == length {
			playStarts(t, path)
			return
		}
		for i := range startEvents {
			explore(append(path, i))
		}
	}
	explore(make([]int, 0, length))
	const drawn, longer = 30_000, 12
	r := rand.New(rand.NewPCG(4711, 1))
	for range drawn {
		path := make([]int, longer)
		for i := range path {
			path[i] = r.IntN(len(startEvents))
		}
		playStarts(t, path)
	}
}
