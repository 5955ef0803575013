package dissemination

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// maxConflictLog is the maximum number of revisions that a ConflictError lists.
const maxConflictLog = 100

// ConflictError means that the configuration was changed after the head that the
// writer expected. Nothing was written.
type ConflictError struct {
	// Expected is the head that the writer saw, Head the current one.
	Expected, Head uint64
	// Since lists at most maxConflictLog changes after Expected, oldest first. It is
	// empty if they could not be read.
	Since []RevisionSummary
	// Overlap lists the keys that both the writer and the other changes modify.
	Overlap []string
}

// RevisionSummary describes one change in a ConflictError.
type RevisionSummary struct {
	Revision uint64
	Author   string
	Time     string
	Keys     []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: expected head revision %d, found %d", e.Expected, e.Head)
	for _, s := range e.Since {
		fmt.Fprintf(&b, "; revision %d by %s changed %s", s.Revision, valueOr(s.Author, "unknown"), strings.Join(s.Keys, ", "))
	}
	return b.String()
}

// UnknownOutcomeError means that the response to a write was lost and its outcome
// could not be read before the context ended.
type UnknownOutcomeError struct {
	// Revision is the revision of the change if it was committed.
	Revision uint64
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown: change %s may have been committed as revision %d: %v", e.ChangeID, e.Revision, e.Cause)
}

// Unwrap returns the error of the write.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Cause
}

// Conflict describes the changes committed after expected, for a writer of changes.
// Details that cannot be read are omitted.
func (w *Writer) Conflict(ctx context.Context, expected uint64, changes map[string]Change) *ConflictError {
	e := &ConflictError{Expected: expected, Head: expected}
	if head, _, err := ReadHead(ctx, w.table); err == nil {
		e.Head = head.Revision
	}
	rows, err := w.table.List(ctx, LogPrefix, LogKey(expected), maxConflictLog)
	if err != nil {
		return e
	}
	for _, row := range rows {
		e.add(row, changes)
	}
	slices.Sort(e.Overlap)
	e.Overlap = slices.Compact(e.Overlap)
	return e
}

func (e *ConflictError) add(row store.Row, changes map[string]Change) {
	var entry LogEntry
	if json.Unmarshal(row.Value, &entry) != nil {
		return
	}
	keys := slices.Sorted(maps.Keys(entry.Records))
	e.Since = append(e.Since, RevisionSummary{Revision: entry.Revision, Author: entry.Author, Time: entry.Time, Keys: keys})
	e.Head = max(e.Head, entry.Revision)
	for _, key := range keys {
		if _, ok := changes[key]; ok {
			e.Overlap = append(e.Overlap, key)
		}
	}
}

func valueOr(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}
