package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/eligibility"
	"github.com/hibiscusspur/hibiscusspur/registry"
)

// readServers returns the report on a service, as an operator reads it, by server.
func readServers(t *testing.T, s *Service, service string) map[string]ServerState {
	t.Helper()
	w := httptest.NewRecorder()
	s.handleServers(w, httptest.NewRequest(http.MethodGet, ServersPath+"?service="+service, nil))
	var report Servers
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &report))
	out := map[string]ServerState{}
	for _, state := range report.Servers {
		out[state.ID] = state
	}
	return out
}

// TestServerReport checks for each reason of the list that the report names it as the one that decides, and that exactly
// the servers that are reported as asked are those to choose from.
func TestServerReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Settings{VM: "g"}, testDeps())
		server := func(id, addr string) registry.Server {
			return registry.Server{ID: id, Service: "plain", Addr: addr, Zone: "z1"}
		}
		leaving, invalid, replaced := server("left", "10.0.0.3:80"), server("invalid", "10.0.0.4:80"), server("replaced", "10.0.0.5:80")
		leaving.Leaving, invalid.Unusable = true, true
		later := server("later", "10.0.0.5:80")
		later.Born = 7
		list := []registry.Server{
			server("healthy", "10.0.0.1:80"), server("said", "10.0.0.2:80"), leaving, invalid, replaced, later,
			server("down", "10.0.0.6:80"), server("moving", "10.0.0.7:80"), {ID: "engine", Service: "llm", Addr: "10.0.0.8:80", Stage: registry.Decode},
		}
		assert.Assert(t, s.view.applyServers(1, list, time.Now()))
		assert.Assert(t, s.view.MarkLeaving(registry.Server{ID: "said"}))
		s.view.MarkDown(registry.Server{ID: "down"})
		s.view.recordSwitch("moving", registry.Decode, time.Second, time.Now())

		want := map[string]eligibility.Reason{
			"healthy": eligibility.None, "later": eligibility.None, "said": eligibility.Leaving, "left": eligibility.Leaving,
			"invalid": eligibility.InvalidEntry, "replaced": eligibility.AddressReused, "down": eligibility.Down, "moving": eligibility.StageChange,
		}
		check := func() {
			t.Helper()
			got := readServers(t, s, "plain")
			assert.Equal(t, len(got), len(want))
			for id, reason := range want {
				assert.Equal(t, got[id].Decides, reason.String(), id)
			}
			asked := map[string]bool{}
			for _, usable := range s.view.Servers("plain") {
				asked[usable.ID] = true
			}
			for id, state := range got {
				assert.Equal(t, asked[id], !state.Excluded, id)
			}
		}
		check()
		down := readServers(t, s, "plain")["down"].Conditions
		assert.DeepEqual(t, down, []ServerCondition{{Reason: "down", Author: "router", Effect: "excluded", AgeMs: 0, LeftMs: downTTL.Milliseconds()}})
		assert.Equal(t, len(readServers(t, s, "")), len(list))

		time.Sleep(downTTL + time.Millisecond)
		s.view.expire(time.Now())
		want["down"] = eligibility.None
		check()
		time.Sleep(switchTimeout)
		s.view.expire(time.Now())
		want["moving"] = eligibility.None
		check()
	})
}

// TestServerReportOfUnknownService: a service without servers has an empty list, not none.
func TestServerReportOfUnknownService(t *testing.T) {
	s := New(Settings{VM: "g"}, testDeps())
	w := httptest.NewRecorder()
	s.handleServers(w, httptest.NewRequest(http.MethodGet, ServersPath+"?service=none", nil))
	assert.Equal(t, w.Body.String(), `{"vm":"g","servers":[]}`+"\n")
}
