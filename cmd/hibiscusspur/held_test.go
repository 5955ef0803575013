package main

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/holdback"
	"github.com/hibiscusspur/hibiscusspur/operator"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
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

// TestHeldInput checks that the error for bad input names the flag or argument.
func TestHeldInput(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"list"}, "--store must be ip:port"},
		{[]string{"list", "--store", "store"}, "--store must be ip:port"},
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
