package dissemination

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// Bounds of a Sweeper.
const (
	// SweepBatchRows is how many rows one transaction of a sweep deletes at most.
	SweepBatchRows = 100
	// MinLogRows is how many of the newest log rows stay whatever their age: those
	// that a reader which is a little behind catches up by.
	MinLogRows = maxLogReads
	// maxFailures is how many calls may fail in a row before a sweep gives up.
	maxFailures = 5
	// failurePause is the pause after a failed call.
	failurePause = time.Second
)

// SweepCounts counts the rows that a Sweeper has deleted, as far as the platform has
// acknowledged it.
type SweepCounts struct {
	LogRows       int `json:"log_rows"`
	Tombstones    int `json:"tombstones"`
	Confirmations int `json:"confirmations"`
}

// Sweeper deletes rows of the table that no reader needs any more. It never
// touches the head, a live record or a row that was rewritten since it was read.
// Several may run at once, and an interrupted one may be started again.
type Sweeper struct {
	table store.Table
	pause time.Duration
	swept SweepCounts
}

// NewSweeper returns a sweeper that rests for pause after each transaction.
func NewSweeper(table store.Table, pause time.Duration) *Sweeper {
	return &Sweeper{table: table, pause: pause}
}

// Sweep deletes the log rows written before logBefore, then the tombstones of
// revisions that the log no longer holds, then the confirmations written before
// confirmedBefore. The log goes first: a reader takes its beginning for the
// revision from which on all tombstones are still there. What was done before an
// error stands.
func (s *Sweeper) Sweep(ctx context.Context, logBefore, confirmedBefore time.Time) (SweepCounts, error) {
	err := s.sweepAll(ctx, logBefore, confirmedBefore)
	return s.swept, err
}

func (s *Sweeper) sweepAll(ctx context.Context, logBefore, confirmedBefore time.Time) error {
	head, _, err := ReadHead(ctx, s.table)
	if err != nil {
		return err
	}
	if err := s.sweep(ctx, LogPrefix, &s.swept.LogRows, oldLogRows(logBefore, head.Revision)); err != nil {
		return err
	}
	begin, err := LogBegin(ctx, s.table)
	if err != nil {
		return err
	}
	for _, prefix := range []string{ContractPrefix, BackendPrefix} {
		if err := s.sweep(ctx, prefix, &s.swept.Tombstones, tombstonesBelow(begin)); err != nil {
			return err
		}
	}
	return s.sweep(ctx, ConfirmPrefix, &s.swept.Confirmations, confirmationsBefore(confirmedBefore))
}

// verdict is what to do with one row.
type verdict int

const (
	keepRow verdict = iota
	deleteRow
	// keepRest keeps the row and all that follow.
	keepRest
)

type judge func(store.Row) (verdict, error)

// oldLogRows deletes from the beginning of the log up to the first row that is
// younger or whose time cannot be read.
func oldLogRows(before time.Time, head uint64) judge {
	return func(row store.Row) (verdict, error) {
		var e LogEntry
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return keepRest, merry.Prependf(err, "decode row %s", row.Key)
		}
		t, err := time.Parse(time.RFC3339, e.Time)
		if err != nil || !t.Before(before) || e.Revision+MinLogRows > head {
			return keepRest, nil
		}
		return deleteRow, nil
	}
}

func tombstonesBelow(begin uint64) judge {
	return func(row store.Row) (verdict, error) {
		var r StoredRecord
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return keepRest, merry.Prependf(err, "decode row %s", row.Key)
		}
		if r.Deleted && r.Revision < begin {
			return deleteRow, nil
		}
		return keepRow, nil
	}
}

func confirmationsBefore(before time.Time) judge {
	return func(row store.Row) (verdict, error) {
		var c Confirmation
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return keepRest, merry.Prependf(err, "decode row %s", row.Key)
		}
		if c.Time.Before(before) {
			return deleteRow, nil
		}
		return keepRow, nil
	}
}

// sweep deletes the rows with prefix that j condemns, page by page, and adds to n.
// A page is read again when a call failed or a row was changed meanwhile.
func (s *Sweeper) sweep(ctx context.Context, prefix string, n *int, j judge) error {
	after, failures := "", 0
	for {
		p, err := s.page(ctx, prefix, after, j)
		if err == nil {
			err = s.delete(ctx, p.condemned)
		}
		switch {
		case err == nil:
			failures = 0
			*n += len(p.condemned)
			after = p.last
			if p.end {
				return nil
			}
		case isConflict(err): // somebody else has got on; read what is left
			sleep(ctx, failurePause)
		case isPassing(err) && failures < maxFailures:
			failures++
			sleep(ctx, failurePause)
		default:
			return err
		}
		if ctx.Err() != nil {
			return merry.Prepend(ctx.Err(), "interrupted")
		}
	}
}

// page is a few rows and the condemned among them.
type page struct {
	condemned []store.Row
	last      string
	end       bool
}

func (s *Sweeper) page(ctx context.Context, prefix, after string, j judge) (page, error) {
	rows, err := s.table.List(ctx, prefix, after, SweepBatchRows)
	p := page{end: len(rows) < SweepBatchRows}
	if err != nil {
		return p, err
	}
	for _, row := range rows {
		v, err := j(row)
		if err != nil {
			return p, err
		}
		if v == keepRest {
			p.end = true
			break
		}
		if v == deleteRow {
			p.condemned = append(p.condemned, row)
		}
		p.last = row.Key
	}
	return p, nil
}

// delete deletes rows if none was written since it was read, and rests.
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
	sleep(ctx, s.pause)
	return nil
}

// isPassing reports whether trying again may help after err.
func isPassing(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrIndeterminate)
}
