package dissemination

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/store"
)

const (
	// maxLogReads is the largest lag, in revisions, that a reader catches up from the
	// log; with a larger one it reads all rows.
	maxLogReads = 64
	pageSize    = 500
	// maxSnapshotAttempts is how often a reader tries to read all rows while the head
	// moves.
	maxSnapshotAttempts = 4
)

// errHeadMoved means that the head moved during every attempt to read all rows.
var errHeadMoved = merry.Sentinel("the head moved during every attempt to read all rows")

// Reader brings a State up to the head of the platform's table. It is not safe for
// concurrent use.
type Reader struct {
	table store.Table
	state *State
}

// NewReader returns a reader of table into state.
func NewReader(table store.Table, state *State) *Reader {
	return &Reader{table: table, state: state}
}

// Poll reads the head row and, if it is ahead of the state, the changes since. If
// nothing has changed, it costs one read.
func (r *Reader) Poll(ctx context.Context) error {
	head, _, err := ReadHead(ctx, r.table)
	if err != nil {
		return err
	}
	known := r.state.Head()
	switch {
	case head.Revision <= known:
		return nil
	case head.Revision-known <= maxLogReads:
		return r.readLog(ctx, known, head.Revision)
	default:
		return r.readAll(ctx, head.Revision)
	}
}

// readLog applies all revisions after from in one step, so that no intermediate
// revision takes effect.
func (r *Reader) readLog(ctx context.Context, from, to uint64) error {
	latest := make(map[string]Record)
	for rev := from + 1; rev <= to; rev++ {
		entry, err := ReadLog(ctx, r.table, rev)
		if errors.Is(err, store.ErrNotFound) {
			return r.readAll(ctx, to)
		}
		if err != nil {
			return err
		}
		for key, rec := range entry.Records {
			latest[key] = record(key, rec)
		}
	}
	_, err := r.state.Apply(Delta{From: from, Head: to, Records: slices.Collect(maps.Values(latest))})
	return err
}

func (r *Reader) readAll(ctx context.Context, head uint64) error {
	for range maxSnapshotAttempts {
		d, err := r.snapshot(ctx, head)
		if err != nil {
			return err
		}
		now, _, err := ReadHead(ctx, r.table)
		if err != nil {
			return err
		}
		if now.Revision == head {
			_, err := r.state.Apply(d)
			return err
		}
		head = now.Revision
	}
	return errHeadMoved
}

// snapshot reads all rows. The log is trimmed before the tombstones of its
// revisions are deleted, so the beginning of the log, read last, is above every
// revision whose tombstone may be missing.
func (r *Reader) snapshot(ctx context.Context, head uint64) (Delta, error) {
	d := Delta{Head: head, Full: true}
	for _, prefix := range []string{ContractPrefix, BackendPrefix} {
		recs, err := r.readPrefix(ctx, prefix)
		if err != nil {
			return d, err
		}
		d.Records = append(d.Records, recs...)
	}
	begin, err := LogBegin(ctx, r.table)
	if err != nil {
		return d, err
	}
	d.From = min(head, max(begin, 1)-1)
	return d, nil
}

func (r *Reader) readPrefix(ctx context.Context, prefix string) ([]Record, error) {
	var out []Record
	after := ""
	for {
		rows, err := r.table.List(ctx, prefix, after, pageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var rec StoredRecord
			if err := json.Unmarshal(row.Value, &rec); err != nil {
				return nil, merry.Prepend(err, row.Key)
			}
			out = append(out, record(row.Key, rec))
			after = row.Key
		}
		if len(rows) < pageSize {
			return out, nil
		}
	}
}

func record(key string, rec StoredRecord) Record {
	return Record{Key: key, Revision: rec.Revision, Value: []byte(rec.Body), Deleted: rec.Deleted}
}
