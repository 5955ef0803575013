package main

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/entry"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/operator"
	splatform "github.com/hibiscusspur/hibiscusspur/standin/platform"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// TestHeld checks that the commands list the quarantined requests and release one of them.
func TestHeld(t *testing.T) {
	s := site.NewStore(t)
	key := fingerprint.Of(fingerprint.Request{Target: "/deadly"}).String()
	value, err := json.Marshal(holdback.Row{Begun: time.Unix(1_000_000, 0).UTC(), ForSeconds: 600, Servers: []string{"i-1", "i-2"}})
	assert.NilError(t, err)
	s.Put(holdback.TableName, key, value)
	s.Put(holdback.TableName, "spoiled", []byte("{"))

	out, code, err := execute(heldCmd(), "list", "--store", s.Addr())
	assert.NilError(t, err)
	assert.Equal(t, code, operator.CodeOf(nil))
	for _, want := range []string{key, "1970-01-12T13:46:40Z", "1970-01-12T13:56:40Z", "i-1 i-2", "spoiled", "not understood"} {
		assert.Assert(t, strings.Contains(out, want), "%s in %s", want, out)
	}
	out, _, err = execute(heldCmd(), "list", "--store", s.Addr(), "-o", "json")
	assert.NilError(t, err)
	var list []holdback.StoredHold
	assert.NilError(t, json.Unmarshal([]byte(out), &list))
	assert.Equal(t, len(list), 2)

	_, _, err = execute(heldCmd(), "release", key, "--store", s.Addr())
	assert.NilError(t, err)
	assert.Equal(t, s.Count(holdback.TableName), 1)
	_, _, err = execute(heldCmd(), "release", key, "--store", s.Addr())
	assert.ErrorIs(t, err, holdback.ErrNotQuarantined)
}

// TestHeldByEntries: the commands work on the holds of entries in the platform's table as well.
func TestHeldByEntries(t *testing.T) {
	p, err := splatform.Start(splatform.Options{Listen: "127.0.0.1:0"})
	assert.NilError(t, err)
	t.Cleanup(p.Stop)
	key := fingerprint.Of(fingerprint.Request{Target: "/deadly"}).String()
	assert.NilError(t, p.Store().Table().Commit(t.Context(), store.Txn{Writes: []store.Write{{
		Key: entry.HoldPrefix + key, Value: []byte(`{"begun":"1970-01-12T13:46:40Z","for_s":600,"servers":["engine-1@i/1"]}`),
	}}}))
	out, _, err := execute(heldCmd(), "list", "--platform", p.URL())
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, key) && strings.Contains(out, "engine-1@i/1"), out)
	_, _, err = execute(heldCmd(), "release", key, "--platform", p.URL())
	assert.NilError(t, err)
	_, _, err = execute(heldCmd(), "release", key, "--platform", p.URL())
	assert.ErrorIs(t, err, holdback.ErrNotQuarantined)
}

// TestHeldInput checks that the error for bad input names the flag or argument.
func TestHeldInput(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"list"}, "--store must be ip:port"},
		{[]string{"list", "--store", "store"}, "--store must be ip:port"},
		{[]string{"list", "--store", "127.0.0.1:1", "--platform", "http://127.0.0.1:1"}, "either --store"},
		{[]string{"list", "--store", "127.0.0.1:1", "-o", "xml"}, "--output must be text or json"},
		{[]string{"release", "nonsense", "--store", "127.0.0.1:1"}, "DIGEST"},
	} {
		_, code, err := execute(heldCmd(), c.args...)
		assert.ErrorContains(t, err, c.want, "%v", c.args)
		assert.Equal(t, code, operator.CodeOf(operator.ErrInput), "%v", c.args)
	}
}

// TestPageListsHeld checks that the page for operators documents the commands and flags.
func TestPageListsHeld(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, want := range []string{"held list", "held release", "--store", "-o json"} {
		assert.Assert(t, strings.Contains(string(page), want), want)
	}
}
