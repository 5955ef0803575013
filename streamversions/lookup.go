package streamversions

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
)

const (
	// askTimeout is how long a client waits for what other routers know of its stream; askRetry is the interval at which
	// those that have not answered are asked again, some round trips between zones.
	askTimeout = 200 * time.Millisecond
	askRetry   = 50 * time.Millisecond
)

// lookup is one request that waits for the version of its stream. Its fields are guarded by Directory.mu.
type lookup struct {
	// asked are the routers that have not answered.
	asked   map[string]struct{}
	version string
	// possible are the versions that may have begun the stream, by what this router and those that don't know it have seen.
	possible streamversion.Possible
	done     chan struct{}
	ended    bool
}

func (l *lookup) end() {
	if !l.ended {
		l.ended = true
		close(l.done)
	}
}

func (l *lookup) found(version string) {
	l.version = version
	l.end()
}

// unknown records that a router does not know the stream. The others need not answer once that leaves one version.
func (l *lookup) unknown(from string, u Unknown) {
	if _, ok := l.asked[from]; !ok {
		return
	}
	delete(l.asked, from)
	l.possible = l.possible.With(u.Possible)
	if len(l.asked) == 0 || l.possible.Decided() {
		l.end()
	}
}

// ask asks other routers for a stream that one of the possible versions has begun. It returns its version, or else those
// that are possible by what the others have seen.
func (d *Directory) ask(ctx context.Context, service string, k streamversion.Key, possible streamversion.Possible) (string, streamversion.Possible) {
	l := &lookup{asked: map[string]struct{}{}, possible: possible, done: make(chan struct{})}
	for _, addr := range streamversion.Asked(k, d.network.Others()) {
		l.asked[addr] = struct{}{}
	}
	if len(l.asked) == 0 {
		return "", possible
	}
	d.mu.Lock()
	d.lookups[k] = append(d.lookups[k], l)
	d.mu.Unlock()
	d.await(ctx, service, k, l)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(k, l)
	return l.version, l.possible
}

// await waits until the lookup has ended, and asks those again that have not answered.
func (d *Directory) await(ctx context.Context, service string, k streamversion.Key, l *lookup) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	retry := time.NewTicker(askRetry)
	defer retry.Stop()
	for {
		d.mu.Lock()
		asked := slices.Collect(maps.Keys(l.asked))
		d.mu.Unlock()
		d.network.Ask(asked, service, k)
		select {
		case <-l.done:
			return
		case <-ctx.Done():
			return
		case <-retry.C:
		}
	}
}

// forget removes a lookup. The caller holds mu.
func (d *Directory) forget(k streamversion.Key, l *lookup) {
	rest := slices.DeleteFunc(d.lookups[k], func(other *lookup) bool { return other == l })
	if len(rest) == 0 {
		delete(d.lookups, k)
		return
	}
	d.lookups[k] = rest
}

// ReceiveUnknown takes the answer of another router that does not know a stream.
func (d *Directory) ReceiveUnknown(from string, u Unknown) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lookups[u.Stream] {
		l.unknown(from, u)
	}
}
