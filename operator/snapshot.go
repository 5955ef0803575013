package operator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// pageSize is the number of rows read by one List call.
const pageSize = 500

// Snapshot is the whole configuration as of one head revision.
type Snapshot struct {
	Head    dissemination.Head
	Records map[string]dissemination.StoredRecord
}

// ReadSnapshot reads the contract and backend rows. It repeats the read until the head
// has not changed meanwhile, so that the snapshot is consistent.
func ReadSnapshot(ctx context.Context, table store.Table) (*Snapshot, error) {
	head, _, err := dissemination.ReadHead(ctx, table)
	for err == nil {
		s := &Snapshot{Head: head, Records: make(map[string]dissemination.StoredRecord)}
		if err = s.read(ctx, table); err != nil {
			break
		}
		if head, _, err = dissemination.ReadHead(ctx, table); err == nil && head == s.Head {
			return s, nil
		}
	}
	return nil, classify(err)
}

func (s *Snapshot) read(ctx context.Context, table store.Table) error {
	for _, prefix := range []string{dissemination.ContractPrefix, dissemination.BackendPrefix} {
		err := eachRow(ctx, table, prefix, func(row store.Row) error {
			var r dissemination.StoredRecord
			if err := json.Unmarshal(row.Value, &r); err != nil {
				return merry.Prependf(err, "decode row %s", row.Key)
			}
			s.Records[row.Key] = r
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// eachRow calls f for every row with prefix, in key order.
func eachRow(ctx context.Context, table store.Table, prefix string, f func(store.Row) error) error {
	after := ""
	for {
		rows, err := table.List(ctx, prefix, after, pageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := f(row); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < pageSize {
			return nil
		}
	}
}

// live returns the record under key unless it is absent or deleted.
func (s *Snapshot) live(key string) (dissemination.StoredRecord, bool) {
	r, ok := s.Records[key]
	return r, ok && !r.Deleted
}

// liveKeys returns the sorted keys with prefix of records that are not deleted.
func (s *Snapshot) liveKeys(prefix string) []string {
	var keys []string
	for _, key := range slices.Sorted(maps.Keys(s.Records)) {
		if _, ok := s.live(key); ok && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// contract parses the contract under key; ok is false when it is absent or invalid.
func (s *Snapshot) contract(key string) (c *contract.Contract, ok bool) {
	r, ok := s.live(key)
	if !ok {
		return nil, false
	}
	c, err := contract.Parse(key, []byte(r.Body))
	return c, err == nil
}

// backend parses the backend record under key; ok is false when it is absent or invalid.
func (s *Snapshot) backend(key string) (b *contract.Backend, ok bool) {
	r, ok := s.live(key)
	if !ok {
		return nil, false
	}
	b, err := contract.ParseBackend(key, []byte(r.Body))
	return b, err == nil
}
