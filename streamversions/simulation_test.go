package streamversions

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
)

// fleet simulates the directories of many routers while engines of two versions serve.
type fleet struct {
	rng    *rand.Rand
	all    []*Directory
	names  []string
	killed []bool
	// told chooses who is told of a stream.
	told func(k streamversion.Key, others []string) []string
	// datagrams counts what is sent, by all routers.
	datagrams int
}

// lostShare is the share of datagrams that are lost.
const lostShare = 0.03

// fleetNetwork is the network of one router of a fleet.
type fleetNetwork struct {
	f    *fleet
	self int
}

// Others returns also routers that were killed: the members of a fleet learn that seconds later.
func (n fleetNetwork) Others() []string {
	return slices.Delete(slices.Clone(n.f.names), n.self, n.self+1)
}

func (fleetNetwork) Keepers() []string { return nil }

// send reports whether a datagram arrives.
func (f *fleet) send(to int) bool {
	f.datagrams++
	return f.rng.Float64() >= lostShare && !f.killed[to]
}

func (n fleetNetwork) Ask(to []string, q Query) {
	f := n.f
	for _, addr := range to {
		i := slices.Index(f.names, addr)
		if !f.send(i) {
			continue
		}
		u, unknown, ok := f.all[i].Answer(q)
		if !f.send(n.self) {
			continue
		}
		if ok {
			f.all[n.self].Receive([]Update{u})
			continue
		}
		f.all[n.self].ReceiveUnknown(addr, unknown)
	}
}

func newFleet(seed uint64, n int, told func(streamversion.Key, []string) []string) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), told: told, killed: make([]bool, n)}
	counters := metrics.NewSet()
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
		f.all = append(f.all, New(Config{Network: fleetNetwork{f, i}, Metrics: counters}))
		f.all[i].Observe(engines("v1", "v2"))
	}
	return f
}

// begin has a router begin a stream, and tell others of it.
func (f *fleet) begin(i, stream int) (forward.StreamRef, string) {
	ref := forward.StreamRef{Service: "llm", ID: fmt.Sprint(stream)}
	version := fmt.Sprint("v", 1+f.rng.IntN(2))
	f.all[i].Begun(ref, version, time.Now().Add(time.Minute))
	others := fleetNetwork{f, i}.Others()
	told, _ := f.all[i].TakeUpdates()
	for _, u := range told {
		for _, addr := range f.told(u.Stream, others) {
			if to := slices.Index(f.names, addr); f.send(to) {
				f.all[to].Receive([]Update{u})
			}
		}
	}
	return ref, version
}

// killShare kills a share of the routers, at least one, and returns the first: the one whose streams are taken up.
func (f *fleet) killShare(share float64) int {
	order := f.rng.Perm(len(f.all))
	for _, i := range order[:max(1, int(share*float64(len(order))))] {
		f.killed[i] = true
	}
	return order[0]
}

// survivor returns a router that was not killed.
func (f *fleet) survivor() int {
	for {
		if i := f.rng.IntN(len(f.all)); !f.killed[i] {
			return i
		}
	}
}

// ways are those of telling the others of a stream.
var ways = []struct {
	name string
	told func(streamversion.Key, []string) []string
}{
	{"asked alone", func(streamversion.Key, []string) []string { return nil }},
	{"told to three of many", streamversion.Told},
	{"told to all", func(_ streamversion.Key, others []string) []string { return others }},
}

// TestTakeUpsAfterKills compares ways of telling the others of a stream, when the router that began it is killed, with
// others at the same moment. By the users' rule at least half of the streams go on.
func TestTakeUpsAfterKills(t *testing.T) {
	const streams = 200
	synctest.Test(t, func(t *testing.T) {
		for _, routers := range []int{5, 30, 100} {
			for _, share := range []float64{0, 1. / 3, 0.6} {
				for _, way := range ways {
					goOn, datagrams := takeUps(t, routers, streams, share, way.told)
					t.Logf("%d routers, %.2f killed, %s: %.2f of the streams go on, %.1f datagrams for each stream", routers, share, way.name, goOn, datagrams)
					if way.name == "told to three of many" {
						assert.Check(t, goOn >= 0.5, "%d routers, %.2f killed: %.2f go on", routers, share, goOn)
					}
				}
			}
		}
	})
}

// takeUps returns the share of streams that go on after their router was killed, and the datagrams for each stream.
func takeUps(t *testing.T, routers, streams int, share float64, told func(streamversion.Key, []string) []string) (goOn, datagrams float64) {
	t.Helper()
	n := 0
	for seed := range uint64(streams) {
		f := newFleet(seed, routers, told)
		first := f.rng.IntN(routers)
		ref, version := f.begin(first, int(seed))
		begun := f.datagrams
		f.killed[first] = true
		f.killShare(share)
		got, ok := f.all[f.survivor()].Version(t.Context(), ref)
		assert.Assert(t, !ok || got == version, "goes on at %s, begun at %s", got, version)
		if ok {
			n++
		}
		datagrams += float64(begun) / float64(streams)
	}
	return float64(n) / float64(streams), datagrams
}
