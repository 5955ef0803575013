package streamversions

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
)

const (
	// minKeepInterval is the least time between two writes of one router while a service has several versions: most streams
	// last for longer, so that few of those that are in progress when all routers are lost were not kept.
	minKeepInterval = 250 * time.Millisecond
	// keepWritesPerSecond bounds the writes of all routers together: a fifth of what the platform's store takes.
	keepWritesPerSecond = 80
	// oneVersionInterval is the least time between two writes of one router while each service has one version: what it
	// keeps is needed only if all routers are lost as the next one begins, and each call has its price.
	oneVersionInterval = time.Second
	// removeInterval is the interval at which rows of routers that are gone are looked for.
	removeInterval = 30 * time.Second
)

// keepInterval returns the time between two writes of one router among a number of them, while a service has several
// versions.
func keepInterval(routers int) time.Duration {
	return max(minKeepInterval, time.Duration(routers)*time.Second/keepWritesPerSecond)
}

// StoreCalls is what a goroutine that calls the store in the background reports to its process.
type StoreCalls struct {
	// Writes reports whether this process is one of the few that write for all routers.
	Writes func() bool
	// Report is called with the result of each call, BackOff after a failed one, with the number of consecutive failures.
	Report  func(error)
	BackOff func(failures int)
}

// KeepStreams keeps in the store at which versions streams were begun, until ctx ends: those of this router while a service
// has several versions, and otherwise those of all if it is a keeper. A service may get its next version while all routers
// are gone. KeepStreams removes the rows of routers that are gone if this process writes for all.
func (d *Directory) KeepStreams(ctx context.Context, calls StoreCalls) {
	if d.Rows == nil {
		return
	}
	remove := time.NewTicker(removeInterval)
	defer remove.Stop()
	failures, othersLeft := 0, false
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-d.rowDue:
			err = d.Rows.write(ctx, d.kept())
		case <-remove.C:
			if !calls.Writes() || !othersLeft && !d.keeps() {
				continue
			}
			othersLeft, err = d.Rows.removeOld(ctx, time.Now())
		}
		if ctx.Err() != nil {
			return
		}
		calls.Report(err)
		if err != nil {
			failures++
			notify.Send(d.rowDue)
			calls.BackOff(failures)
			continue
		}
		failures = 0
		d.pause(ctx)
	}
}

// pause waits until the next write may follow.
func (d *Directory) pause(ctx context.Context) {
	began := time.Now()
	sleep.For(ctx, keepInterval(len(d.Network.Others())+1))
	rest := time.NewTimer(oneVersionInterval - time.Since(began))
	defer rest.Stop()
	for !d.hasSeveral() {
		select {
		case <-ctx.Done():
			return
		case <-d.severalSeen:
		case <-rest.C:
			return
		}
	}
}

// kept returns the streams of which the store is to know, those that may be resumed longest first.
func (d *Directory) kept() (out []Update) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	add := func(k streamversion.Key) {
		if rec, ok := d.records.Get(k, now); ok {
			out = append(out, Update{Stream: k, Record: rec})
		}
	}
	for k := range d.own {
		add(k)
	}
	for k := range d.entrusted {
		if _, ok := d.own[k]; !ok {
			add(k)
		}
	}
	slices.SortFunc(out, func(a, b Update) int { return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.Stream, b.Stream)) })
	return out
}

// keeps reports whether this router has streams that the store is to know.
func (d *Directory) keeps() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.own)+len(d.entrusted) > 0
}

func (d *Directory) hasSeveral() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.anySeveral()
}

// anySeveral reports whether a service has several versions. The caller holds mu.
func (d *Directory) anySeveral() bool {
	for _, several := range d.several {
		if several {
			return true
		}
	}
	return false
}

// StoreRestored is called when the store was restored from a copy, which may lack what was kept last.
func (d *Directory) StoreRestored() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.stored)
	d.noteHistory()
	notify.Send(d.rowDue)
}

// readRows takes what the store keeps of streams. Readings that are asked for while one is made share the next one.
func (d *Directory) readRows(ctx context.Context) error {
	return d.rowsCall.Do(ctx, func(time.Duration) (bool, error) {
		streams, err := d.Rows.read(ctx)
		d.put(streams)
		return err == nil, err
	})
}
