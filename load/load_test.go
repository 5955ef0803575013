package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestScheduleFollowsSeedAndRate(t *testing.T) {
	flows := []Flow{{Class: Lookup, Rate: 50, Burst: InteractiveBurst()}, {Class: Drafting, Rate: 20}, {Class: Receipt, Rate: 5, Fixed: true}}
	a := Schedule(flows, 2, 100*time.Second, 7)
	assert.DeepEqual(t, a, Schedule(flows, 2, 100*time.Second, 7))
	counts := make([]int, len(flows))
	for i, x := range a {
		counts[x.Flow]++
		assert.Assert(t, i == 0 || a[i-1].At <= x.At)
	}
	for i, want := range []float64{10000, 4000, 500} {
		got := float64(counts[i])
		assert.Assert(t, got > 0.85*want && got < 1.15*want, "flow %d: %v of %v", i, got, want)
	}
}

func TestLengthsKeepMeanAndBounds(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	l := Lengths{Mean: 300, Sigma: 0.5, Min: 50, Max: 2000}
	sum := 0
	for range 10000 {
		n := l.Draw(r)
		assert.Assert(t, n >= l.Min && n <= l.Max)
		sum += n
	}
	assert.Assert(t, sum > 2850000 && sum < 3150000, "sum %d", sum)
	assert.Equal(t, Fixed(9).Draw(r), 9)
}

func TestRequestsSharePrefixesAndAreUnique(t *testing.T) {
	c := *Ruling
	c.Shared.Texts = 1
	a, b := NewRequest(&c, 1, "x"), NewRequest(&c, 2, "x")
	shared := 0
	for shared < len(a.Prompt) && a.Prompt[shared] == b.Prompt[shared] {
		shared++
	}
	assert.Assert(t, shared >= 600*4 && shared%256 < 8, "shared %d bytes", shared)
	assert.Assert(t, a.ID != b.ID && a.Prompt != b.Prompt)
	assert.DeepEqual(t, a, NewRequest(&c, 1, "x"))
}

// TestClientVerdicts checks which responses count as correct.
func TestClientVerdicts(t *testing.T) {
	class := *Lookup
	class.Answer = Fixed(3)
	class.TTFT, class.TBT = time.Hour, time.Hour
	req := NewRequest(&class, 5, "t")
	tok := req.Answer
	text := func(s ...string) string {
		data, err := json.Marshal(strings.Join(s, ""))
		assert.NilError(t, err)
		return fmt.Sprintf("data: {\"choices\":[{\"text\":%s,\"finish_reason\":null}]}\n\n", data)
	}
	const stop, done = "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}\n\n", "data: [DONE]\n\n"
	failed := "data: {\"error\":{\"code\":\"engine_lost\",\"outcome\":\"%s\"}}\n\n"
	for _, tc := range []struct {
		name, body string
		status     int
		id         string
		want       Verdict
	}{
		{"whole", text(tok...) + stop + done, 200, req.ID, Good},
		{"whole, token by token", text(tok[0]) + text(tok[1]) + text(tok[2]) + stop + done, 200, req.ID, Good},
		{"another request's", text(tok...) + stop + done, 200, "other", Wrong},
		{"token missing", text(tok[0], tok[2]) + stop + done, 200, req.ID, Wrong},
		{"token twice", text(tok[0], tok[0], tok[1], tok[2]) + stop + done, 200, req.ID, Wrong},
		{"token too many", text(tok...) + text(tok[0]) + stop + done, 200, req.ID, Wrong},
		{"short but ended", text(tok[0], tok[1]) + stop + done, 200, req.ID, Wrong},
		{"no finish reason", text(tok...) + done, 200, req.ID, Wrong},
		{"answered twice", text(tok...) + stop + done + text(tok...), 200, req.ID, Wrong},
		{"cut off", text(tok[0]), 200, req.ID, Broken},
		{"failed after a token", text(tok[0]) + fmt.Sprintf(failed, "failed"), 200, req.ID, Failed},
		{"not run after a token", text(tok[0]) + fmt.Sprintf(failed, "not_run"), 200, req.ID, Wrong},
		{"refused", "{\"error\":{\"code\":\"no_decode_place\",\"outcome\":\"not_run\"}}", 503, req.ID, NotRun},
		{"refused without an outcome", "{\"error\":{\"code\":\"no_decode_place\"}}", 503, req.ID, Wrong},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(requestIDHeader, tc.id)
			w.WriteHeader(tc.status)
			_, _ = w.Write([]byte(tc.body))
		}))
		c := NewClient([]string{srv.URL})
		res := c.Do(context.Background(), req, time.Now())
		c.Close()
		srv.Close()
		assert.Equal(t, res.Verdict, tc.want, "%s: %s", tc.name, res.Reason)
	}
}

func TestSummaryCountsTheWindowOnly(t *testing.T) {
	run := Run{Flows: []Flow{{Class: Lookup}}, Length: 3 * time.Second}
	var results []Result
	for i, v := range []Verdict{Good, NotRun, Good, Good, LateFirstToken, NotRun} {
		results = append(results, Result{At: time.Duration(i) * 500 * time.Millisecond, Verdict: v, Reason: "r"})
	}
	rep := run.Summarise("x", results, time.Second, 3*time.Second)
	c := rep.Class(Lookup.ID())
	assert.Equal(t, c.Offered, 4)
	assert.Equal(t, c.GoodShare, 0.5)
	assert.Equal(t, c.Goodput, 1.0)
	assert.DeepEqual(t, c.Reasons, map[string]int{"not_run:r": 1})
	assert.DeepEqual(t, rep.Seconds[Lookup.ID()], []Second{{2, 1}, {2, 2}, {2, 0}})
}
