package storetest

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// TestObjects runs the contract tests of the object store. fresh returns an empty one.
func TestObjects(t *testing.T, fresh func(t *testing.T) store.Objects) {
	t.Run("body", func(t *testing.T) { objectBody(t, fresh(t)) })
	t.Run("list", func(t *testing.T) { objectList(t, fresh(t)) })
	t.Run("invalid calls", func(t *testing.T) { objectInvalid(t, fresh(t)) })
}

func objectBody(t *testing.T, o store.Objects) {
	bodies := [][]byte{[]byte("one"), {}, bytes.Repeat([]byte{0, 0xff}, 200_000)}
	for _, body := range bodies {
		assert.NilError(t, o.Put(t.Context(), "k &/á", body))
		got, err := o.Get(t.Context(), "k &/á")
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, body))
	}
	for range 2 {
		assert.NilError(t, o.Delete(t.Context(), "k &/á"))
		_, err := o.Get(t.Context(), "k &/á")
		assert.ErrorIs(t, err, store.ErrNotFound)
	}
}

func objectList(t *testing.T, o store.Objects) {
	for _, k := range []string{"b/2", "a", "b/10", "c"} {
		assert.NilError(t, o.Put(t.Context(), k, nil))
	}
	for prefix, want := range map[string]string{"": "[a b/10 b/2 c]", "b/": "[b/10 b/2]", "x": "[]"} {
		keys, err := o.List(t.Context(), prefix)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(keys), want)
	}
}

func objectInvalid(t *testing.T, o store.Objects) {
	for _, key := range []string{"", "\xff"} {
		assert.ErrorIs(t, o.Put(t.Context(), key, nil), store.ErrInvalid)
		assert.ErrorIs(t, o.Delete(t.Context(), key), store.ErrInvalid)
		_, err := o.Get(t.Context(), key)
		assert.ErrorIs(t, err, store.ErrInvalid)
	}
}

// VMList is a list of VMs with functions that change it.
type VMList struct {
	VMs    store.VMs
	Set    func(store.VM) error
	Remove func(id string) error
	SetLag func(time.Duration) error
}

// TestVMs runs the contract tests of the list of VMs. fresh returns an empty list
// without lag.
func TestVMs(t *testing.T, fresh func(t *testing.T) VMList) {
	a := store.VM{ID: "a", Zone: "z1", State: store.VMLive}
	b := store.VM{ID: "b", Zone: "z2", State: store.VMLive}
	leaving := store.VM{ID: "a", Zone: "z1", State: store.VMLeaving}
	l := fresh(t)
	steps := []struct {
		name   string
		change func() error
		lag    time.Duration
		want   []store.VM
	}{
		{"empty", func() error { return nil }, 0, nil},
		{"added, sorted", func() error { _ = l.Set(b); return l.Set(a) }, 0, []store.VM{a, b}},
		{"hidden by the lag", func() error { return l.Set(leaving) }, time.Hour, []store.VM{a, b}},
		{"shown after the lag", func() error { return nil }, 0, []store.VM{leaving, b}},
		{"removed", func() error { return l.Remove("b") }, 0, []store.VM{leaving}},
	}
	for _, s := range steps {
		assert.NilError(t, s.change(), s.name)
		assert.NilError(t, l.SetLag(s.lag), s.name)
		vms, age, err := l.VMs.List(t.Context())
		assert.NilError(t, err, s.name)
		assert.Equal(t, fmt.Sprint(vms), fmt.Sprint(s.want), s.name)
		assert.Equal(t, age, s.lag, s.name)
	}
	assert.ErrorIs(t, l.Set(store.VM{ID: "x", State: "odd"}), store.ErrInvalid)
}

// WeightStore is a weight store with a function that fills it.
type WeightStore struct {
	Weights store.Weights
	Put     func(model, version string, body []byte) error
}

// TestWeights runs the contract tests of the weight store. fresh returns an empty one.
func TestWeights(t *testing.T, fresh func(t *testing.T) WeightStore) {
	w := fresh(t)
	bodies := map[string][]byte{"v1": []byte("small"), "v2": bytes.Repeat([]byte("large"), 60_000), "v3": {}}
	for version, body := range bodies {
		assert.NilError(t, w.Put("m/á", version, body))
	}
	for version, body := range bodies {
		got, err := readWeights(t, w.Weights, version)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, body), version)
	}
	_, err := w.Weights.Open(t.Context(), "m/á", "v9")
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = w.Weights.Open(t.Context(), "", "v1")
	assert.ErrorIs(t, err, store.ErrInvalid)
}

func readWeights(t *testing.T, w store.Weights, version string) ([]byte, error) {
	r, err := w.Open(t.Context(), "m/á", version)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }()
	return io.ReadAll(r)
}
