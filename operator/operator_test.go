package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/config"
	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/store"
	"github.com/hibiscusspur/hibiscusspur/store/memory"
)

const contractTemplate = `customer: CUSTOMER
brand: Shop
keys: [{name: main, sha256: HASH}]
share: 0.5
limits: {requests_per_second: 2, concurrent: 8, max_prompt_tokens: 2000, max_output_tokens: 800}
classes: [{name: lookup, models: [portal], urgency: interactive, ttft: 800ms, tbt: 40ms, deadline: 10s}]
`

func contractText(customer, key string) string {
	return strings.NewReplacer("CUSTOMER", customer, "HASH", contract.HashKey(key)).Replace(contractTemplate)
}

// writeFiles writes files, given as name and text, to a new directory.
func writeFiles(t *testing.T, files ...string) string {
	t.Helper()
	dir := t.TempDir()
	for i := 0; i < len(files); i += 2 {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, files[i]), []byte(files[i+1]), 0o600))
	}
	return dir
}

func mustLoad(t *testing.T, files ...string) Desired {
	t.Helper()
	w, err := LoadContracts(writeFiles(t, files...))
	assert.NilError(t, err)
	return w
}

func apply(t *testing.T, o *Operator, w Desired, opts Options) uint64 {
	t.Helper()
	p, err := o.Plan(t.Context(), w, nil, opts)
	assert.NilError(t, err)
	revision, err := o.Commit(t.Context(), p)
	assert.NilError(t, err)
	return revision
}

func newOperator(hook memory.Hook) (*Operator, store.Table) {
	table := memory.New(memory.Options{Hook: hook}).Table()
	return New(table, "ann", time.Now), table
}

func TestAllFilesOfDirectoryAreChecked(t *testing.T) {
	dir := writeFiles(t,
		"a.yaml", contractText("a", "key-a"),
		"b.yaml", strings.Replace(contractText("b", "key-b"), "share: 0.5", "share: 5", 1),
		"c.yml", strings.Replace(contractText("c", "key-c"), "brand", "brnd", 1),
		"d.yaml", contractText("a", "key-d"),
		"e.yaml", contractText("e", "key-a"),
		"notes.txt", "not a contract",
	)
	_, err := LoadContracts(dir)
	var faults config.Errors
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, len(faults), 4, "%v", err)
	for _, want := range []string{"b.yaml:4: share: ", "c.yml:2: brnd: ", "d.yaml:1: customer: a is also defined in ", "e.yaml:3: keys[0].sha256: the same API key"} {
		assert.ErrorContains(t, err, want)
	}
	_, err = LoadContracts(t.TempDir())
	assert.ErrorIs(t, err, ErrInput)
}

func TestApplyChangePruneWithdraw(t *testing.T) {
	o, _ := newOperator(nil)
	both := mustLoad(t, "a.yaml", contractText("a", "key-a"), "b.yaml", contractText("b", "key-b"))
	assert.Equal(t, apply(t, o, both, Options{}), uint64(1))
	assert.Equal(t, apply(t, o, both, Options{}), uint64(1))

	changed := strings.Replace(contractText("a", "key-a"), "ttft: 800ms", "ttft: 900ms", 1)
	p, err := o.Plan(t.Context(), mustLoad(t, "a.yaml", changed), nil, Options{Prune: true})
	assert.NilError(t, err)
	var out bytes.Buffer
	p.WriteText(&out)
	assert.Assert(t, strings.Contains(out.String(), "change contracts/a\n  ~ classes[lookup].ttft: 800ms -> 900ms\nremove contracts/b\n"), out.String())
	revision, err := o.Commit(t.Context(), p)
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(2))

	p, err = o.PlanWithdraw(t.Context(), "a")
	assert.NilError(t, err)
	_, err = o.Commit(t.Context(), p)
	assert.NilError(t, err)
	_, err = o.PlanWithdraw(t.Context(), "a")
	assert.ErrorIs(t, err, ErrNoSuchRecord)
	h, err := o.History(t.Context(), "b", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(h.Items), 2)
	assert.Equal(t, h.Items[0].Revision, uint64(2))
	assert.Equal(t, h.LogBegins, uint64(1))
}

func TestKeyOfAnotherCustomerIsRefused(t *testing.T) {
	o, _ := newOperator(nil)
	apply(t, o, mustLoad(t, "a.yaml", contractText("a", "same")), Options{})
	_, err := o.Plan(t.Context(), mustLoad(t, "b.yaml", contractText("b", "same")), nil, Options{})
	assert.ErrorContains(t, err, "already belongs to customer a")
	assert.Equal(t, CodeOf(err), CodeInput)
	// The key may move to another customer within one change.
	moved := mustLoad(t, "a.yaml", contractText("a", "new"), "b.yaml", contractText("b", "same"))
	assert.Equal(t, apply(t, o, moved, Options{}), uint64(2))
}

