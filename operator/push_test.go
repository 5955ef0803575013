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

// TestPushDuringTableOutage guards against a change that is lost to the sidecars when the
// table becomes unavailable right after the commit.
func TestPushDuringTableOutage(t *testing.T) {
	_, live := sidecartest.Start(t)
	ctx := context.Background()
	var outage error
	table := memory.New(memory.Options{Hook: func(op memory.Op) error {
		if op.Phase == memory.Before {
			return outage
		}
		return nil
	}}).Table()
	o := operator.New(table, "test", time.Now)
	add := func(id, addr string) operator.PushResult {
		wanted, err := operator.DesiredBackend(&contract.Backend{ID: id, Address: addr, Zone: "z", Role: "decode", Models: []string{"m"}})
		assert.NilError(t, err)
		p, err := o.Plan(ctx, wanted, nil, operator.Options{})
		assert.NilError(t, err)
		revision, err := o.Commit(ctx, p)
		assert.NilError(t, err)
		outage = errors.Join(store.ErrUnavailable)
		defer func() { outage = nil }()
		return o.Push(ctx, p, revision)
	}
	assert.DeepEqual(t, add("live", live).Confirmed, []string{"live"})
	r := add("dead", sidecartest.Gone(t))
	assert.Equal(t, len(r.Targets), 2)
	assert.DeepEqual(t, r.Confirmed, []string{"live"})
}
