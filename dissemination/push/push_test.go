package push_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/dissemination/push"
	"github.com/hibiscusspur/hibiscusspur/internal/sidecartest"
)

func TestTargets(t *testing.T) {
	var all []contract.Backend
	for i := range 9 {
		all = append(all, contract.Backend{ID: fmt.Sprint("b", i), Zone: fmt.Sprint("z", i/4), Retired: i == 0})
	}
	zones := make(map[string]int)
	got := push.Targets(all)
	for _, b := range got {
		assert.Assert(t, !b.Retired)
		zones[b.Zone]++
	}
	assert.Equal(t, len(got), push.Fanout)
	assert.DeepEqual(t, zones, map[string]int{"z0": 3, "z1": 2, "z2": 1})
	assert.Equal(t, len(push.Targets(all[:2])), 1)
	assert.Equal(t, len(push.Targets(nil)), 0)
}

func TestPush(t *testing.T) {
	state := dissemination.NewState()
	for rev := range uint64(3) {
		rec := dissemination.Record{Key: fmt.Sprint(dissemination.ContractPrefix, rev), Revision: rev + 1}
		_, err := state.Apply(dissemination.Delta{From: rev, Head: rev + 1, Records: []dissemination.Record{rec}})
		assert.NilError(t, err)
	}
	var targets []contract.Backend
	for _, has := range []uint64{0, 2, 3} {
		sc, addr := sidecartest.Start(t)
		assert.NilError(t, sc.Configure(dissemination.Delta{Head: has}))
		targets = append(targets, contract.Backend{ID: fmt.Sprint("at ", has), Address: addr})
	}
	unreachable := contract.Backend{ID: "gone", Address: sidecartest.Gone(t)}
	assert.Equal(t, len(push.Push(context.Background(), state, append(targets, unreachable), nil)), len(targets))
}
