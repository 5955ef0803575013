package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/gateway"
	"github.com/hibiscusspur/hibiscusspur/operator"
)

// TestServers checks that the command shows each server of the service and the condition that decides.
func TestServers(t *testing.T) {
	want := gateway.Servers{VM: "edge-1", Servers: []gateway.ServerState{
		{ID: "i-1", Service: "s", Version: "v1.2", Stage: "whole", Zone: "z1", Addr: "10.0.0.1:80", Decides: "none", Conditions: []gateway.ServerCondition{}},
		{ID: "i-3", Service: "s", Stage: "decode", Zone: "z1", Addr: "10.0.0.3:80", Decides: "none", Conditions: []gateway.ServerCondition{}, TokenUs: 7480},
		{ID: "i-4", Service: "s", Stage: "decode", Zone: "z1", Addr: "10.0.0.4:80", Decides: "none", Conditions: []gateway.ServerCondition{}, TokenUs: 31_000, Slow: true},
		{ID: "i-2", Service: "s", Stage: "whole", Zone: "z2", Addr: "10.0.0.2:80", Decides: "cooldown", Excluded: true, Conditions: []gateway.ServerCondition{
			{Reason: "cooldown", Author: "server", Effect: "excluded", AgeMs: 1000, LeftMs: 2000},
			{Reason: "overload", Author: "router", Effect: "reduced", AgeMs: -1, LeftMs: -1, Share: 0.25},
			{Reason: "failing", Author: "router", Effect: "costly", AgeMs: -1, LeftMs: -1, Cost: 7.5},
		}},
	}}
	queried := ""
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+gateway.ServersPath, func(w http.ResponseWriter, r *http.Request) {
		queried = r.URL.Query().Get("service")
		_ = json.NewEncoder(w).Encode(want)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	addr := server.Listener.Addr().String()

	out, _, err := execute(serversCmd(), "--gateway", addr, "--service", "a & b")
	assert.NilError(t, err)
	assert.Equal(t, queried, "a & b")
	var rows []string
	for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	assert.DeepEqual(t, rows, []string{
		"edge-1: 4 servers",
		"SERVER SERVICE VERSION STAGE ZONE ASKED TOKEN DECIDES AUTHOR EFFECT SINCE LEFT",
		"i-1 s v1.2 whole z1 yes - none",
		"i-3 s - decode z1 yes 7.5ms none",
		"i-4 s - decode z1 yes 31.0ms (slow) none",
		"i-2 s - whole z2 no - cooldown",
		"cooldown server excluded 1s 2s",
		"overload router reduced to 0.25 - -",
		"failing router costs 7.50 - -",
	})
	assertJSON(t, serversCmd(), addr, want)
}

// TestServersInput checks that the error for bad input names the flag.
func TestServersInput(t *testing.T) {
	_, code, err := execute(serversCmd(), "--gateway", "edge-1")
	assert.ErrorContains(t, err, "--gateway must be ip:port")
	assert.Equal(t, code, operator.CodeOf(operator.ErrInput))
}

// TestPageNamesServers checks that the page for operators documents the command.
func TestPageNamesServers(t *testing.T) {
	assertOperationsPageNames(t, "hibiscusspur servers --gateway IP:PORT")
}
