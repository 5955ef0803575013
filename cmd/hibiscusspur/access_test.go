package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/forward"
	"github.com/hibiscusspur/hibiscusspur/gateway"
	"github.com/hibiscusspur/hibiscusspur/operator"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// TestAccess checks that the command shows the customers of a gateway and its rejections.
func TestAccess(t *testing.T) {
	want := gateway.Access{
		VM: "edge-1", Version: 7, ProofAgeMs: 830, Trusted: true, Unresponsive: 2,
		Customers: []gateway.CustomerAccess{{Name: "a", Keys: 2, Unit: "tokens", Rate: 1000, Burst: 1500, Left: 250, Share: 0.5, Used: 9000, DemandPerS: 12.5, Memory: 61_234, MemoryWaiting: 7001, MemoryShare: 52_345, MemoryWeight: 1.25, Ordered: true, Classes: []gateway.ClassAccess{{Name: "p2-expensive", DemandPerS: 700, Admitted: 0.02}}}},
		Refused:   map[outcome.Reason]int64{outcome.RateLimited: 3},
		Refusals:  []forward.Refusal{{Request: "id-1", Customer: "a", Route: "r", Reason: outcome.RateLimited}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+gateway.AccessPath, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(want) })
	server := httptest.NewServer(mux)
	defer server.Close()
	addr := server.Listener.Addr().String()

	out, _, err := execute(accessCmd(), "--gateway", addr)
	assert.NilError(t, err)
	for _, text := range []string{"configuration 7", "830 ms ago", "are served", "2 gateways are not heard", "tokens", "rate_limited", "id-1", "p2-expensive", "61234", "7001", "52345", "1.25"} {
		assert.Assert(t, strings.Contains(out, text), "%s in %s", text, out)
	}
	assertJSON(t, accessCmd(), addr, want)
}

// assertJSON checks what a command that asks a gateway writes as JSON.
func assertJSON[T any](t *testing.T, cmd *cobra.Command, addr string, want T) {
	t.Helper()
	out, _, err := execute(cmd, "--gateway", addr, "-o", "json")
	assert.NilError(t, err)
	var got T
	assert.NilError(t, json.Unmarshal([]byte(out), &got))
	assert.DeepEqual(t, got, want)
}

// assertOperationsPageNames checks that the page for operators documents a command.
func assertOperationsPageNames(t *testing.T, command string) {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), "`"+command+"`"))
}

// TestAccessInput checks that the error for bad input names the flag.
func TestAccessInput(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, "--gateway must be ip:port"},
		{[]string{"--gateway", "edge-1"}, "--gateway must be ip:port"},
		{[]string{"--gateway", "127.0.0.1:1", "-o", "xml"}, "--output must be text or json"},
	} {
		_, code, err := execute(accessCmd(), c.args...)
		assert.ErrorContains(t, err, c.want, "%v", c.args)
		assert.Equal(t, code, operator.CodeOf(operator.ErrInput), "%v", c.args)
	}
}

// TestPageNamesAccess checks that the page for operators documents the command.
func TestPageNamesAccess(t *testing.T) {
	assertOperationsPageNames(t, "hibiscusspur access --gateway IP:PORT")
}
