package memory

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// table retains the version of a deleted row, which counts the deletion as a write,
// so that a recreated row continues from there and no version of a key is ever
// reused for another value. Deleted keys are retained forever.
type table struct {
	p               *Platform
	mu              sync.RWMutex
	rows            map[string]store.Row
	keys            []string // of rows, sorted
	deletedVersions map[string]uint64
}

func newTable(p *Platform) table {
	return table{p: p, rows: make(map[string]store.Row), deletedVersions: make(map[string]uint64)}
}

// Get implements store.Table.
func (t *table) Get(ctx context.Context, key string) (store.Row, error) {
	if err := store.ValidateKey(key); err != nil {
		return store.Row{}, err
	}
	var row store.Row
	op := Op{Port: PortTable, Name: "get", Key: key}
	err := t.p.call(ctx, op, t.mu.RLocker(), func() error {
		found, ok := t.rows[key]
		if !ok {
			return store.ErrNotFound
		}
		row = copyRow(found)
		return nil
	})
	if err != nil {
		return store.Row{}, err
	}
	return row, nil
}

// List implements store.Table.
func (t *table) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := store.ValidateLimit(limit); err != nil {
		return nil, err
	}
	var rows []store.Row
	op := Op{Port: PortTable, Name: "list", Key: prefix}
	err := t.p.call(ctx, op, t.mu.RLocker(), func() error {
		rows = t.page(prefix, after, limit)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}

func (t *table) page(prefix, after string, limit int) []store.Row {
	var rows []store.Row
	for _, k := range t.keys[t.startIndex(prefix, after):] {
		if len(rows) == limit || !strings.HasPrefix(k, prefix) {
			break
		}
		rows = append(rows, copyRow(t.rows[k]))
	}
	return rows
}

// startIndex returns the index of the first key that is not below prefix and is
// greater than after. An empty after is no bound.
func (t *table) startIndex(prefix, after string) int {
	i, _ := slices.BinarySearch(t.keys, prefix)
	if after == "" {
		return i
	}
	j, found := slices.BinarySearch(t.keys, after)
	if found {
		j++
	}
	return max(i, j)
}

// Commit implements store.Table.
func (t *table) Commit(ctx context.Context, txn store.Txn) error {
	if err := txn.Validate(); err != nil {
		return err
	}
	op := Op{Port: PortTable, Name: "commit", Key: firstKey(txn), Write: true}
	return t.p.call(ctx, op, &t.mu, func() error {
		if err := t.check(txn.Checks); err != nil {
			return err
		}
		t.apply(txn.Writes)
		return nil
	})
}

func firstKey(txn store.Txn) string {
	if len(txn.Writes) > 0 {
		return txn.Writes[0].Key
	}
	return txn.Checks[0].Key
}

func (t *table) check(checks []store.Check) error {
	for _, c := range checks {
		if have := t.rows[c.Key].Version; have != c.Version {
			return &store.ConflictError{Key: c.Key, Want: c.Version, Have: have}
		}
	}
	return nil
}

func (t *table) apply(writes []store.Write) {
	for _, w := range writes {
		if w.Delete {
			t.remove(w.Key)
			continue
		}
		t.put(w.Key, w.Value)
	}
}

func (t *table) put(key string, value []byte) {
	row, ok := t.rows[key]
	if !ok {
		row.Version = t.deletedVersions[key]
		delete(t.deletedVersions, key)
		i, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, i, key)
	}
	t.rows[key] = store.Row{Key: key, Value: bytes.Clone(value), Version: row.Version + 1}
}

func (t *table) remove(key string) {
	row, ok := t.rows[key]
	if !ok {
		return
	}
	t.deletedVersions[key] = row.Version + 1
	delete(t.rows, key)
	i, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, i, i+1)
}

func copyRow(r store.Row) store.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}
