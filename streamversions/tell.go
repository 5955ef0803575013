package streamversions

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
)

// tell marks a stream to be told. The caller holds mu.
func (d *Directory) tell(k streamversion.Key) {
	d.pending[k] = struct{}{}
	notify.Send(d.updated)
}

// Updates is signalled when TakeUpdates has something to return.
func (d *Directory) Updates() <-chan struct{} { return d.updated }

// TakeUpdates returns the streams of which the others are to be told, and those of which the keepers are.
func (d *Directory) TakeUpdates() (told, kept []Update) {
	if len(d.Network.Keepers()) == 0 {
		// The streams that other keepers were to keep are this one's to keep now.
		notify.Send(d.rowDue)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.take(d.pending), d.take(d.unkept)
}

// take empties a set of streams and returns what is known of them. The caller holds mu.
func (d *Directory) take(set map[streamversion.Key]struct{}) []Update {
	now := time.Now()
	out := make([]Update, 0, len(set))
	for k := range set {
		if rec, ok := d.records.Get(k, now); ok {
			out = append(out, Update{Stream: k, Record: rec})
		}
	}
	clear(set)
	return out
}

// Receive takes the versions of streams from another router. A keeper keeps them in the store unless the routers do so
// themselves.
func (d *Directory) Receive(updates []Update) {
	keeps := d.Rows != nil && len(updates) > 0 && len(d.Network.Keepers()) == 0
	d.put(updates)
	if !keeps {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.anySeveral() {
		return
	}
	for _, u := range updates {
		d.entrusted[u.Stream] = struct{}{}
	}
	notify.Send(d.rowDue)
}

// put takes the versions of streams.
func (d *Directory) put(updates []Update) {
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

// Answer answers a query of another router: with the stream's version or, if that is not known, with the
// versions seen.
func (d *Directory) Answer(q Query) (u Update, unknown Unknown, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	rec, known := d.records.Get(q.Stream, now)
	if known {
		return Update{Stream: q.Stream, Record: rec}, Unknown{}, true
	}
	return Update{}, Unknown{Stream: q.Stream, Query: q.Number, Possible: d.possible(q.Service)}, false
}
