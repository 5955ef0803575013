package holdback

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscusspur/hibiscusspur/bounded"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// ErrNotQuarantined means that the store has no hold of a request.
var ErrNotQuarantined = errors.New("no such request is quarantined")

// StoredHold is a row of the store, as shown to operators.
type StoredHold struct {
	// Content is the key of the row: the digest of the request.
	Content string `json:"content"`
	Row
	// Fault says why the row is invalid; all other fields but Content are empty then.
	Fault string `json:"fault,omitempty"`
}

// Until returns when the hold ends.
func (h StoredHold) Until() time.Time {
	return h.Begun.Add(bounded.Seconds(h.ForSeconds))
}

// pageSize is the maximum number of rows that one call reads.
const pageSize = 500

// List returns the holds of a table, including those that have ended but were not removed yet.
func List(ctx context.Context, t store.Table) ([]StoredHold, error) {
	rows, err := listAll(ctx, t)
	if err != nil {
		return nil, err
	}
	var out []StoredHold
	for _, r := range rows {
		out = append(out, decodeRow(r))
	}
	return out, nil
}

// listAll returns all rows of a table.
func listAll(ctx context.Context, t store.Table) ([]store.Row, error) {
	var out []store.Row
	after := ""
	for {
		rows, err := t.List(ctx, "", after, pageSize)
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
		if len(rows) < pageSize {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func decodeRow(r store.Row) StoredHold {
	h := StoredHold{Content: r.Key}
	if err := json.Unmarshal(r.Value, &h.Row); err != nil {
		return StoredHold{Content: r.Key, Fault: err.Error()}
	}
	return h
}

// Release removes the hold of a request, so that all gateways serve it again. It returns ErrNotQuarantined if there is
// none.
func Release(ctx context.Context, t store.Table, digest string) error {
	d, err := fingerprint.Parse(digest)
	if err != nil {
		return err
	}
	row, err := t.Get(ctx, d.String())
	if errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("%w: %s", ErrNotQuarantined, d)
	}
	if err != nil {
		return err
	}
	return t.Commit(ctx, store.Txn{
		Checks: []store.Check{{Key: row.Key, Version: row.Version}},
		Writes: []store.Write{{Key: row.Key, Delete: true}},
	})
}
