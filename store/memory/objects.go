package memory

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hibiscusspur/hibiscusspur/store"
)

type objects struct {
	p      *Platform
	mu     sync.RWMutex
	bodies map[string][]byte
}

// Put implements store.Objects.
func (o *objects) Put(ctx context.Context, key string, body []byte) error {
	if err := store.ValidateKey(key); err != nil {
		return err
	}
	op := Op{Port: PortObjects, Name: "put", Key: key, Write: true}
	return o.p.call(ctx, op, &o.mu, func() error {
		o.bodies[key] = append([]byte{}, body...)
		return nil
	})
}

// Get implements store.Objects.
func (o *objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := store.ValidateKey(key); err != nil {
		return nil, err
	}
	var body []byte
	op := Op{Port: PortObjects, Name: "get", Key: key}
	err := o.p.call(ctx, op, o.mu.RLocker(), func() error {
		found, ok := o.bodies[key]
		if !ok {
			return store.ErrNotFound
		}
		body = bytes.Clone(found)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return body, nil
}

// Delete implements store.Objects. Deleting an absent object succeeds.
func (o *objects) Delete(ctx context.Context, key string) error {
	if err := store.ValidateKey(key); err != nil {
		return err
	}
	op := Op{Port: PortObjects, Name: "delete", Key: key, Write: true}
	return o.p.call(ctx, op, &o.mu, func() error {
		delete(o.bodies, key)
		return nil
	})
}

// List implements store.Objects. The keys are sorted.
func (o *objects) List(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	op := Op{Port: PortObjects, Name: "list", Key: prefix}
	err := o.p.call(ctx, op, o.mu.RLocker(), func() error {
		for _, k := range slices.Sorted(maps.Keys(o.bodies)) {
			if strings.HasPrefix(k, prefix) {
				keys = append(keys, k)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return keys, nil
}
