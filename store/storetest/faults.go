package storetest

import (
	"context"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

// Fault is a failure that every implementation must report in the same way.
type Fault string

// Faults of TestFaults.
const (
	// Refuse fails the call before its effect.
	Refuse Fault = "refuse"
	// LoseAnswer drops the response after the effect.
	LoseAnswer Fault = "lose answer"
	// Hang blocks the call before its effect until its context ends.
	Hang Fault = "hang"
	// HangAfter blocks the call after its effect until its context ends.
	HangAfter Fault = "hang after"
)

// FaultyPlatform is a platform with functions that inject faults.
type FaultyPlatform struct {
	Table   store.Table
	Objects store.Objects
	VMs     store.VMs
	Weights store.Weights
	// Inject applies f to the reads or the writes of a port until Clear.
	Inject func(p memory.Port, write bool, f Fault)
	Clear  func()
	// AwaitBlocked returns once a call is blocked by Hang or HangAfter.
	AwaitBlocked func()
}

// faultedCall is a call under test. tookEffect reports whether a write took effect;
// it is nil for a read.
type faultedCall struct {
	name       string
	port       memory.Port
	call       func(context.Context, FaultyPlatform) error
	tookEffect func(context.Context, FaultyPlatform) (bool, error)
}

// seedKey is the key of a row and an object that TestFaults writes before each fault.
const seedKey = "seed"

// The model version that fresh of TestFaults has to store, and the size of its
// weights.
const (
	SeedModel       = "seed"
	SeedVersion     = "1"
	SeedWeightBytes = 200_000
)

// TestFaults runs each call of each port under each fault. fresh returns a platform
// that holds only the weights of SeedModel and SeedVersion.
func TestFaults(t *testing.T, fresh func(t *testing.T) FaultyPlatform) {
	cases := []struct {
		fault Fault
		// effect is whether a write takes effect.
		effect bool
		read   []error
		write  []error
	}{
		{Refuse, false, errorList(store.ErrUnavailable), errorList(store.ErrUnavailable)},
		{LoseAnswer, true, errorList(store.ErrUnavailable), errorList(store.ErrIndeterminate)},
		{Hang, false, errorList(store.ErrUnavailable), errorList(store.ErrUnavailable, store.ErrIndeterminate)},
		{HangAfter, true, errorList(store.ErrUnavailable), errorList(store.ErrIndeterminate)},
	}
	for _, c := range cases {
		for _, call := range faultedCalls() {
			t.Run(string(c.fault)+"/"+call.name, func(t *testing.T) {
				want := c.read
				if call.tookEffect != nil {
					want = c.write
				}
				runFaulted(t, fresh(t), call, c.fault, want, c.effect)
			})
		}
	}
}

func errorList(list ...error) []error { return list }

func runFaulted(t *testing.T, f FaultyPlatform, call faultedCall, fault Fault, want []error, effect bool) {
	commit(t, f.Table, put(seedKey, "1"))
	assert.NilError(t, f.Objects.Put(t.Context(), seedKey, []byte("1")))
	write := call.tookEffect != nil
	f.Inject(call.port, write, fault)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if fault == Hang || fault == HangAfter {
		go func() {
			f.AwaitBlocked()
			cancel()
		}()
	}
	err := call.call(ctx, f)
	assert.Assert(t, isOneOf(err, want), "got %v, want one of %v", err, want)
	f.Clear()
	if write {
		done, err := call.tookEffect(t.Context(), f)
		assert.NilError(t, err)
		assert.Equal(t, done, effect)
	}
	assert.NilError(t, call.call(t.Context(), f), "after the fault")
}

func isOneOf(err error, want []error) bool {
	kinds := 0
	for _, kind := range errorList(store.ErrUnavailable, store.ErrIndeterminate, store.ErrInvalid, store.ErrNotFound) {
		if errors.Is(err, kind) {
			kinds++
		}
	}
	for _, w := range want {
		if errors.Is(err, w) {
			return kinds == 1
		}
	}
	return false
}

func faultedCalls() []faultedCall {
	return []faultedCall{
		{"table get", memory.PortTable, func(ctx context.Context, f FaultyPlatform) error {
			_, err := f.Table.Get(ctx, seedKey)
			return err
		}, nil},
		{"table list", memory.PortTable, func(ctx context.Context, f FaultyPlatform) error {
			_, err := f.Table.List(ctx, "", "", 10)
			return err
		}, nil},
		{"table commit", memory.PortTable, func(ctx context.Context, f FaultyPlatform) error {
			return f.Table.Commit(ctx, store.Txn{Writes: []store.Write{put("new", "1")}})
		}, func(ctx context.Context, f FaultyPlatform) (bool, error) {
			_, err := f.Table.Get(ctx, "new")
			return found(err)
		}},
		{"objects get", memory.PortObjects, func(ctx context.Context, f FaultyPlatform) error {
			_, err := f.Objects.Get(ctx, seedKey)
			return err
		}, nil},
		{"objects list", memory.PortObjects, func(ctx context.Context, f FaultyPlatform) error {
			_, err := f.Objects.List(ctx, "")
			return err
		}, nil},
		{"objects put", memory.PortObjects, func(ctx context.Context, f FaultyPlatform) error {
			return f.Objects.Put(ctx, "new", nil)
		}, func(ctx context.Context, f FaultyPlatform) (bool, error) {
			_, err := f.Objects.Get(ctx, "new")
			return found(err)
		}},
		{"objects delete", memory.PortObjects, func(ctx context.Context, f FaultyPlatform) error {
			return f.Objects.Delete(ctx, seedKey)
		}, func(ctx context.Context, f FaultyPlatform) (bool, error) {
			_, err := f.Objects.Get(ctx, seedKey)
			there, err := found(err)
			return !there, err
		}},
		{"vms list", memory.PortVMs, func(ctx context.Context, f FaultyPlatform) error {
			_, _, err := f.VMs.List(ctx)
			return err
		}, nil},
		{"weights", memory.PortWeights, func(ctx context.Context, f FaultyPlatform) error {
			r, err := f.Weights.Open(ctx, SeedModel, SeedVersion)
			if err != nil {
				return err
			}
			defer func() { _ = r.Close() }()
			_, err = io.Copy(io.Discard, r)
			return err
		}, nil},
	}
}

func found(err error) (bool, error) {
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}
