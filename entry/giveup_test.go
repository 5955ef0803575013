package entry

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/dissemination"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/httpserver"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// A request that is given up after its start was sent is not_run only when the
// sidecar has confirmed the fence.
func TestGiveUp(t *testing.T) {
	fenced := func(ran bool) *wire.SidecarFrame {
		return &wire.SidecarFrame{Body: &wire.SidecarFrame_Fenced{Fenced: &wire.Fenced{Ran: ran}}}
	}
	chunk := &wire.SidecarFrame{Body: &wire.SidecarFrame_Chunk{Chunk: &wire.Chunk{}}}
	for _, c := range []struct {
		name     string
		cause    error
		received int
		frames   []*wire.SidecarFrame
		want     outcome.Kind
	}{
		{"fenced in time", httpserver.ErrDeadline, 0, []*wire.SidecarFrame{fenced(false)}, outcome.NotRun},
		{"had begun", httpserver.ErrDeadline, 0, []*wire.SidecarFrame{chunk, fenced(true)}, outcome.Failed},
		{"no answer", httpserver.ErrDeadline, 0, nil, outcome.Unknown},
		{"tokens received", httpserver.ErrDeadline, 3, []*wire.SidecarFrame{fenced(false)}, outcome.Failed},
		{"caller gone", httpserver.ErrCallerGone, 0, nil, outcome.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPeer(&pool{}, contract.Backend{})
				a := &attempt{s: &Service{settings: DefaultSettings()}, r: &request{received: c.received}, key: wire.Key{RequestID: "r", Attempt: 1}}
				a.decode = p.openFlow(a.key)
				for _, f := range c.frames {
					a.decode.push(flowItem{frame: f})
				}
				assert.Equal(t, a.giveUp(c.cause).Kind, c.want)
			})
		})
	}
}

// A request whose contract was withdrawn or changed meanwhile is not retried.
func TestRefreshContract(t *testing.T) {
	const with = "customer: c\nbrand: B\nkeys: [{name: k, sha256: a000000000000000000000000000000000000000000000000000000000000000}]\n" +
		"share: 0.5\nlimits: {requests_per_second: 1, burst: 1, concurrent: 1, max_prompt_tokens: 1, max_output_tokens: 1}\n" +
		"classes: [{name: a, models: [%], urgency: prompt, ttft: 1s, tbt: 1s, deadline: 10s}]\n"
	for _, c := range []struct {
		name  string
		value string
		want  outcome.Reason
	}{
		{"unchanged", with, ""},
		{"withdrawn", "", outcome.Unauthenticated},
		{"model taken out", with, outcome.ModelNotInContract},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(DefaultSettings(), event.New("entry", "t", log.PanicLevel), metrics.NewSet())
			model := "m"
			if c.want == outcome.ModelNotInContract {
				model = "other"
			}
			rec := dissemination.Record{Key: dissemination.ContractPrefix + "c", Revision: 4, Deleted: c.value == ""}
			rec.Value = []byte(strings.Replace(c.value, "%", model, 1))
			_, err := s.state.Apply(dissemination.Delta{Head: 4, Records: []dissemination.Record{rec}})
			assert.NilError(t, err)
			r := &request{customer: "c", model: "m", class: &contract.Class{Name: "a"}, deadline: time.Now()}
			o, ok := s.refreshContract(r)
			assert.Equal(t, ok, c.want == "")
			assert.Equal(t, o.Reason, c.want)
			assert.Assert(t, !ok || r.revision == 4)
		})
	}
}

// An attempt waits for a broken link only while waiting can help, which is half as long for a repeatable
// request.
func TestReattachTimeout(t *testing.T) {
	for _, c := range []struct {
		unrepeatable bool
		want         time.Duration
	}{{false, 1500 * time.Millisecond}, {true, 3 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			p := newPeer(&pool{}, contract.Backend{})
			r := &request{class: &contract.Class{Unrepeatable: c.unrepeatable}}
			a := &attempt{s: &Service{settings: DefaultSettings()}, r: r, servers: servers{decode: p}}
			start := time.Now() // fake time
			out, ok := a.reattach(context.Background())
			assert.Assert(t, !ok)
			assert.Equal(t, out.Kind, outcome.Unknown)
			assert.Equal(t, time.Since(start), c.want)
		})
	}
}
