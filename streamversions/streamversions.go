// Package streamversions keeps at which software version streams were begun that clients may resume, and finds that out
// for streams that other routers have begun.
//
// Each router keeps the streams that it began. While engines of several versions of a service are listed, it tells some
// others of each (all, if there are few), so that the stream is known when the router is lost, and writes them to the store
// for when all are lost. While all engines of each service have one version it tells a few keepers, which write the streams
// of all to the store now and then. A router that does not know a stream asks those that should, and the store.
package streamversions

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hibiscusspur/hibiscusspur/clock"
	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/internal/shared"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// Lists reads the list of servers. It is safe for concurrent use.
type Lists interface {
	// ReadServers reads the list from the store after it was called. Before it returns, the directory has observed the list
	// and recorded the reading.
	ReadServers(ctx context.Context) error
}

// Network reaches the other routers. Messages may be lost.
type Network interface {
	// Others returns the addresses of the other routers that communicate.
	Others() []string
	// Keepers returns those of them that keep the streams of all in the store while each service has one version; none if
	// this router is one, or reaches none.
	Keepers() []string
	// Ask sends a query to routers. Their answers are passed to Receive and ReceiveUnknown.
	Ask(to []string, q Query)
}

// Query asks for the version of a stream of a service.
type Query struct {
	Stream  streamversion.Key
	Service string
	// Number distinguishes the queries of a router: a late answer to an earlier one proves nothing of what is listed now.
	Number uint64
}

// Update is the version of one stream, for other routers.
type Update struct {
	Stream streamversion.Key
	streamversion.Record
}

// Unknown is the answer of a router that does not know a stream: what is possible by the lists that it has seen.
type Unknown struct {
	Stream streamversion.Key
	// Query is the number of the query; zero from routers that don't repeat it.
	Query uint64
	streamversion.Possible
}

// Config are the dependencies of a directory.
type Config struct {
	Network Network
	// Lists reads lists; without it, nil, only other routers' readings count.
	Lists Lists
	// History is what routers know that start when no other one has seen lists for long. Without it, nil, such routers turn
	// streams away that nobody knows.
	History *History
	// Rows keep streams for when all routers lose their memory; without them, nil, such streams are turned away once their
	// service has several versions.
	Rows    *StreamRows
	Metrics *metrics.Set
	// Clock continues while the VM is suspended; nil stands for that of package clock.
	Clock func() time.Duration
}

// Directory is the local knowledge of one router. It implements forward.StreamVersions and is safe for concurrent use.
type Directory struct {
	Config
	// updated is signalled when TakeUpdates has something to return, historyDue and rowDue when KeepHistory and KeepStreams
	// have something to write.
	updated, historyDue, rowDue chan struct{}
	// severalSeen is signalled when a service gets a second version.
	severalSeen chan struct{}
	// rowsCall reads the rows.
	rowsCall *shared.Call

	mu      sync.Mutex
	records *streamversion.Records
	seen    *streamversion.Seen
	// own are the services of the streams that this router began or resumed.
	own map[streamversion.Key]string
	// pending are those of them of which the others are to be told, unkept those that the keepers are to keep.
	pending, unkept map[streamversion.Key]struct{}
	// entrusted are streams of other routers that this one keeps in the store.
	entrusted map[streamversion.Key]struct{}
	// several are the services that were listed, set for those of which more than one version was seen when the list was last
	// observed.
	several map[string]bool
	lookups map[streamversion.Key][]*lookup
	// known are the other routers that may have begun streams since the list was last confirmed, with the time at which each
	// last communicated.
	known map[string]time.Duration
	// stored are the versions of each service in the history, as last read or written here.
	stored map[string][]string
}

var _ forward.StreamVersions = (*Directory)(nil)

