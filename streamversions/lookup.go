package streamversions

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
)

const (
	// askTimeout is how long a client waits for what other routers know of its stream; askRetry is the interval at which
	// those that have not answered are asked again, some round trips between zones.
	askTimeout = 200 * time.Millisecond
	askRetry   = 50 * time.Millisecond
	// storeTimeout bounds each reading of the store while a client waits for its stream.
	storeTimeout = 300 * time.Millisecond
)

// lookup is one request that waits for the version of its stream. Its fields are guarded by Directory.mu.
type lookup struct {
	query Query
	// asked are the routers that have not answered, silent those of them that have to before anything is agreed on.
	asked, silent map[string]struct{}
	// answers is the number of routers that don't know the stream.
	answers int
	version string
	// possible are the versions that may have begun the stream, by what this router and those that don't know it have seen.
	possible streamversion.Possible
	// storeLost is set once this router has failed to read the store.
	storeLost bool
	// changed is signalled by each answer.
	changed chan struct{}
}

// startLookup returns a lookup that has asked nobody. What this router has seen by itself doesn't prove anything: it may have
// been frozen or cut off when the client came back.
func (d *Directory) startLookup(s forward.StreamRef, k streamversion.Key, possible streamversion.Possible) *lookup {
	possible.Current = false
	l := &lookup{query: Query{Stream: k, Service: s.Service, Number: rand.Uint64()}, asked: map[string]struct{}{}, silent: map[string]struct{}{}, possible: possible, changed: make(chan struct{}, 1)}
	others := d.Network.Others()
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr := range d.known {
		l.silent[addr] = struct{}{}
	}
	for _, addr := range others {
		l.silent[addr] = struct{}{}
	}
	if s.ID != "" {
		l.ask(streamversion.Asked(k, others))
	}
	d.lookups[k] = append(d.lookups[k], l)
	return l
}

// ask adds routers to those that are asked.
func (l *lookup) ask(addrs []string) {
	for _, addr := range addrs {
		l.asked[addr] = struct{}{}
	}
}

// heard reports whether the stream was found, or all that were asked don't know it.
func (l *lookup) heard() bool { return l.version != "" || len(l.asked) == 0 }

// decided reports whether no more need be asked.
func (l *lookup) decided() bool {
	_, ok := l.possible.Only()
	return l.version != "" || ok
}

// agreed reports whether all routers that may have begun the stream have answered while the store was away. None of them
// knows it.
func (l *lookup) agreed() bool { return l.storeLost && l.answers > 0 && len(l.silent) == 0 }

// resolve asks other routers for the stream and, unless they know it or one reads the list all the time, the store. Where
// the store is away it asks all routers that are known. The result is in the lookup. The store also knows streams of routers
// that are all gone.
func (d *Directory) resolve(ctx context.Context, l *lookup) {
	d.await(ctx, l, askRetry, l.heard)
	if d.check(l.decided) {
		return
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		d.consultStore(ctx, l)
	}()
	d.await(ctx, l, askTimeout-askRetry, func() bool { return l.heard() || l.decided() })
	if !d.check(l.decided) {
		select {
		case <-read:
		case <-ctx.Done():
		}
	}
	if !d.check(l.decided) && d.askRest(l) {
		d.await(ctx, l, askTimeout, l.heard)
	}
}

// check evaluates a condition of a lookup.
func (d *Directory) check(condition func() bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return condition()
}

// await waits until a condition of the lookup holds, a timeout at most, and asks those again that have not answered.
func (d *Directory) await(ctx context.Context, l *lookup, timeout time.Duration, condition func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	retry := time.NewTicker(askRetry)
	defer retry.Stop()
	for !d.check(condition) {
		d.askAgain(l)
		for waiting := true; waiting && !d.check(condition); {
			select {
			case <-l.changed:
			case <-ctx.Done():
				return
			case <-retry.C:
				waiting = false
			}
		}
	}
}

func (d *Directory) askAgain(l *lookup) {
	d.mu.Lock()
	asked := slices.Collect(maps.Keys(l.asked))
	d.mu.Unlock()
	if len(asked) > 0 {
		d.Network.Ask(asked, l.query)
	}
}

// askRest adds the routers that have to agree to those that are asked, if the store is away. It returns false if there is
// nobody to ask.
func (d *Directory) askRest(l *lookup) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !l.storeLost {
		return false
	}
	l.ask(slices.Collect(maps.Keys(l.silent)))
	return len(l.asked) > 0
}

// consultStore reads for a lookup the list of servers, if one version alone seems to be possible, and what is kept of streams
// if there are several.
func (d *Directory) consultStore(ctx context.Context, l *lookup) {
	if !d.check(l.several) {
		d.readVersions(ctx, l)
	}
	if !d.check(l.several) || d.Rows == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.readRows(ctx); err != nil {
		d.Metrics.Counter(metrics.StoreErrors).Inc(1)
	}
}

// several reports whether several versions may have begun the stream.
func (l *lookup) several() bool { return len(l.possible.Versions) > 1 }

// readVersions reads the list of servers, and the versions kept if this router may have missed a list.
func (d *Directory) readVersions(ctx context.Context, l *lookup) {
	if d.Lists == nil {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := d.Lists.ReadServers(readCtx)
	d.mu.Lock()
	l.storeLost = err != nil
	seen := d.possible(l.query.Service)
	d.mu.Unlock()
	if err != nil {
		return
	}
	if !seen.Current {
		versions, ok := d.historyOf(ctx, l.query.Service)
		seen = seen.With(streamversion.Possible{Versions: versions, Current: ok})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l.possible = l.possible.With(seen)
	notify.Send(l.changed)
}

// forget removes a lookup.
func (d *Directory) forget(k streamversion.Key, l *lookup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rest := slices.DeleteFunc(d.lookups[k], func(other *lookup) bool { return other == l })
	if len(rest) == 0 {
		delete(d.lookups, k)
		return
	}
	d.lookups[k] = rest
}

// found records the version of the stream.
func (l *lookup) found(version string) {
	l.version = version
	notify.Send(l.changed)
}

// unknown records that a router does not know the stream.
func (l *lookup) unknown(from string, u Unknown) {
	if _, ok := l.asked[from]; !ok || u.Query != 0 && u.Query != l.query.Number {
		return
	}
	delete(l.asked, from)
	if u.Query == 0 {
		// From a router that does not repeat the query: it may be a late answer, which proves nothing.
		u.Complete, u.Current = false, false
	}
	delete(l.silent, from)
	l.answers++
	l.possible = l.possible.With(u.Possible)
	notify.Send(l.changed)
}

// ReceiveUnknown takes the answer of another router that does not know a stream.
func (d *Directory) ReceiveUnknown(from string, u Unknown) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lookups[u.Stream] {
		l.unknown(from, u)
	}
}
