package streamversions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// StreamsTableName is the table of the platform's store that keeps at which versions streams were begun, for when all
// routers lose their memory: a row for each router process that has such streams.
const StreamsTableName = "streams"

// streamsRow is the value of a row.
type streamsRow struct {
	// Streams are the keys of streams, in hexadecimal digits, by version.
	Streams map[string][]string `json:"streams"`
	// LeftMs is how much longer any of them may be resumed, from when the row was written, in milliseconds.
	LeftMs int64 `json:"left_ms"`
}

// maxStreamsPerRow bounds the streams in a row, to 45 kB. A router of the size to design for has 500.
const maxStreamsPerRow = 2000

// MaxStreamLeft bounds how long a stream is kept, whatever its client or another router says.
const MaxStreamLeft = 10 * time.Minute

// StreamRows are the rows of that table, as one router process writes them. The methods that write are not safe for
// concurrent use.
type StreamRows struct {
	table store.Table
	// process names this process among all that ever write. number distinguishes its rows: after a write without an answer,
	// which may be carried out late, another row is written.
	process string
	number  int
	// written is set if the row of that number may exist.
	written bool
	// unchanged are the rows of others, as first read with their version, by key.
	unchanged map[string]unchangedRow
}

// unchangedRow is a row of which no later version was read.
type unchangedRow struct {
	version uint64
	// until is when its streams can't be resumed any more.
	until time.Time
}

// NewStreamRows returns the rows of a process, which no other one has ever had the name of; nil without a table.
func NewStreamRows(t store.Table, process string) *StreamRows {
	if t == nil {
		return nil
	}
	return &StreamRows{table: t, process: process, unchanged: map[string]unchangedRow{}}
}

func (r *StreamRows) key() string { return r.process + "/" + strconv.Itoa(r.number) }

// write replaces the row of this process by one of some streams, or removes it if there are none.
func (r *StreamRows) write(ctx context.Context, streams []Update) error {
	if len(streams) == 0 && !r.written {
		return nil
	}
	change := store.Write{Key: r.key(), Delete: len(streams) == 0}
	if !change.Delete {
		value, err := json.Marshal(encodeRow(streams, time.Now()))
		if err != nil {
			return err
		}
		change.Value = value
	}
	err := r.table.Commit(ctx, store.Txn{Writes: []store.Write{change}})
	if errors.Is(err, store.ErrIndeterminate) {
		r.number++
	}
	r.written = err == nil && !change.Delete
	return err
}

func encodeRow(streams []Update, now time.Time) streamsRow {
	row := streamsRow{Streams: map[string][]string{}}
	for _, u := range streams[:min(len(streams), maxStreamsPerRow)] {
		row.Streams[u.Version] = append(row.Streams[u.Version], strconv.FormatUint(uint64(u.Stream), 16))
		row.LeftMs = max(row.LeftMs, u.Until.Sub(now).Milliseconds())
	}
	return row
}

// all returns the rows of all processes.
func (r *StreamRows) all(ctx context.Context) (rows []store.Row, err error) {
	for after := ""; ; {
		page, err := r.table.List(ctx, "", after, store.MaxList)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < store.MaxList {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// read returns the streams in all rows. A row that can't be decoded is left out; err says so, beside the others.
func (r *StreamRows) read(ctx context.Context) (streams []Update, err error) {
	rows, err := r.all(ctx)
	if err != nil {
		return nil, err
	}
	var malformed error
	now := time.Now()
	for _, row := range rows {
		decoded, err := decodeRow(row, now)
		malformed = errors.Join(malformed, err)
		streams = append(streams, decoded...)
	}
	return streams, malformed
}

func decodeRow(row store.Row, now time.Time) (streams []Update, err error) {
	var value streamsRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return nil, fmt.Errorf("streams of %q: %w: %w", row.Key, store.ErrMalformed, err)
	}
	until := now.Add(value.left())
	for version, keys := range value.Streams {
		for _, text := range keys {
			key, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, fmt.Errorf("streams of %q: %w: %w", row.Key, store.ErrMalformed, err)
			}
			streams = append(streams, Update{Stream: streamversion.Key(key), Record: streamversion.Record{Version: version, Until: until}})
		}
	}
	return streams, nil
}

func (v streamsRow) left() time.Duration {
	return min(max(bounded.Millis(v.LeftMs), 0), MaxStreamLeft)
}

// removeOld removes the rows of other processes that have not changed for as long as their streams could be resumed. It
// reports whether rows of others are left.
func (r *StreamRows) removeOld(ctx context.Context, now time.Time) (left bool, err error) {
	rows, err := r.all(ctx)
	if err != nil {
		return true, err
	}
	before := r.unchanged
	r.unchanged = map[string]unchangedRow{}
	for _, row := range rows {
		if row.Key == r.key() {
			continue
		}
		known, ok := before[row.Key]
		if !ok || known.version != row.Version {
			known = unchangedRow{row.Version, now.Add(leftOf(row))}
		}
		if now.Before(known.until) {
			r.unchanged[row.Key], left = known, true
			continue
		}
		remove := store.Txn{Checks: []store.Check{{Key: row.Key, Version: row.Version}}, Writes: []store.Write{{Key: row.Key, Delete: true}}}
		var conflict *store.ConflictError
		if err := r.table.Commit(ctx, remove); err != nil && !errors.As(err, &conflict) {
			return true, err
		}
	}
	return left, nil
}

// leftOf returns how long the streams of a row may be resumed; the longest time if it can't be decoded.
func leftOf(row store.Row) time.Duration {
	var value streamsRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return MaxStreamLeft
	}
	return value.left()
}
