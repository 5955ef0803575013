package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/load/lab"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/sidecar"
)

const (
	// settleTime is longer than an idle link keeps the heartbeat interval of an active
	// one, and longer than a daemon holds the memory that its start took.
	settleTime  = 13 * time.Second
	linkTimeout = 20 * time.Second
	mebibyte    = 1 << 20
)

// sample is the cumulative usage of a process and its links at a point in time.
type sample struct {
	at             time.Time
	usage          usage
	sent, received float64 // bytes on links, below TLS
	segments       float64 // both ways
	store          float64 // bytes to and from the platform
	storeSegments  float64
}

// takeSample takes a sample. segs and r may be nil.
func takeSample(ctx context.Context, pid int, admin string, segs *segments, r *relay) (sample, error) {
	out := sample{at: time.Now()}
	var err error
	if out.usage, err = readUsage(pid); err != nil {
		return out, err
	}
	if out.sent, err = gauge(ctx, admin, metrics.LinkBytesSent); err != nil {
		return out, err
	}
	if out.received, err = gauge(ctx, admin, metrics.LinkBytesReceived); err != nil {
		return out, err
	}
	if segs != nil {
		sent, received := segs.count()
		out.segments = sent + received
	}
	if r != nil {
		out.store = float64(r.bytes.Load())
		sent, received := r.segs.count()
		out.storeSegments = sent + received
	}
	return out, nil
}

