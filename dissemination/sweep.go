package dissemination

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Bounds of a Sweeper.
const (
	// SweepBatchRows is the maximum number of rows that one transaction deletes.
	SweepBatchRows = 100
	// MinLogRows is how many of the newest log rows are kept regardless of age, for
	// readers that catch up from the log.
	MinLogRows = maxLogReads
	// maxConsecutiveFailures is how many calls in a row may fail before a sweep aborts.
	maxConsecutiveFailures = 5
	// retryDelay is the delay after a failed call.
	retryDelay = time.Second
)

// SweepCounts counts the rows whose deletion by a Sweeper the platform has
// acknowledged.
type SweepCounts struct {
	LogRows       int `json:"log_rows"`
	Tombstones    int `json:"tombstones"`
	Confirmations int `json:"confirmations"`
}

// Sweeper deletes rows of the table that no reader needs any more. It never deletes
// the head, a live record or a row that was rewritten since it was read. Several
// sweepers may run concurrently, and an interrupted sweep may be run again.
type Sweeper struct {
	table    store.Table
	interval time.Duration
	counts   SweepCounts
}

// NewSweeper returns a sweeper that waits for interval after each transaction.
func NewSweeper(table store.Table, interval time.Duration) *Sweeper {
	return &Sweeper{table: table, interval: interval}
}

// Sweep deletes the log rows written before logBefore, then the tombstones of
// revisions that are no longer in the log, then the confirmations written before
// confirmedBefore. The log is trimmed first because readers assume that all
// tombstones from the beginning of the log on are present. Rows deleted before an
// error stay deleted.
func (s *Sweeper) Sweep(ctx context.Context, logBefore, confirmedBefore time.Time) (SweepCounts, error) {
	err := s.sweepAll(ctx, logBefore, confirmedBefore)
	return s.counts, err
}

func (s *Sweeper) sweepAll(ctx context.Context, logBefore, confirmedBefore time.Time) error {
	head, _, err := ReadHead(ctx, s.table)
	if err != nil {
		return err
	}
	if err := s.sweepPrefix(ctx, LogPrefix, &s.counts.LogRows, oldLogRows(logBefore, head.Revision)); err != nil {
		return err
	}
	begin, err := LogBegin(ctx, s.table)
	if err != nil {
		return err
	}
	for _, prefix := range []string{ContractPrefix, BackendPrefix} {
		if err := s.sweepPrefix(ctx, prefix, &s.counts.Tombstones, tombstonesBelow(begin)); err != nil {
			return err
		}
	}
	return s.sweepPrefix(ctx, ConfirmPrefix, &s.counts.Confirmations, confirmationsBefore(confirmedBefore))
}

// rowAction is the decision of a rule on a row.
type rowAction int

const (
	keepRow rowAction = iota
	deleteRow
	// keepRemaining keeps the row and all rows after it.
	keepRemaining
)

type rowRule func(store.Row) (rowAction, error)

// oldLogRows deletes from the beginning of the log up to the first row that is
// not older than before, is among the MinLogRows newest or has an unreadable time.
func oldLogRows(before time.Time, head uint64) rowRule {
	return func(row store.Row) (rowAction, error) {
		var e LogEntry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return keepRemaining, merry.Prependf(err, "decode row %s", row.Key)
		}
		t, err := time.Parse(time.RFC3339, e.Time)
		if err != nil || !t.Before(before) || e.Revision+MinLogRows > head {
			return keepRemaining, nil
		}
		return deleteRow, nil
	}
}

func tombstonesBelow(begin uint64) rowRule {
	return func(row store.Row) (rowAction, error) {
		var r StoredRecord
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return keepRemaining, merry.Prependf(err, "decode row %s", row.Key)
		}
		if r.Deleted && r.Revision < begin {
			return deleteRow, nil
		}
		return keepRow, nil
	}
}

func confirmationsBefore(before time.Time) rowRule {
	return func(row store.Row) (rowAction, error) {
		var c Confirmation
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return keepRemaining, merry.Prependf(err, "decode row %s", row.Key)
		}
		if c.Time.Before(before) {
			return deleteRow, nil
		}
		return keepRow, nil
	}
}

// sweepPrefix deletes the rows with prefix that rule selects, page by page, and adds
// their number to n. A page is read again after a failed call or a conflict.
func (s *Sweeper) sweepPrefix(ctx context.Context, prefix string, n *int, rule rowRule) error {
	after, failures := "", 0
	for {
		p, err := s.readPage(ctx, prefix, after, rule)
		if err == nil {
			err = s.delete(ctx, p.expired)
		}
		switch {
		case err == nil:
			failures = 0
			*n += len(p.expired)
			after = p.last
			if p.isLast {
				return nil
			}
		case isConflict(err): // another process changed a row; read the page again
			sleep.For(ctx, retryDelay)
		case isTransient(err) && failures < maxConsecutiveFailures:
			failures++
			sleep.For(ctx, retryDelay)
		default:
			return err
		}
		if ctx.Err() != nil {
			return merry.Prepend(ctx.Err(), "interrupted")
		}
	}
}

// page is the result of reading one page of rows: those to delete, the last key
// decided and whether the sweep of the prefix ends here.
type page struct {
	expired []store.Row
	last    string
	isLast  bool
}

func (s *Sweeper) readPage(ctx context.Context, prefix, after string, rule rowRule) (page, error) {
	rows, err := s.table.List(ctx, prefix, after, SweepBatchRows)
	p := page{isLast: len(rows) < SweepBatchRows}
	if err != nil {
		return p, err
	}
	for _, row := range rows {
		action, err := rule(row)
		if err != nil {
			return p, err
		}
		if action == keepRemaining {
			p.isLast = true
			break
		}
		if action == deleteRow {
			p.expired = append(p.expired, row)
		}
		p.last = row.Key
	}
	return p, nil
}

// delete deletes rows if none was written since it was read, then waits for the
// interval.
func (s *Sweeper) delete(ctx context.Context, rows []store.Row) error {
	if len(rows) == 0 {
		return nil
	}
	var t store.Txn
	for _, row := range rows {
		t.Checks = append(t.Checks, store.Check{Key: row.Key, Version: row.Version})
		t.Writes = append(t.Writes, store.Write{Key: row.Key, Delete: true})
	}
	if err := s.table.Commit(ctx, t); err != nil {
		return err
	}
	sleep.For(ctx, s.interval)
	return nil
}

// isTransient reports whether a retry may succeed after err.
func isTransient(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrIndeterminate)
}
