package streamversions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"

	"github.com/hibiscusspur/hibiscusspur/internal/notify"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// TableName is the table of the platform's store that keeps which versions of a service were seen lately, for routers
// that start when no other one has seen them: one row for each service that has had several, with its name as the key.
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

// Versions returns the versions of a service that were last kept, in order; none if there were never several.
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

// Keep writes the versions of a service, unless they are kept already. A row that can't be decoded is replaced.
func (h *History) Keep(ctx context.Context, service string, versions []string) error {
	kept, rowVersion, err := h.read(ctx, service)
	if err != nil && !errors.Is(err, store.ErrMalformed) {
		return err
	}
	if err == nil && slices.Equal(kept, versions) {
		return nil
	}
	value, err := json.Marshal(historyRow{Versions: versions[:min(len(versions), maxHistoryVersions)]})
	if err != nil {
		return err
	}
	return h.table.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: service, Version: rowVersion}},
		Writes: []store.Write{{Key: service, Value: value}},
	})
}

// kept returns the versions of a service in the history. It returns false if that is not possible.
func (d *Directory) kept(ctx context.Context, service string) ([]string, bool) {
	if d.History == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	versions, err := d.History.Versions(ctx, service)
	if err != nil {
		return nil, false
	}
	d.setStored(service, versions)
	return versions, true
}

// KeepHistory keeps in the store which versions of each service were seen, until ctx ends. writes reports whether this
// process is one of the few that write for all routers. KeepHistory calls report with the result of each call, and
// backOff after a failed one, with the number of consecutive failures.
func (d *Directory) KeepHistory(ctx context.Context, writes func() bool, report func(error), backOff func(failures int)) {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.historyDue:
		}
		for service, versions := range d.dueHistory(writes()) {
			err := d.History.Keep(ctx, service, versions)
			if ctx.Err() != nil {
				return
			}
			var conflict *store.ConflictError
			if errors.As(err, &conflict) {
				// Another router has written the row; it is read again with the next list.
				err = nil
			} else if err == nil {
				d.setStored(service, versions)
			}
			report(err)
			if err == nil {
				failures = 0
				continue
			}
			failures++
			backOff(failures)
		}
	}
}

// dueHistory returns the versions of the services whose row is to be written: those that have several, and those that
// were kept with others than are seen now.
func (d *Directory) dueHistory(writes bool) map[string][]string {
	if !writes || d.History == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]string{}
	for service := range d.historyDiffs() {
		out[service] = d.seen.Versions(service)
	}
	return out
}

// historyDiffs iterates over the services whose history has to be written. The caller holds mu.
func (d *Directory) historyDiffs() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, services := range []iter.Seq[string]{maps.Keys(d.several), maps.Keys(d.stored)} {
			for service := range services {
				if d.historyDiffers(service) && !yield(service) {
					return
				}
			}
		}
	}
}

// historyDiffers reports whether the history of a service has to be written. Versions are removed from it only by a
// router that has read lists for long enough to know that they are gone. The caller holds mu.
func (d *Directory) historyDiffers(service string) bool {
	seen, kept := d.seen.Versions(service), d.stored[service]
	if slices.Equal(seen, kept) || len(seen) < 2 && len(kept) < 2 {
		return false
	}
	return d.seen.Current(d.Clock()) || !slices.ContainsFunc(kept, func(v string) bool { return !slices.Contains(seen, v) })
}

func (d *Directory) setStored(service string, versions []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stored[service] = versions
}

// noteHistory signals KeepHistory if a service's history has to be written. The caller holds mu.
func (d *Directory) noteHistory() {
	for range d.historyDiffs() {
		notify.Send(d.historyDue)
		return
	}
}
