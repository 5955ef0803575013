package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/pathtest"
	"github.com/hibiscusspur/hibiscusspur/security"
)

// The links between entry and sidecars carry work only when both sides authenticate each other.
func TestLinksWithTLS(t *testing.T) {
	ours := pathtest.NewAuthority(t)
	sidecars := ours.Issue("sidecar", time.Hour, "entry")
	for _, tc := range []struct {
		name  string
		entry security.Settings
		ok    bool
	}{
		{"right", ours.Issue("entry", time.Hour, "sidecar"), true},
		{"certificate of another name", ours.Issue("guest", time.Hour, "sidecar"), false},
		{"without TLS", security.Settings{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := pathtest.Start(t, pathtest.Options{EntryTLS: tc.entry, SidecarTLS: sidecars, SkipReadyWait: !tc.ok})
			c := newClient(p, option.WithMaxRetries(0))
			if tc.ok {
				_, err := c.Chat.Completions.New(t.Context(), chat(pathtest.Lookup, "hi"))
				assert.NilError(t, err)
				return
			}
			// The entry has tried to link, and has the contract.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if _, err := c.Models.List(t.Context()); err != nil {
					return poll.Continue("%v", err)
				}
				if !strings.Contains(p.Log.String(), event.LinkDown.Text) {
					return poll.Continue("no link tried")
				}
				return poll.Success()
			}, poll.WithTimeout(bound), poll.WithDelay(5*time.Millisecond))
			_, err := c.Chat.Completions.New(t.Context(), chat(pathtest.Lookup, "hi"))
			e := asAPIError(t, err)
			assert.Equal(t, e.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, e.Code, "no_backend")
		})
	}
}
