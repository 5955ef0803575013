package capacity

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/link"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/sidecar"
)

// sidecarFarm runs many sidecars in this process, to which entries in processes of their
// own connect.
type sidecarFarm struct {
	servers []*sidecar.Server
	// addrs are the addresses of the servers, in their order.
	addrs  []string
	frames *frameCounter
	meter  link.Meter
	segs   segments
	stop   context.CancelFunc
}

// unusedServiceURL is the plain service of a sidecar that receives no work.
const unusedServiceURL = "http://127.0.0.1:1"

// newFarm starts n sidecars: of the engines at the URLs, or else of plain services that
// are never called.
func newFarm(ctx context.Context, n int, engines []string, conf *tls.Config) (*sidecarFarm, error) {
	ctx, stop := context.WithCancel(ctx)
	f := &sidecarFarm{frames: newFrameCounter(), stop: stop}
	for i := range n {
		set := sidecar.DefaultSettings()
		set.ID, set.Zone, set.Service = serverID(i), "zone-a", unusedServiceURL
		if len(engines) > 0 {
			set.Service, set.Engine = "", engines[i]
		}
		if err := f.start(ctx, set, conf); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func serverID(i int) string { return fmt.Sprintf("vm-%05d", i) }

func (f *sidecarFarm) start(ctx context.Context, set sidecar.Settings, conf *tls.Config) error {
	var eng engine.Engine
	info := engine.Info{ID: set.ID}
	if set.Engine != "" {
		eng = engine.NewHTTP(set.Engine, nil)
		var err error
		if info, err = eng.Info(ctx); err != nil {
			return err
		}
	}
	l := event.New("sidecar", set.ID, log.ErrorLevel)
	s := sidecar.NewServer(set, eng, info, rand.Text(), l, metrics.NewSet())
	s.Loops()
	f.servers = append(f.servers, s)
	lis, err := listen(&f.segs, conf)
	if err != nil {
		return err
	}
	lis = f.meter.Listener(lis)
	f.addrs = append(f.addrs, lis.Addr().String())
	go func() { _ = link.Serve(ctx, lis, countingServer{s, f.frames}, link.Limits{}) }()
	return nil
}

func (f *sidecarFarm) close() {
	f.stop()
	for _, s := range f.servers {
		s.Close()
	}
}

// serversPerModel keeps every group of servers smaller than an entry's subset.
const serversPerModel = 8

// backends returns n records of active servers. Those beyond the number of sidecars in the
// farm share the addresses of the first ones.
func (f *sidecarFarm) backends(role string, n int) []contract.Backend {
	var out []contract.Backend
	for i := range n {
		out = append(out, contract.Backend{
			ID: serverID(i), Address: f.addrs[i%len(f.addrs)], Zone: "zone-a", Role: role,
			Models: []string{modelName(i / serversPerModel)},
		})
	}
	return out
}

// lowestHead returns the lowest revision that a sidecar has applied.
func (f *sidecarFarm) lowestHead() uint64 {
	low := f.servers[0].Head()
	for _, s := range f.servers {
		low = min(low, s.Head())
	}
	return low
}

// pollInterval is the interval between checks of a condition.
const pollInterval = 2 * time.Millisecond

// waitFor waits until a condition holds, for at most limit.
func waitFor(ctx context.Context, limit time.Duration, cond func() bool) bool {
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) || !sleep.For(ctx, pollInterval) {
			return false
		}
	}
	return true
}