// New returns an empty directory.
func New(c Config) *Directory {
	if c.Clock == nil {
		c.Clock = clock.Uptime
	}
	return &Directory{
		Config: c, updated: make(chan struct{}, 1), historyDue: make(chan struct{}, 1), rowDue: make(chan struct{}, 1), severalSeen: make(chan struct{}, 1), rowsCall: shared.New(c.Clock),
		records: streamversion.NewRecords(), seen: streamversion.NewSeen(), known: map[string]time.Duration{},
		own: map[streamversion.Key]string{}, pending: map[streamversion.Key]struct{}{},
		unkept: map[streamversion.Key]struct{}{}, entrusted: map[streamversion.Key]struct{}{}, several: map[string]bool{},
		lookups: map[streamversion.Key][]*lookup{}, stored: map[string][]string{},
	}
}

// RecordReading records that the list was read from the store by a call made at a time of the directory's clock. Observe
// has taken what was read.
func (d *Directory) RecordReading(at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen.RecordReading(at)
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
		d.updateSeveral(s.Service)
	}
	d.noteHistory()
}

// updateSeveral has the others told of the streams of a service if it now has several versions. The caller holds mu.
func (d *Directory) updateSeveral(service string) {
	several := d.seen.Several(service)
	if known, ok := d.several[service]; ok && known == several {
		return
	}
	d.several[service] = several
	if !several {
		return
	}
	notify.Send(d.severalSeen)
	notify.Send(d.rowDue)
	for k, of := range d.own {
		if of == service {
			d.tell(k)
		}
	}
}

// Begun implements forward.StreamVersions.
func (d *Directory) Begun(s forward.StreamRef, version string, until time.Time) {
	k, now := keyOf(s), time.Now()
	keepers := d.Network.Keepers()
	if most := now.Add(MaxStreamLeft); until.After(most) {
		until = most
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen.Observe(s.Service, version, now)
	if !d.records.Put(k, streamversion.Record{Version: version, Until: until}, now) {
		d.Metrics.Counter(metrics.StreamRecordsDropped).Inc(1)
		return
	}
	d.own[k] = s.Service
	if len(keepers) > 0 && !d.anySeveral() {
		d.unkept[k] = struct{}{}
		notify.Send(d.updated)
	} else {
		notify.Send(d.rowDue)
	}
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
	d.Metrics.Counter(metrics.StreamLookupsPrefix + string(result)).Inc(1)
	return version, result != notFound && result != unnamed
}

func (d *Directory) version(ctx context.Context, s forward.StreamRef) (string, lookupResult) {
	k := keyOf(s)
	d.mu.Lock()
	rec, known := d.records.Get(k, time.Now())
	possible := d.possible(s.Service)
	d.mu.Unlock()
	if s.ID != "" && known {
		return rec.Version, foundHere
	}
	if len(possible.Versions) == 0 && possible.Unversioned {
		return "", onlyVersion
	}
	l := d.startLookup(s, k, possible)
	defer d.forget(k, l)
	d.resolve(ctx, l)
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.version != "" {
		return l.version, foundElsewhere
	}
	version, ok := l.possible.Only()
	if l.agreed() {
		version, ok = l.possible.Agreed()
	}
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
func (d *Directory) possible(service string) streamversion.Possible {
	return streamversion.Possible{
		Versions: d.seen.Versions(service), Unversioned: d.seen.Unversioned(service), Complete: d.seen.Complete(time.Now()), Current: d.seen.Current(d.Clock()),
	}
}

// Expire drops what is no longer needed. confirmed is set if the list in force is known to have been read a moment ago, so
// that other routers that are gone since long have begun no stream at a version that is not listed here.
func (d *Directory) Expire(confirmed bool) {
	now, at, others := time.Now(), d.Clock(), d.Network.Others()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.Expire(now)
	before := len(d.own) + len(d.entrusted)
	expired := func(k streamversion.Key) bool { _, known := d.records.Get(k, now); return !known }
	maps.DeleteFunc(d.own, func(k streamversion.Key, _ string) bool { return expired(k) })
	maps.DeleteFunc(d.entrusted, func(k streamversion.Key, _ struct{}) bool { return expired(k) })
	if before > 0 && len(d.own)+len(d.entrusted) == 0 {
		notify.Send(d.rowDue)
	}
	for _, addr := range others {
		d.known[addr] = at
	}
	if confirmed {
		maps.DeleteFunc(d.known, func(_ string, last time.Duration) bool { return at-last > streamversion.Window })
	}
}
