package operator_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/internal/sidecartest"
	"github.com/hibiscusspur/hibiscusspur/operator"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// TestPushWhenTheTableGoesOut: the commit is the last thing that the table does,
// and the change still reaches a sidecar.
func TestPushWhenTheTableGoesOut(t *testing.T) {
	_, live := sidecartest.Start(t)
	ctx := context.Background()
	var out error
	table := memory.New(memory.Options{Hook: func(op memory.Op) error {
		if op.Phase == memory.Before {
			return out
		}
		return nil
	}}).Table()
	o := operator.New(table, "test", time.Now)
	add := func(id, addr string) operator.PushResult {
		wanted, err := operator.BackendWanted(&contract.Backend{ID: id, Address: addr, Zone: "z", Role: "decode", Models: []string{"m"}})
		assert.NilError(t, err)
		p, err := o.Plan(ctx, wanted, nil, operator.Options{})
		assert.NilError(t, err)
		revision, err := o.Commit(ctx, p)
		assert.NilError(t, err)
		out = errors.Join(store.ErrUnavailable)
		defer func() { out = nil }()
		return o.Push(ctx, p, revision)
	}
	assert.DeepEqual(t, add("live", live).Confirmed, []string{"live"})
	r := add("dead", sidecartest.UnusedAddr(t))
	assert.Equal(t, len(r.Targets), 2)
	assert.DeepEqual(t, r.Confirmed, []string{"live"})
}
