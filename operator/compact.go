package operator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Bounds of a compaction.
const (
	// MinKeepLog is the least age of log rows that are deleted, so that a change whose
	// answer was lost can still be settled.
	MinKeepLog = time.Hour
	// KeepConfirmations is the age from which a process that does not confirm any
	// more counts as gone.
	KeepConfirmations = 24 * time.Hour
	// maxCompactConflicts is how often in a row others may commit in between.
	maxCompactConflicts = 10
)

// CompactOptions say what a compaction keeps.
type CompactOptions struct {
	// Keep is how long the record of a retired backend server stays.
	Keep time.Duration
	// KeepLog is how long log rows stay, and with them the traces of deleted records.
	KeepLog time.Duration
	// Pause is the rest after each transaction.
	Pause time.Duration
	// Step bounds each transaction of removals, with settling a lost answer.
	Step time.Duration
}

// Check refuses options that would lose what is still needed.
func (c CompactOptions) Check() error {
	switch {
	case c.Keep < 0 || c.Pause < 0:
		return badInput("--keep and --pause must not be negative")
	case c.KeepLog < max(c.Keep, MinKeepLog):
		return badInput("--keep-log must be at least --keep and at least %v, is %v", MinKeepLog, c.KeepLog)
	}
	return nil
}

// CompactResult is what a compaction has done.
type CompactResult struct {
	// Removed are the backend servers whose records were removed.
	Removed []string `json:"removed"`
	dissemination.SweepCounts
	// Head is the newest revision, LogBegins the oldest that the log still holds.
	Head      uint64 `json:"head"`
	LogBegins uint64 `json:"log_begins"`
}

// Expired returns the ids of the backend servers retired for longer than keep, by
// the time in the log, oldest first, and the head for which that holds. A record whose log row was
// deleted counts as older.
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
	times := make(map[uint64]bool)
	var ids []string
	for _, key := range keys {
		revision := s.Records[key].Revision
		old, known := times[revision]
		if !known {
			var err error
			if old, err = o.writtenBefore(ctx, revision, before); err != nil {
				return nil, err
			}
			times[revision] = old
		}
		if !old {
			break // those that follow were retired later
		}
		ids = append(ids, strings.TrimPrefix(key, dissemination.BackendPrefix))
	}
	return ids, nil
}

// retiredKeys returns the keys of the records of retired backend servers.
func (s *Snapshot) retiredKeys() []string {
	return slices.DeleteFunc(s.liveKeys(dissemination.BackendPrefix), func(key string) bool {
		if !strings.Contains(s.Records[key].Body, "retired") {
			return true // most records; saves parsing them
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

// Compact removes the records of servers retired long ago, in changes of at most
// dissemination.SweepBatchRows records, and then deletes old log rows, tombstones and
// confirmations. When it fails part-way, the error is a *PartialError, what was
// done stands and it may be run again. Two may run at once.
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
	sweeper := dissemination.NewSweeper(o.table, opts.Pause)
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
		if err := rest(ctx, opts.Pause); err != nil {
			return err
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

// logBounds returns the head and the oldest revision that the log holds.
func (o *Operator) logBounds(ctx context.Context) (head, begin uint64, err error) {
	h, _, err := dissemination.ReadHead(ctx, o.table)
	if err != nil {
		return 0, 0, err
	}
	begin, err = dissemination.LogBegin(ctx, o.table)
	return h.Revision, begin, err
}

func rest(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
