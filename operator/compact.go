package operator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Bounds of a compaction.
const (
	// MinKeepLog is the minimum retention of log rows. They are needed to find out
	// whether a change was committed whose response was lost.
	MinKeepLog = time.Hour
	// KeepConfirmations is the age at which a confirmation is deleted, since the process
	// that has not renewed it is taken to be gone.
	KeepConfirmations = 24 * time.Hour
	// maxCompactConflicts is the maximum number of consecutive conflicts with other commits.
	maxCompactConflicts = 10
)

// CompactOptions configures a compaction.
type CompactOptions struct {
	// Keep is the retention time of the record of a retired backend server.
	Keep time.Duration
	// KeepLog is the retention time of log rows, and of the tombstones of their revisions.
	KeepLog time.Duration
	// Interval is the delay after each transaction.
	Interval time.Duration
	// Step is the timeout of each transaction that removes records, including the reads that
	// settle its outcome if the response is lost.
	Step time.Duration
}

// Check rejects options that would delete rows that are still needed.
func (c CompactOptions) Check() error {
	switch {
	case c.Keep < 0 || c.Interval < 0:
		return badInput("--keep and --pause must not be negative")
	case c.KeepLog < max(c.Keep, MinKeepLog):
		return badInput("--keep-log must be at least --keep and at least %v, is %v", MinKeepLog, c.KeepLog)
	}
	return nil
}

// CompactResult is the result of a compaction.
type CompactResult struct {
	// Removed are the ids of the backend servers whose records were removed.
	Removed []string `json:"removed"`
	dissemination.SweepCounts
	// Head is the newest revision, LogBegins the oldest one in the log.
	Head      uint64 `json:"head"`
	LogBegins uint64 `json:"log_begins"`
}

// Expired returns the ids of the backend servers that have been retired for longer than
// keep by the timestamps in the log, oldest first, and the head revision that was read.
// A record whose log row was deleted counts as expired.
func (o *Operator) Expired(ctx context.Context, keep time.Duration) ([]string, uint64, error) {
	s, err := ReadSnapshot(ctx, o.table)
	if err != nil {
		return nil, 0, err
	}
	ids, err := o.expired(ctx, s, keep)
	return ids, s.Head.Revision, classify(err)
}

func (o *Operator) expired(ctx context.Context, s *Snapshot, keep time.Duration) ([]string, error) {
	keys := s.retiredKeys()
	slices.SortStableFunc(keys, func(a, b string) int {
		return cmp.Compare(s.Records[a].Revision, s.Records[b].Revision)
	})
	before := o.now().Add(-keep)
	expired := make(map[uint64]bool)
	var ids []string
	for _, key := range keys {
		revision := s.Records[key].Revision
		old, known := expired[revision]
		if !known {
			var err error
			if old, err = o.writtenBefore(ctx, revision, before); err != nil {
				return nil, err
			}
			expired[revision] = old
		}
		if !old {
			break // the remaining ones were retired later
		}
		ids = append(ids, strings.TrimPrefix(key, dissemination.BackendPrefix))
	}
	return ids, nil
}

// retiredKeys returns the keys of the records of retired backend servers.
func (s *Snapshot) retiredKeys() []string {
	return slices.DeleteFunc(s.liveKeys(dissemination.BackendPrefix), func(key string) bool {
		if !strings.Contains(s.Records[key].Body, "retired") {
			return true // skips parsing, as most records are not retired
		}
		b, ok := s.backend(key)
		return !ok || !b.Retired
	})
}

func (o *Operator) writtenBefore(ctx context.Context, revision uint64, before time.Time) (bool, error) {
	e, err := dissemination.ReadLog(ctx, o.table, revision)
	if errors.Is(err, store.ErrNotFound) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	t, err := time.Parse(time.RFC3339, e.Time)
	return err == nil && t.Before(before), nil
}

// Compact removes the records of expired servers, in changes of at most
// dissemination.SweepBatchRows records, and then deletes old log rows, tombstones and
// confirmations. When it fails part-way, the error is a *PartialError, the completed
// steps remain in effect and it may be run again. Two compactions may run concurrently.
func (o *Operator) Compact(ctx context.Context, opts CompactOptions) (*CompactResult, error) {
	if err := opts.Check(); err != nil {
		return nil, err
	}
	r := &CompactResult{Removed: []string{}}
	if err := o.removeExpired(ctx, opts, r); err != nil {
		return r, partial(err)
	}
	now := o.now()
	var err error
	sweeper := dissemination.NewSweeper(o.table, opts.Interval)
	if r.SweepCounts, err = sweeper.Sweep(ctx, now.Add(-opts.KeepLog), now.Add(-KeepConfirmations)); err != nil {
		return r, partial(err)
	}
	if r.Head, r.LogBegins, err = o.logBounds(ctx); err != nil {
		return r, partial(err)
	}
	return r, nil
}

func (o *Operator) removeExpired(ctx context.Context, opts CompactOptions, r *CompactResult) error {
	for conflicts := 0; ; {
		ids, head, err := o.Expired(ctx, opts.Keep)
		if err != nil || len(ids) == 0 {
			return err
		}
		ids = ids[:min(len(ids), dissemination.SweepBatchRows)]
		err = o.remove(ctx, ids, head, opts.Step)
		var conflict *dissemination.ConflictError
		switch {
		case err == nil:
			conflicts = 0
			r.Removed = append(r.Removed, ids...)
		case errors.As(err, &conflict) && conflicts < maxCompactConflicts:
			conflicts++
		default:
			return err
		}
		if !sleep.For(ctx, opts.Interval) {
			return ctx.Err()
		}
	}
}

// remove deletes the records of backend servers as one change.
func (o *Operator) remove(ctx context.Context, ids []string, head uint64, step time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, step)
	defer cancel()
	changes := make(map[string]dissemination.Change, len(ids))
	for _, id := range ids {
		changes[dissemination.BackendPrefix+id] = dissemination.Change{Deleted: true}
	}
	_, err := o.writer.Commit(ctx, o.author, head, changes)
	return err
}

// logBounds returns the head revision and the oldest revision in the log.
func (o *Operator) logBounds(ctx context.Context) (head, begin uint64, err error) {
	h, _, err := dissemination.ReadHead(ctx, o.table)
	if err != nil {
		return 0, 0, err
	}
	begin, err = dissemination.LogBegin(ctx, o.table)
	return h.Revision, begin, err
}