// gauge reads one gauge of a process.
func gauge(ctx context.Context, admin, name string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var all map[string]struct {
		Value float64 `json:"value"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return 0, err
	}
	g, ok := all[name]
	if !ok {
		return 0, merry.Errorf("%s has no metric %s", admin, name)
	}
	return g.Value, nil
}

// addIdle adds the usage of one process between two samples, over x.
func (s *Section) addIdle(prefix, over string, x float64, before, after sample) {
	t := after.at.Sub(before.at).Seconds()
	s.add(prefix+"link bytes sent", "B/s", over, x, (after.sent-before.sent)/t)
	s.add(prefix+"link bytes received", "B/s", over, x, (after.received-before.received)/t)
	s.add(prefix+"TCP segments, both ways", "1/s", over, x, (after.segments-before.segments)/t)
	s.add(prefix+"bytes with TCP and IP headers, both ways", "B/s", over, x,
		(after.sent-before.sent+after.received-before.received+headerBytes*(after.segments-before.segments))/t)
	if after.store > 0 {
		s.add(prefix+"platform bytes with headers", "B/s", over, x,
			(after.store-before.store+headerBytes*(after.storeSegments-before.storeSegments))/t)
	}
	s.add(prefix+"processor", "% of a core", over, x, 100*(after.usage.cpu-before.usage.cpu).Seconds()/t)
	s.add(prefix+"resident memory", "MiB", over, x, after.usage.resident/mebibyte)
	s.add(prefix+"of it anonymous", "MiB", over, x, after.usage.anonymous/mebibyte)
}

// idleEntries measures idle entries by the number of linked sidecars, all sizes
// concurrently.
func (r *runner) idleEntries(ctx context.Context, tls bool) (Section, error) {
	s := Section{Title: "entry at rest"}
	if tls {
		s.Title += ", TLS"
	}
	sizes := r.sizes([]int{25, 50, 100, 200, 400}, []int{10, 25, 50, 100})
	var mu sync.Mutex
	points := make(map[int][2]sample)
	err := forEachSize(sizes, func(n int) error {
		a, b, err := r.idleEntry(ctx, n, tls)
		mu.Lock()
		defer mu.Unlock()
		points[n] = [2]sample{a, b}
		return err
	})
	for _, n := range sizes {
		s.addIdle("", "links", float64(n), points[n][0], points[n][1])
	}
	return s, err
}

func (r *runner) idleEntry(ctx context.Context, n int, secure bool) (before, after sample, err error) {
	l, err := lab.NewEmpty("capacity", r.Bin)
	if err != nil {
		return before, after, err
	}
	defer l.Stop()
	set := entry.DefaultSettings()
	set.ID, set.Zone = fmt.Sprintf("entry-%d", n), "zone-a"
	conf, err := r.newTLSConfig(secure, l.Dir(), &set.TLS)
	if err != nil {
		return before, after, err
	}
	f, err := newFarm(ctx, n, nil, conf)
	if err != nil {
		return before, after, err
	}
	defer f.close()
	w, err := newRelayedPlatform(ctx, f.backends("service", n), 1)
	if err != nil {
		return before, after, err
	}
	defer w.close()
	set.Platform = w.relay.url()
	instance, err := l.StartEntry(set)
	if err != nil {
		return before, after, err
	}
	if err := l.Await(ctx, instance.Admin+"/healthz"); err != nil {
		return before, after, err
	}
	if !waitFor(ctx, linkTimeout, func() bool { return f.segs.connections() == n && f.lowestHead() == w.store.head }) {
		return before, after, merry.Errorf("%d of %d links were established", f.segs.connections(), n)
	}
	return r.sampleWindow(ctx, func() (sample, error) { return takeSample(ctx, instance.PID(), instance.Admin, &f.segs, w.relay) })
}

// sampleWindow takes a sample after the settling time and another after the window.
func (r *runner) sampleWindow(ctx context.Context, take func() (sample, error)) (before, after sample, err error) {
	sleep.For(ctx, settleTime)
	if before, err = take(); err != nil {
		return before, after, err
	}
	sleep.For(ctx, r.idleWindow())
	after, err = take()
	return before, after, err
}

// relayedPlatform is a platform with a configuration, behind a relay.
type relayedPlatform struct {
	store *localStore
	relay *relay
}

func newRelayedPlatform(ctx context.Context, backends []contract.Backend, customers int) (*relayedPlatform, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	w := &relayedPlatform{store: st}
	if w.relay, err = newRelay(st.server.Addr()); err != nil {
		st.server.Stop()
		return nil, err
	}
	if err := st.configure(ctx, exampleContracts(customers), backends); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *relayedPlatform) close() {
	w.relay.close()
	w.store.server.Stop()
}

// idleSidecars measures idle sidecars by the number of linked entries.
func (r *runner) idleSidecars(ctx context.Context) (Section, error) {
	s := Section{Title: "sidecar at rest"}
	sizes := r.sizes([]int{10, 25, 50, 100, 200}, []int{10, 25, 50, 100})
	var mu sync.Mutex
	points := make(map[int][2]sample)
	err := forEachSize(sizes, func(n int) error {
		a, b, err := r.idleSidecar(ctx, n)
		mu.Lock()
		defer mu.Unlock()
		points[n] = [2]sample{a, b}
		return err
	})
	for _, n := range sizes {
		s.addIdle("", "links", float64(n), points[n][0], points[n][1])
	}
	return s, err
}

func (r *runner) idleSidecar(ctx context.Context, n int) (before, after sample, err error) {
	l, err := lab.NewEmpty("capacity", r.Bin)
	if err != nil {
		return before, after, err
	}
	defer l.Stop()
	if err := l.StartEngines(lab.Pool{Model: modelName(0), Role: "mixed", Count: 1, Engine: quickEngine()}); err != nil {
		return before, after, err
	}
	set := sidecar.DefaultSettings()
	set.Engine = l.Engines[0].URL
	instance, err := l.StartSidecar(set, contract.Backend{ID: serverID(n), Role: "mixed", Zone: "zone-a"})
	if err != nil {
		return before, after, err
	}
	if err := l.Await(ctx, instance.Admin+"/healthz"); err != nil {
		return before, after, err
	}
	var segs segments
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go linkPeers(ctx, instance.Address, n, &segs)
	if !waitFor(ctx, linkTimeout, func() bool { return segs.connections() >= n }) {
		return before, after, merry.Errorf("%d of %d links were established", segs.connections(), n)
	}
	return r.sampleWindow(ctx, func() (sample, error) { return takeSample(ctx, instance.PID(), instance.Admin, &segs, nil) })
}

// forEachSize runs f for all sizes concurrently and returns the first error.
func forEachSize(sizes []int, f func(int) error) error {
	errs := make(chan error, len(sizes))
	for _, n := range sizes {
		go func() { errs <- f(n) }()
	}
	var first error
	for range sizes {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}
