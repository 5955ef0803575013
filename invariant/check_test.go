package invariant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

const second = time.Second

func TestCheckFindsEachViolation(t *testing.T) {
	sent := Event{At: 1, Kind: RequestSent, Request: "r", Node: "entry", Want: "ab", Unrepeatable: true}
	whole := Event{At: second, Kind: ResponseReceived, Request: "r", Outcome: outcome.Completed, Text: "ab"}
	begun := Event{At: 2, Kind: RunStarted, Request: "r", Node: "engine"}
	for _, tc := range []struct {
		name   string
		want   []Point
		events []Event
	}{
		{"nothing wrong", nil, []Event{sent, begun, whole, {At: 2 * second, Kind: MemoryHeld, Request: "r"}}},
		{"memory after the caller left", []Point{MemoryFreed}, []Event{sent, {At: second, Kind: CallerGone, Request: "r"}, {At: 5 * second, Kind: MemoryHeld, Request: "r"}}},
		{"answered twice", []Point{AnsweredOnce}, []Event{sent, whole, whole}},
		{"token after the end", []Point{AnsweredOnce}, []Event{sent, whole, {At: 2 * second, Kind: Token, Request: "r"}}},
		{"token twice", []Point{WholeAnswer, WholeAnswer}, []Event{
			sent, {Kind: Token, Request: "r", Text: "a"}, {Kind: Token, Request: "r", Text: "a"}, {Kind: ResponseReceived, Request: "r", Outcome: outcome.Completed, Text: "ab"},
		}},
		{"short answer", []Point{WholeAnswer}, []Event{sent, {Kind: ResponseReceived, Request: "r", Outcome: outcome.Completed, Text: "a"}}},
		{"answer to another", []Point{WholeAnswer}, []Event{{Kind: ResponseReceived, Request: "x", Outcome: outcome.Completed}}},
		{"not run, but run later", []Point{NotRunIsTrue}, []Event{sent, {At: second, Kind: ResponseReceived, Request: "r", Outcome: outcome.NotRun}, {At: 2 * second, Kind: RunStarted, Request: "r"}}},
		{"run twice", []Point{RunsOnce}, []Event{sent, begun, begun, whole}},
		{"a run that continues is the same run", nil, []Event{sent, begun, {At: 3, Kind: RunContinued, Request: "r", Node: "other"}, whole}},
		{"continued without a run", []Point{RunsOnce}, []Event{sent, {At: 3, Kind: RunContinued, Request: "r", Node: "other"}, whole}},
		{"shutdown fails a continued run", []Point{ShutdownCutsNothing}, []Event{
			sent, begun, {At: 2, Kind: RunContinued, Request: "r", Node: "other"}, {At: 3, Kind: Draining, Node: "other"}, {At: 4, Kind: ResponseReceived, Request: "r", Outcome: outcome.Unknown},
		}},
		{"run twice under one key", []Point{RunsOnce}, []Event{
			{Kind: RequestSent, Request: "r", Key: "k", Unrepeatable: true}, {Kind: RunStarted, Request: "r"},
			{Kind: RequestSent, Request: "s", Key: "k", Unrepeatable: true}, {Kind: RunStarted, Request: "s"},
		}},
		{"repeatable run twice", nil, []Event{{Kind: RequestSent, Request: "r"}, {Kind: RunStarted, Request: "r"}, {Kind: RunStarted, Request: "r"}}},
		{"new work for a leaving server", []Point{LeavingGetsNothing}, []Event{{At: second, Kind: Leaving, Node: "n"}, {At: 2 * second, Kind: WorkAccepted, Node: "n"}, {At: 5 * second, Kind: WorkAccepted, Node: "n"}}},
		{"shutdown cuts", []Point{ShutdownCutsNothing}, []Event{sent, {At: 2, Kind: Draining, Node: "entry"}, {At: 3, Kind: ConnectionLost, Request: "r"}}},
		{"shutdown fails a run", []Point{ShutdownCutsNothing}, []Event{sent, begun, {At: 3, Kind: Draining, Node: "engine"}, {At: 4, Kind: ResponseReceived, Request: "r", Outcome: outcome.Unknown}}},
		{"cut by a fault", nil, []Event{sent, {At: 2, Kind: Draining, Node: "entry"}, {At: 3, Kind: Fault, Node: "entry"}, {At: 4, Kind: ConnectionLost, Request: "r"}}},
		{"revision falls", []Point{NewestRevision}, []Event{{Kind: RevisionUsed, Node: "n", Key: "c", Revision: 4}, {Kind: RevisionUsed, Node: "n", Key: "c", Revision: 3}}},
		{"old revision decided under", []Point{NewestRevision}, []Event{
			{Kind: RevisionCommitted, Key: "c", Revision: 4}, {At: second, Kind: RevisionUsed, Node: "n", Key: "c", Revision: 3}, {At: 4 * second, Kind: RevisionUsed, Node: "n", Key: "c", Revision: 3},
		}},
		{"stream of two versions", []Point{OneVersion}, []Event{
			{Kind: EventsReceived, Request: "s", Version: "v1"}, {Kind: EventsReceived, Request: "s", Version: "v1"}, {Kind: EventsReceived, Request: "s", Version: "v2"},
		}},
		{"streams of one version each", nil, []Event{{Kind: EventsReceived, Request: "s", Version: "v1"}, {Kind: EventsReceived, Request: "t", Version: "v2"}}},
		{"other key unaffected", nil, []Event{{Kind: RevisionCommitted, Key: "c", Revision: 4}, {At: 4 * second, Kind: RevisionUsed, Node: "n", Key: "d", Revision: 3}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got []Point
			for _, b := range Check(tc.events, DefaultBounds()) {
				got = append(got, b.Point)
				assert.Assert(t, b.String() != "")
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}
