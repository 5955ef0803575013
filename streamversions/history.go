package streamversions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// TableName is the table of the platform's store that keeps which versions of a service were seen lately, for routers
// that start when no other one has seen them: one row for each service, with its name as the key. The only version of a service is
// kept as well: it may be replaced while all routers are gone.
const TableName = "versions"

// historyRow is the value of a row.
type historyRow struct {
	Versions []string `json:"versions"`
}

// maxHistoryVersions bounds the versions in a row.
const maxHistoryVersions = 64

// History is that table.
type History struct{ table store.Table }

// NewHistory returns the history in a table; nil without a table.
func NewHistory(t store.Table) *History {
	if t == nil {
		return nil
	}
	return &History{table: t}
}

// Versions returns the versions of a service that were last kept, in order; none if none were kept.
func (h *History) Versions(ctx context.Context, service string) ([]string, error) {
	versions, _, err := h.read(ctx, service)
	return versions, err
}

func (h *History) read(ctx context.Context, service string) (versions []string, rowVersion uint64, err error) {
	row, err := h.table.Get(ctx, service)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var value historyRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return nil, row.Version, fmt.Errorf("versions of service %q: %w: %w", service, store.ErrMalformed, err)
	}
	return value.Versions, row.Version, nil
}

// Keep writes the versions of a service, unless they are kept already. Those that are kept stay unless the router that writes
// has missed none (complete). It returns what is kept then. A row that can't be decoded is replaced.
func (h *History) Keep(ctx context.Context, service string, versions []string, complete bool) ([]string, error) {
	kept, rowVersion, err := h.read(ctx, service)
	if err != nil && !errors.Is(err, store.ErrMalformed) {
		return nil, err
	}
	if !complete {
		versions = streamversion.Union(versions, kept)
	}
	if err == nil && slices.Equal(kept, versions) {
		return versions, nil
	}
	value, err := json.Marshal(historyRow{Versions: versions[:min(len(versions), maxHistoryVersions)]})
	if err != nil {
		return nil, err
	}
	return versions, h.table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: service, Version: rowVersion}},
		Writes: []store.Write{{Key: service, Value: value}},
	})
}

// historyOf returns the versions of a service in the history. It returns false if that is not possible.
func (d *Directory) historyOf(ctx context.Context, service string) ([]string, bool) {
	if d.History == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	versions, err := d.History.Versions(ctx, service)
	return versions, err == nil
}

// KeepHistory keeps in the store which versions of each service were seen, until ctx ends.
func (d *Directory) KeepHistory(ctx context.Context, calls StoreCalls) {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.historyDue:
		}
		for service := range d.dueHistory(calls.Writes()) {
			err := d.syncHistory(ctx, service)
			if ctx.Err() != nil {
				return
			}
			calls.Report(err)
			if err == nil {
				failures = 0
				continue
			}
			failures++
			calls.BackOff(failures)
		}
	}
}

// syncHistory reads the row of a service that was not read yet, and writes it if it has to be written.
func (d *Directory) syncHistory(ctx context.Context, service string) error {
	d.mu.Lock()
	_, read := d.stored[service]
	d.mu.Unlock()
	if !read {
		versions, err := d.History.Versions(ctx, service)
		if err != nil && !errors.Is(err, store.ErrMalformed) {
			return err
		}
		d.adoptHistory(service, versions)
		return nil
	}
	d.mu.Lock()
	versions, complete := d.seen.Versions(service), d.seen.Current(d.Clock())
	d.mu.Unlock()
	kept, err := d.History.Keep(ctx, service, versions, complete)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// Another router has written the row; it is read again with the next list.
		d.mu.Lock()
		delete(d.stored, service)
		d.mu.Unlock()
		return nil
	}
	if err == nil {
		d.setStored(service, kept)
	}
	return err
}

// adoptHistory takes the versions kept of a service: a router that has just started may have missed them, and the streams
// that it begins are not the only ones of their service.
func (d *Directory) adoptHistory(service string, versions []string) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stored[service] = versions
	for _, v := range versions {
		d.seen.Observe(service, v, now)
	}
	d.updateSeveral(service)
	d.noteHistory()
}

// dueHistory returns the services whose row is to be read, or to be written if this process writes: those that were kept with
// others than are seen now.
func (d *Directory) dueHistory(writes bool) map[string]bool {
	if d.History == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	due := map[string]bool{}
	for service := range d.several {
		_, read := d.stored[service]
		if !read && len(d.seen.Versions(service)) > 0 || read && writes && d.historyDiffers(service) {
			due[service] = true
		}
	}
	return due
}

// historyDiffers reports whether the history of a service has to be written. The caller holds mu.
func (d *Directory) historyDiffers(service string) bool {
	seen, kept := d.seen.Versions(service), d.stored[service]
	if len(seen) == 0 || slices.Equal(seen, kept) {
		return false
	}
	return d.seen.Current(d.Clock()) || slices.ContainsFunc(seen, func(v string) bool { return !slices.Contains(kept, v) })
}

func (d *Directory) setStored(service string, versions []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stored[service] = versions
}

// noteHistory signals KeepHistory if a service's history has to be read or written. The caller holds mu.
func (d *Directory) noteHistory() {
	for service, several := range d.several {
		if _, read := d.stored[service]; !read || several || d.historyDiffers(service) {
			notify.Send(d.historyDue)
			return
		}
	}
}