func TestTwoOperators(t *testing.T) {
	ann, table := newOperator(nil)
	ben := New(table, "ben", time.Now)
	first, err := ann.Plan(t.Context(), mustLoad(t, "a.yaml", contractText("a", "key-a")), nil, Options{})
	assert.NilError(t, err)
	apply(t, ben, mustLoad(t, "a.yaml", contractText("a", "key-b"), "b.yaml", contractText("b", "key-c")), Options{})
	_, err = ann.Commit(t.Context(), first)
	r := ReportOf(err)
	assert.Equal(t, r.Code, CodeConflict)
	assert.Equal(t, r.Since[0].Author, "ben")
	assert.DeepEqual(t, r.Overlap, []string{"contracts/a"})
	head := uint64(0)
	_, err = ann.Plan(t.Context(), Desired{}, &head, Options{})
	assert.Equal(t, CodeOf(err), CodeConflict)
}

// failCommits returns a hook that fails commits in the given phase with err while active is true. After
// the first failed commit, reads fail too.
func failCommits(phase memory.Phase, err error, active *bool) memory.Hook {
	down := false
	return func(op memory.Op) error {
		if !*active {
			return nil
		}
		if op.Write && op.Phase == phase {
			down = true
			return err
		}
		if down {
			return store.ErrUnavailable
		}
		return nil
	}
}

func TestCommitDuringOutage(t *testing.T) {
	for _, tc := range []struct {
		name  string
		phase memory.Phase
		err   error
		code  Code
		state ChangeState
	}{
		{"no effect", memory.Before, store.ErrUnavailable, CodeUnavailable, ""},
		{"answer lost, no effect", memory.Before, store.ErrIndeterminate, CodeUnknown, ChangeOpen},
		{"answer lost after effect", memory.After, store.ErrIndeterminate, CodeUnknown, ChangeCommitted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wanted := mustLoad(t, "a.yaml", contractText("a", "key-a"))
			synctest.Test(t, func(t *testing.T) {
				on := true
				o, _ := newOperator(failCommits(tc.phase, tc.err, &on))
				p, err := o.Plan(t.Context(), wanted, nil, Options{})
				assert.NilError(t, err)
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				_, err = o.Commit(ctx, p)
				r := ReportOf(err)
				assert.Equal(t, r.Code, tc.code, r.Message)
				if tc.code != CodeUnknown {
					return
				}
				on = false
				ref, err := ParseRef(r.Change)
				assert.NilError(t, err)
				found, err := o.FindChange(t.Context(), ref)
				assert.NilError(t, err)
				assert.Equal(t, found.State, tc.state)
			})
		})
	}
}

func TestReadsDuringOutage(t *testing.T) {
	o, _ := newOperator(func(memory.Op) error { return store.ErrUnavailable })
	_, _, err := o.Contracts(t.Context())
	assert.Equal(t, CodeOf(err), CodeUnavailable)
	_, err = o.Status(t.Context())
	assert.Equal(t, CodeOf(err), CodeUnavailable)
}

func TestBackendRetireAndRevive(t *testing.T) {
	o, _ := newOperator(nil)
	wanted, err := DesiredBackend(&contract.Backend{ID: "vm-1", Address: "10.0.0.1:7400", Zone: "a", Role: "mixed", Models: []string{"portal"}})
	assert.NilError(t, err)
	apply(t, o, wanted, Options{})
	p, err := o.PlanRetire(t.Context(), []string{"vm-1"})
	assert.NilError(t, err)
	assert.DeepEqual(t, p.Items[0].Fields, []FieldChange{{Field: "retired", New: "true"}})
	_, err = o.Commit(t.Context(), p)
	assert.NilError(t, err)
	_, err = o.Plan(t.Context(), wanted, nil, Options{})
	assert.ErrorContains(t, err, "--revive")
	assert.Equal(t, apply(t, o, wanted, Options{Revive: true}), uint64(3))
	_, err = DesiredBackend(&contract.Backend{ID: "vm-2", Role: "both"})
	assert.ErrorContains(t, err, "address")
}

func TestStatusListsProcessesBehind(t *testing.T) {
	o, table := newOperator(nil)
	apply(t, o, mustLoad(t, "a.yaml", contractText("a", "key-a")), Options{})
	now := time.Now()
	for _, c := range []dissemination.Confirmation{{ID: "entry-1", Revision: 1, Time: now}, {ID: "vm-1", Revision: 0, Time: now}} {
		value, err := json.Marshal(c)
		assert.NilError(t, err)
		write := store.Write{Key: dissemination.ConfirmPrefix + c.ID, Value: value}
		assert.NilError(t, table.Commit(t.Context(), store.Txn{Writes: []store.Write{write}}))
	}
	s, err := o.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, s.Confirmed, 1)
	assert.Equal(t, s.Behind[0].ID, "vm-1")
}

func TestExamplesAreAccepted(t *testing.T) {
	contracts, err := LoadContracts("../examples/contracts")
	assert.NilError(t, err)
	assert.Equal(t, len(contracts), 2)
	for _, key := range []string{"demo-samtok-key", "demo-permisele-key"} {
		found := false
		for _, c := range contracts {
			found = found || strings.Contains(c.Body, contract.HashKey(key))
		}
		assert.Assert(t, found, key)
	}
	_, err = LoadBackends("../examples/backends")
	assert.NilError(t, err)
}

func TestPageListsExitCodes(t *testing.T) {
	page, err := os.ReadFile("../docs/CONTRACTS.md")
	assert.NilError(t, err)
	for code, name := range resultNames {
		assert.Assert(t, strings.Contains(string(page), fmt.Sprintf("\n| %d | %s |", code, name)), name)
	}
}
