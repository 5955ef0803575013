package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/load/lab"
	"github.com/hibiscusspur/hibiscusspur/metrics"
)

const (
	changeEntries = 3
	changeTimeout = 10 * time.Second
	// confirmTime is longer than entries take to confirm a revision.
	confirmTime = 4 * time.Second
)

// changeCost is the cost of one change.
type changeCost struct {
	// applyTime is the time from the commit until the last process has applied it.
	applyTime time.Duration
	// linkBytes are the bytes on all links, storeBytes those to and from the platform.
	linkBytes, storeBytes, reads, writes float64
}

// changeCosts measures changes of a contract by the number of processes: with the table
// reachable by all entries, and by only one.
func (r *runner) changeCosts(ctx context.Context) (Section, error) {
	s := Section{Title: fmt.Sprintf("one change of a contract, %d entries and N sidecars", changeEntries)}
	sizes := r.sizes([]int{10, 50, 100, 200}, []int{10, 20, 40, 80})
	var mu sync.Mutex
	connected, cut := make(map[int][]changeCost), make(map[int][]changeCost)
	err := forEachSize(sizes, func(n int) error {
		a, b, err := r.changesAt(ctx, n)
		mu.Lock()
		defer mu.Unlock()
		connected[n], cut[n] = a, b
		return err
	})
	if err != nil {
		return s, err
	}
	for _, n := range sizes {
		s.addChange("table in reach: ", n, connected[n])
		s.addChange("table in reach of one entry: ", n, cut[n])
	}
	return s, nil
}

func (s *Section) addChange(prefix string, n int, costs []changeCost) {
	var sum changeCost
	var slowest time.Duration
	for _, c := range costs {
		slowest = max(slowest, c.applyTime)
		sum.applyTime += c.applyTime
		sum.linkBytes += c.linkBytes
		sum.storeBytes += c.storeBytes
		sum.writes += c.writes
	}
	count := float64(len(costs))
	s.add(prefix+"in force everywhere, mean", "ms", "sidecars", float64(n), float64(sum.applyTime.Milliseconds())/count)
	s.add(prefix+"in force everywhere, slowest", "ms", "sidecars", float64(n), float64(slowest.Milliseconds()))
	s.add(prefix+"link bytes of all", "B", "sidecars", float64(n), sum.linkBytes/count)
	s.add(prefix+"platform bytes of all", "B", "sidecars", float64(n), sum.storeBytes/count)
	s.add(prefix+"table writes of all", "1", "sidecars", float64(n), sum.writes/count)
}

func (r *runner) changesAt(ctx context.Context, n int) (connected, cut []changeCost, err error) {
	l, f, w, err := r.startDeployment(ctx, n, 8)
	if err != nil {
		return nil, nil, err
	}
	defer l.Stop()
	defer f.close()
	defer w.close()
	otherRelay, err := newRelay(w.store.server.Addr())
	if err != nil {
		return nil, nil, err
	}
	defer otherRelay.close()
	for i := range changeEntries {
		url := w.relay.url()
		if i > 0 {
			url = otherRelay.url()
		}
		if err := r.addEntry(ctx, l, url); err != nil {
			return nil, nil, err
		}
	}
	waitFor(ctx, linkTimeout, func() bool { return f.segs.connections() == n*changeEntries })
	sleep.For(ctx, settleTime)
	if connected, err = r.changeSeries(ctx, l, f, w, otherRelay); err != nil {
		return nil, nil, err
	}
	otherRelay.setCut(true)
	cut, err = r.changeSeries(ctx, l, f, w, otherRelay)
	return connected, cut, err
}

func (r *runner) changeSeries(ctx context.Context, l *lab.Lab, f *sidecarFarm, w *relayedPlatform, otherRelay *relay) ([]changeCost, error) {
	count := 5
	if r.Quick {
		count = 2
	}
	var out []changeCost
	for i := range count {
		// Varies the phase of the commits relative to the polls.
		sleep.For(ctx, time.Duration(i)*170*time.Millisecond)
		c, err := measureChange(ctx, l, f, w, otherRelay)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

func measureChange(ctx context.Context, l *lab.Lab, f *sidecarFarm, w *relayedPlatform, otherRelay *relay) (changeCost, error) {
	var c changeCost
	bytes := func() float64 { return float64(f.meter.Sent() + f.meter.Received()) }
	stored := func() float64 { return float64(w.relay.bytes.Load() + otherRelay.bytes.Load()) }
	body, err := exampleContract(1, int(w.store.head)).Marshal()
	if err != nil {
		return c, err
	}
	before, links, relayed := w.store.calls(), bytes(), stored()
	change := map[string]dissemination.Change{dissemination.ContractPrefix + "team-001": {Body: string(body)}}
	if err := w.store.commit(ctx, change); err != nil {
		return c, err
	}
	start := time.Now()
	if !waitFor(ctx, changeTimeout, func() bool { return appliedEverywhere(ctx, l, f, w.store.head) }) {
		return c, merry.Errorf("revision %d is not applied everywhere after %s", w.store.head, changeTimeout)
	}
	c.applyTime = time.Since(start)
	sleep.For(ctx, confirmTime)
	after := w.store.calls()
	c.linkBytes, c.storeBytes = bytes()-links, stored()-relayed
	c.reads = float64(after.table.Reads - before.table.Reads)
	c.writes = float64(after.table.Writes-before.table.Writes) - 1
	return c, nil
}

func appliedEverywhere(ctx context.Context, l *lab.Lab, f *sidecarFarm, head uint64) bool {
	if f.lowestHead() < head {
		return false
	}
	for _, e := range l.Entries {
		v, err := gauge(ctx, e.Admin, metrics.ConfigRevision)
		if err != nil || uint64(v) < head {
			return false
		}
	}
	return true
}
