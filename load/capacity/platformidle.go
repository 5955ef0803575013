package capacity

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/load/lab"
	standin "github.com/hibiscusspur/hibiscusspur/standin/platform"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// platformCalls counts the calls to a platform so far.
type platformCalls struct {
	at    time.Time
	table standin.PortCounters
	vms   standin.PortCounters
}

func (s *localStore) calls() platformCalls {
	c := s.server.Counters()
	return platformCalls{time.Now(), c[memory.PortTable], c[memory.PortVMs]}
}

// idlePlatformCalls counts the platform calls of idle entries by the number of entries.
func (r *runner) idlePlatformCalls(ctx context.Context) (Section, error) {
	s := Section{Title: "calls to the platform at rest"}
	sizes := r.sizes([]int{1, 2, 4, 8}, []int{1, 2, 3, 4})
	l, f, w, err := r.startDeployment(ctx, 8, 1)
	if err != nil {
		return s, err
	}
	defer l.Stop()
	defer f.close()
	defer w.close()
	for _, n := range sizes {
		for len(l.Entries) < n {
			if err := r.addEntry(ctx, l, w.relay.url()); err != nil {
				return s, err
			}
		}
		sleep.For(ctx, settleTime/3)
		before := w.store.calls()
		sleep.For(ctx, r.idleWindow()/2)
		after := w.store.calls()
		t := after.at.Sub(before.at).Seconds()
		s.add("table reads", "1/s", "entries", float64(n), float64(after.table.Reads-before.table.Reads)/t)
		s.add("table writes", "1/s", "entries", float64(n), float64(after.table.Writes-before.table.Writes)/t)
		s.add("readings of the VM list", "1/s", "entries", float64(n), float64(after.vms.Reads-before.vms.Reads)/t)
	}
	return s, nil
}

// startDeployment starts a lab, a farm and a platform with the backend records of the
// farm.
func (r *runner) startDeployment(ctx context.Context, servers, customers int) (*lab.Lab, *sidecarFarm, *relayedPlatform, error) {
	l, err := lab.NewEmpty("capacity", r.Bin)
	if err != nil {
		return nil, nil, nil, err
	}
	f, w, err := r.startFarm(ctx, servers, customers, nil)
	if err != nil {
		l.Stop()
		return nil, nil, nil, err
	}
	return l, f, w, nil
}

// startFarm starts a farm and a platform with the backend records of the farm.
func (r *runner) startFarm(ctx context.Context, servers, customers int, conf *tls.Config) (*sidecarFarm, *relayedPlatform, error) {
	f, err := newFarm(ctx, servers, nil, conf)
	if err != nil {
		return nil, nil, err
	}
	w, err := newRelayedPlatform(ctx, f.backends("service", servers), customers)
	if err != nil {
		f.close()
		return nil, nil, err
	}
	return f, w, nil
}

// addEntry starts one more entry and waits until it has loaded the configuration.
func (r *runner) addEntry(ctx context.Context, l *lab.Lab, platform string) error {
	return startEntry(ctx, l, entry.DefaultSettings(), platform)
}

func startEntry(ctx context.Context, l *lab.Lab, set entry.Settings, platform string) error {
	set.ID, set.Zone = fmt.Sprintf("entry-%d", len(l.Entries)+1), "zone-a"
	set.Platform = platform
	instance, err := l.StartEntry(set)
	if err != nil {
		return err
	}
	return l.Await(ctx, instance.Admin+"/healthz")
}

// vmList measures the cost of the platform's VM list to an entry, by the length of the
// list.
func (r *runner) vmList(ctx context.Context) (Section, error) {
	s := Section{Title: "list of VMs, one entry"}
	sizes := r.sizes([]int{0, 1250, 2500, planReplicas + planNodes}, []int{0, 1250, 2500, planReplicas + planNodes})
	var mu sync.Mutex
	points := make(map[int][2]sample)
	polls := make(map[int]float64)
	err := forEachSize(sizes, func(n int) error {
		l, f, w, err := r.startDeployment(ctx, 4, 1)
		if err != nil {
			return err
		}
		defer l.Stop()
		defer f.close()
		defer w.close()
		if err := w.store.listVMs(ctx, n); err != nil {
			return err
		}
		if err := r.addEntry(ctx, l, w.relay.url()); err != nil {
			return err
		}
		instance := l.Entries[0]
		before := w.store.calls()
		a, b, err := r.sampleWindow(ctx, func() (sample, error) { return takeSample(ctx, instance.PID(), instance.Admin, nil, w.relay) })
		after := w.store.calls()
		mu.Lock()
		defer mu.Unlock()
		points[n] = [2]sample{a, b}
		polls[n] = float64(after.vms.Reads-before.vms.Reads) / after.at.Sub(before.at).Seconds()
		return err
	})
	if err != nil {
		return s, merry.Prepend(err, "VM list")
	}
	for _, n := range sizes {
		a, b := points[n][0], points[n][1]
		t := b.at.Sub(a.at).Seconds()
		bytes := (b.store - a.store + headerBytes*(b.storeSegments-a.storeSegments)) / t
		s.add("platform bytes with headers", "B/s", "VMs", float64(n), bytes)
		s.add("readings", "1/s", "VMs", float64(n), polls[n])
		s.add("processor", "% of a core", "VMs", float64(n), 100*(b.usage.cpu-a.usage.cpu).Seconds()/t)
		s.add("resident memory", "MiB", "VMs", float64(n), b.usage.resident/mebibyte)
	}
	return s, nil
}
