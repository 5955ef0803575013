package capacity

import (
	"context"
	"fmt"
	"sync"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/load/lab"
)

// wholeSidecars is how many sidecars represent all planned ones; an entry has several
// links to each.
const wholeSidecars = 100

// subsetSizes are the numbers of servers of one model and role to which an entry links.
var subsetSizes = []int{2, 4, 8, 16}

// whole measures an idle entry with the whole planned configuration, whose platform lists
// all VMs, by the number of its links, which the size of its subset determines.
func (r *runner) whole(ctx context.Context, secure bool) (Section, error) {
	s := Section{Title: "entry at rest with the whole configuration"}
	if secure {
		s.Title += ", TLS"
	}
	var mu sync.Mutex
	links := make(map[int]int)
	points := make(map[int][2]sample)
	err := forEachSize(subsetSizes, func(size int) error {
		n, a, b, err := r.wholeEntry(ctx, size, secure)
		mu.Lock()
		defer mu.Unlock()
		links[size], points[size] = n, [2]sample{a, b}
		return err
	})
	for _, size := range subsetSizes {
		s.addIdle("", "links", float64(links[size]), points[size][0], points[size][1])
	}
	return s, err
}

// wholeEntry returns the number of links and the samples of the entry.
func (r *runner) wholeEntry(ctx context.Context, size int, secure bool) (links int, before, after sample, err error) {
	l, err := lab.NewEmpty("capacity", r.Bin)
	if err != nil {
		return 0, before, after, err
	}
	defer l.Stop()
	set := entry.DefaultSettings()
	conf, err := r.newTLSConfig(secure, l.Dir(), &set.TLS)
	if err != nil {
		return 0, before, after, err
	}
	f, w, err := r.startFarm(ctx, wholeSidecars, planCustomers, conf)
	if err != nil {
		return 0, before, after, err
	}
	defer f.close()
	defer w.close()
	if err := w.loadWholeConfig(ctx, f); err != nil {
		return 0, before, after, err
	}
	set.Policy.SubsetSize, set.Policy.Entries, set.Policy.Index = size, planNodes, planNodes-1
	if err := startEntry(ctx, l, set, w.relay.url()); err != nil {
		return 0, before, after, err
	}
	instance := l.Entries[0]
	before, after, err = r.sampleWindow(ctx, func() (sample, error) { return takeSample(ctx, instance.PID(), instance.Admin, &f.segs, w.relay) })
	return f.segs.connections(), before, after, err
}

// loadWholeConfig writes the whole configuration and the list of VMs. The sidecars already
// have the configuration, like sidecars that have been running for a while.
func (w *relayedPlatform) loadWholeConfig(ctx context.Context, f *sidecarFarm) error {
	if err := w.store.configure(ctx, nil, wholeBackends(f)); err != nil {
		return err
	}
	d, err := w.store.delta(ctx)
	if err != nil {
		return err
	}
	for _, s := range f.servers {
		if err := s.Configure(d); err != nil {
			return err
		}
	}
	return w.store.listVMs(ctx, planReplicas+planNodes)
}

// wholeBackends returns the records of all planned servers and of those replaced within a
// day.
func wholeBackends(f *sidecarFarm) []contract.Backend {
	roles := []engine.Role{engine.RolePrefill, engine.RoleDecode}
	all := f.backends("", planReplicas+planReplacedPerDay)
	for i := range all {
		all[i].Models = []string{modelName(i % planModels)}
		all[i].Role = string(roles[i/planModels%len(roles)])
		all[i].Zone = fmt.Sprintf("zone-%d", i/planModels/len(roles)%planZones)
		all[i].Retired = i >= planReplicas
	}
	return all
}
