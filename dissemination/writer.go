package dissemination

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/internal/sleep"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Bounds of the backoff between attempts to resolve a write whose response was lost.
const (
	minSettleBackoff = 50 * time.Millisecond
	maxSettleBackoff = 2 * time.Second
)

// ErrNoChanges means that Commit was called without changes.
var ErrNoChanges = merry.Sentinel("no changes to commit")

// Change is the new value of a contract or backend row.
type Change struct {
	// Body is the record as YAML. A deleted record keeps its row as a tombstone with
	// an empty body, so that its revision is not lost.
	Body    string
	Deleted bool
}

// Writer commits changes of the configuration with optimistic concurrency control:
// every change is one transaction that fails if the head is no longer the one that
// the operator saw. It is safe for concurrent use.
type Writer struct {
	table    store.Table
	changeID func() string
	now      func() time.Time
}

// NewWriter returns a writer to table. changeID returns a new unique id for each
// change; now returns the time that is written to the log.
func NewWriter(table store.Table, changeID func() string, now func() time.Time) *Writer {
	return &Writer{table: table, changeID: changeID, now: now}
}

// Commit writes changes, by row key, as the revision after expectHead and returns
// that revision. The error is a *ConflictError if another change was committed
// first and an *UnknownOutcomeError if the response was lost and ctx ended before
// the outcome was resolved. Any other error means that nothing was written.
func (w *Writer) Commit(ctx context.Context, author string, expectHead uint64, changes map[string]Change) (uint64, error) {
	if len(changes) == 0 {
		return 0, ErrNoChanges
	}
	head, version, err := ReadHead(ctx, w.table)
	if err != nil {
		return 0, merry.Prepend(err, "read head")
	}
	if head.Revision != expectHead {
		return 0, w.Conflict(ctx, expectHead, changes)
	}
	entry := w.newLogEntry(author, expectHead+1, changes)
	txn, err := transaction(entry, version)
	if err != nil {
		return 0, err
	}
	if err := ctx.Err(); err != nil {
		return 0, merry.Prepend(err, "nothing was written")
	}
	err = w.table.Commit(ctx, txn)
	switch {
	case err == nil:
		return entry.Revision, nil
	case isConflict(err):
		return 0, w.Conflict(ctx, expectHead, changes)
	case hadNoEffect(err):
		return 0, merry.Prepend(err, "commit")
	default:
		return w.resolveOutcome(ctx, entry, txn, changes, err)
	}
}

// resolveOutcome determines whether a transaction whose response was lost was
// committed. The log row of a revision is written only once, so its change id is
// decisive. While there is no such row, the transaction may still be in flight;
// sending it again is safe, since at most one of the two passes the check of the head.
func (w *Writer) resolveOutcome(ctx context.Context, entry LogEntry, txn store.Txn, changes map[string]Change, cause error) (uint64, error) {
	for backoff := minSettleBackoff; ; backoff = min(2*backoff, maxSettleBackoff) {
		found, err := ReadLog(ctx, w.table, entry.Revision)
		switch {
		case err == nil && found.ChangeID == entry.ChangeID:
			return entry.Revision, nil
		case err == nil:
			return 0, w.Conflict(ctx, entry.Revision-1, changes)
		case errors.Is(err, store.ErrNotFound) && ctx.Err() == nil:
			if w.table.Commit(ctx, txn) == nil {
				return entry.Revision, nil
			}
		}
		if !sleep.For(ctx, backoff) {
			return 0, &UnknownOutcomeError{Revision: entry.Revision, ChangeID: entry.ChangeID, Cause: cause}
		}
	}
}

func (w *Writer) newLogEntry(author string, revision uint64, changes map[string]Change) LogEntry {
	e := LogEntry{
		Revision: revision,
		ChangeID: w.changeID(),
		Author:   author,
		Time:     w.now().UTC().Format(time.RFC3339),
		Records:  make(map[string]StoredRecord, len(changes)),
	}
	for key, c := range changes {
		e.Records[key] = StoredRecord{Revision: revision, Body: c.Body, Deleted: c.Deleted}
	}
	return e
}

// transaction builds the transaction that commits e if the head row is at version.
func transaction(e LogEntry, version uint64) (store.Txn, error) {
	logKey := LogKey(e.Revision)
	// The check of the log row prevents overwriting history if the head row was ever reset.
	t := store.Txn{Checks: []store.Check{{Key: HeadKey, Version: version}, {Key: logKey, Version: 0}}}
	if err := addWrite(&t, HeadKey, Head{Revision: e.Revision, ChangeID: e.ChangeID}); err != nil {
		return t, err
	}
	if err := addWrite(&t, logKey, e); err != nil {
		return t, err
	}
	for _, key := range slices.Sorted(maps.Keys(e.Records)) {
		if err := addWrite(&t, key, e.Records[key]); err != nil {
			return t, err
		}
	}
	return t, nil
}

func addWrite(t *store.Txn, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return merry.Prependf(err, "encode %s", key)
	}
	t.Writes = append(t.Writes, store.Write{Key: key, Value: data})
	return nil
}

// ReadHead returns the head and the version of its row. Both are zero before the
// first change.
func ReadHead(ctx context.Context, table store.Table) (Head, uint64, error) {
	row, err := table.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, 0, merry.Prepend(err, "decode head")
	}
	return h, row.Version, nil
}

// ReadLog returns the log row of a revision, or store.ErrNotFound.
func ReadLog(ctx context.Context, table store.Table, revision uint64) (LogEntry, error) {
	var e LogEntry
	row, err := table.Get(ctx, LogKey(revision))
	if err != nil {
		return e, err
	}
	if err := json.Unmarshal(row.Value, &e); err != nil {
		return e, merry.Prependf(err, "decode log row %d", revision)
	}
	return e, nil
}

func isConflict(err error) bool {
	var c *store.ConflictError
	return errors.As(err, &c)
}

// hadNoEffect reports whether a failed commit is known to have had no effect.
func hadNoEffect(err error) bool {
	if errors.Is(err, store.ErrIndeterminate) {
		return false
	}
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrInvalid)
}
