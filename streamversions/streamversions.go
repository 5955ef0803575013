// Package streamversions keeps at which software version streams were begun that clients may resume, and finds that out
// for streams that other routers have begun.
//
// Each router keeps the streams that it began. While engines of several versions of a service are listed, it tells some
// others of each (all, if there are few), so that the stream is known when the router is lost. A router that does not
// know a stream asks those that should. Nothing is told while all engines of a service have one version.
package streamversions

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// Network reaches the other routers. Messages may be lost.
type Network interface {
	// Others returns the addresses of the other routers that communicate.
	Others() []string
	// Ask asks routers for a stream of a service. Their answers are passed to Receive and ReceiveUnknown.
	Ask(to []string, service string, stream streamversion.Key)
}

// Update is the version of one stream, for other routers.
type Update struct {
	Stream streamversion.Key
	streamversion.Record
}

// Unknown is the answer of a router that does not know a stream: what is possible by the lists that it has seen.
type Unknown struct {
	Stream streamversion.Key
	streamversion.Possible
}

// Directory is the local knowledge of one router. It implements forward.StreamVersions and is safe for concurrent use.
type Directory struct {
	network Network
	history *History
	metrics *metrics.Set
	// updated is signalled when TakeUpdates has something to return, historyDue when KeepHistory has something to write.
	updated, historyDue chan struct{}

	mu      sync.Mutex
	records *streamversion.Records
	seen    *streamversion.Seen
	// own are the services of the streams that this router began or resumed.
	own map[streamversion.Key]string
	// pending are those of them of which the others are to be told.
	pending map[streamversion.Key]struct{}
	// several are the services of which more than one version was seen when the list was last observed.
	several map[string]bool
	lookups map[streamversion.Key][]*lookup
	// stored are the versions of each service in the history, as last read or written here.
	stored map[string][]string
}

var _ forward.StreamVersions = (*Directory)(nil)

// New returns an empty directory. Without a history, nil, a router that has just started and finds no other one that has
// seen lists for long turns streams away that nobody knows.
func New(n Network, h *History, m *metrics.Set) *Directory {
	return &Directory{
		network: n, history: h, metrics: m, updated: make(chan struct{}, 1), historyDue: make(chan struct{}, 1),
		records: streamversion.NewRecords(), seen: streamversion.NewSeen(),
		own: map[streamversion.Key]string{}, pending: map[streamversion.Key]struct{}{}, several: map[string]bool{},
		lookups: map[streamversion.Key][]*lookup{}, stored: map[string][]string{},
	}
}

// Observe takes the servers in force of the services whose streams may be resumed. If a service now has several versions,
// the others are told of the streams in progress.
func (d *Directory) Observe(list []registry.Server) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range list {
		d.seen.Observe(s.Service, s.Version, now)
	}
	d.seen.Expire(now)
	for _, s := range list {
		if several := d.seen.Several(s.Service); several != d.several[s.Service] {
			d.several[s.Service] = several
			d.tellAll(s.Service, several)
		}
	}
	d.noteHistory()
}

// tellAll marks the streams of a service to be told, if it has several versions. The caller holds mu.
func (d *Directory) tellAll(service string, several bool) {
	for k, of := range d.own {
		if several && of == service {
			d.tell(k)
		}
	}
}

// tell marks a stream to be told. The caller holds mu.
func (d *Directory) tell(k streamversion.Key) {
	d.pending[k] = struct{}{}
	notify.Send(d.updated)
}

// Begun implements forward.StreamVersions.
func (d *Directory) Begun(s forward.StreamRef, version string, until time.Time) {
	k, now := keyOf(s), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen.Observe(s.Service, version, now)
	if !d.records.Put(k, streamversion.Record{Version: version, Until: until}, now) {
		d.metrics.Counter(metrics.StreamRecordsDropped).Inc(1)
		return
	}
	d.own[k] = s.Service
	if d.seen.Several(s.Service) {
		d.tell(k)
	}
}

func keyOf(s forward.StreamRef) streamversion.Key {
	return streamversion.KeyOf(s.Service, s.Customer, s.ID)
}

// lookupResult is how the version of a resumed stream was found.
type lookupResult string

// Results of lookups, for metrics.
const (
	// foundHere: the stream is known here. foundElsewhere: another router knows it. onlyVersion: nobody does, but only one
	// version can have begun it. notFound: nobody does, and several can. unnamed: the same, and the client does not name it.
	foundHere      lookupResult = "here"
	foundElsewhere lookupResult = "elsewhere"
	onlyVersion    lookupResult = "only_version"
	notFound       lookupResult = "unknown"
	unnamed        lookupResult = "unnamed"
)

// Version implements forward.StreamVersions.
func (d *Directory) Version(ctx context.Context, s forward.StreamRef) (string, bool) {
	version, result := d.version(ctx, s)
	d.metrics.Counter(metrics.StreamLookupsPrefix + string(result)).Inc(1)
	return version, result != notFound && result != unnamed
}

func (d *Directory) version(ctx context.Context, s forward.StreamRef) (string, lookupResult) {
	k, now := keyOf(s), time.Now()
	d.mu.Lock()
	rec, known := d.records.Get(k, now)
	possible := d.possible(s.Service, now)
	d.mu.Unlock()
	if s.ID != "" && known {
		return rec.Version, foundHere
	}
	if s.ID != "" && !possible.Decided() {
		var version string
		if version, possible = d.ask(ctx, s.Service, k, possible); version != "" {
			return version, foundElsewhere
		}
	}
	if len(possible.Versions) == 1 && !possible.Complete {
		kept, ok := d.kept(ctx, s.Service)
		possible = possible.With(streamversion.Possible{Versions: kept, Complete: ok})
	}
	version, ok := possible.Only()
	switch {
	case ok:
		return version, onlyVersion
	case s.ID == "":
		return "", unnamed
	default:
		return "", notFound
	}
}

// possible returns what is possible by the lists that this router has seen. The caller holds mu.
func (d *Directory) possible(service string, now time.Time) streamversion.Possible {
	return streamversion.Possible{Versions: d.seen.Versions(service), Complete: d.seen.Complete(now)}
}

// Updates is signalled when TakeUpdates has something to return.
func (d *Directory) Updates() <-chan struct{} { return d.updated }

// TakeUpdates returns the streams of which the others are to be told.
func (d *Directory) TakeUpdates() []Update {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Update, 0, len(d.pending))
	for k := range d.pending {
		if rec, ok := d.records.Get(k, now); ok {
			out = append(out, Update{Stream: k, Record: rec})
		}
	}
	clear(d.pending)
	return out
}

// Receive takes the versions of streams from another router.
func (d *Directory) Receive(updates []Update) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range updates {
		if u.Version == "" || !d.records.Put(u.Stream, u.Record, now) {
			continue
		}
		for _, l := range d.lookups[u.Stream] {
			l.found(u.Version)
		}
	}
}

// Answer answers another router that asks for a stream of a service: with its version or, if that is not known, with the
// versions seen.
func (d *Directory) Answer(service string, k streamversion.Key) (u Update, unknown Unknown, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	rec, known := d.records.Get(k, now)
	if known {
		return Update{Stream: k, Record: rec}, Unknown{}, true
	}
	return Update{}, Unknown{Stream: k, Possible: d.possible(service, now)}, false
}

// Expire drops what is no longer needed.
func (d *Directory) Expire() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.Expire(now)
	for k := range d.own {
		if _, ok := d.records.Get(k, now); !ok {
			delete(d.own, k)
		}
	}
}
