package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/fault"
)

func post(s http.Handler, path, id, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set(DefaultIDHeader, id)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// TestCallsAreCountedWhenDone checks which faults let a call be executed.
func TestCallsAreCountedWhenDone(t *testing.T) {
	for _, tc := range []struct {
		name   string
		rule   string
		status int
		done   int
	}{
		{"no fault", "", http.StatusOK, 1},
		{"refused", `{"kind":"refuse"}`, http.StatusServiceUnavailable, 0},
		{"refused, other operation", `{"kind":"refuse","op":"status"}`, http.StatusOK, 1},
		{"answer lost", `{"kind":"lose_answer","op":"receipt"}`, http.StatusOK, 1},
		{"unknown fault", `{"kind":"unheard"}`, http.StatusOK, 1},
	} {
		s := New(Config{ID: "s", IDHeader: DefaultIDHeader}, fault.NewSet(&log.Logger{Level: log.PanicLevel}))
		if tc.rule != "" {
			post(s, fault.Path, "", tc.rule)
		}
		w := post(s, "/receipts", "id-1", "body")
		assert.Equal(t, w.Code, tc.status, tc.name)
		state := httptest.NewRecorder()
		s.ServeHTTP(state, httptest.NewRequest(http.MethodGet, PathState, nil))
		var got State
		assert.NilError(t, json.Unmarshal(state.Body.Bytes(), &got))
		assert.Equal(t, got.Calls["id-1"], tc.done, tc.name)
		assert.Equal(t, got.Total[OpReceipt], tc.done, tc.name)
	}
}
