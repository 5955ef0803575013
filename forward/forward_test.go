package forward_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/kvmemory"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

func TestPlainCalls(t *testing.T) {
	for _, c := range []struct {
		name, path string
		first      site.Behaviour
		status     int
		body       string
		calls      string
	}{
		{"answered", "/safe/1?q=%2F", site.Answer, 200, "answer of p1 to /safe/1?q=%2F", "plain p1"},
		{"safe and failed", "/safe/1", site.Fail, 200, "answer of p2 to /safe/1", "plain p1, plain p2"},
		{"safe and lost", "/safe/1", site.Reset, 200, "answer of p2 to /safe/1", "plain p1, plain p2"},
		{"safe and cut", "/safe/1", site.CutBody, 200, "answer of p2 to /safe/1", "plain p1, plain p2"},
		{"safe without a stamp", "/safe/1", site.Unstamped, 200, "answer of p2 to /safe/1", "plain p1, plain p2"},
		{"unsafe and failed is passed on", "/unsafe/1", site.Fail, 500, "failed at p1", "plain p1"},
		{"unsafe and lost may have run", "/unsafe/1", site.Reset, 502, "", "plain p1"},
		{"unsafe and cut may have run", "/unsafe/1", site.CutBody, 502, "", "plain p1"},
		{"unsafe and refused is retried", "/unsafe/1", site.Shed, 200, "answer of p2 to /unsafe/1", "plain p1, plain p2"},
		{"one attempt, refused", "/once/1", site.Shed, 503, "", "plain p1"},
		{"the route's timeout", "/brief/1", site.NeverAnswer, 504, "", "plain p1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newPlainEnv(t)
			w.servers["p1"].Behave(c.first)
			got := w.post(t, c.path)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, w.log.Kinds(), c.calls)
			assert.Equal(t, got.header.Get("Retry-After") != "", c.status == 503)
			assert.Equal(t, got.header.Get(site.Stamp) != "", c.status == 200 || c.status == 500)
		})
	}
}

// TestFailureEverywhere passes on the last failure as the server sent it.
func TestFailureEverywhere(t *testing.T) {
	w := newPlainEnv(t)
	for _, s := range w.servers {
		s.Behave(site.Fail)
	}
	got := w.post(t, "/safe/1")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.body, "failed at "+got.header.Get(site.Stamp))
	assert.Equal(t, len(w.log.Calls()), 2, "no more than the route's attempts")
}

// TestTerminatedServer: a terminated server refuses connections, so the request was not sent, and goes elsewhere even
// if it must not run twice.
func TestTerminatedServer(t *testing.T) {
	w := newPlainEnv(t)
	w.servers["p1"].Close()
	got := w.post(t, "/once/1")
	assert.Equal(t, got.body, "answer of p2 to /once/1")
	assert.DeepEqual(t, w.down, []string{"p1"})
}

// TestAddressReused: another server answers at the address.
func TestAddressReused(t *testing.T) {
	w := newPlainEnv(t)
	w.servers["p1"].ID = "other"
	got := w.post(t, "/unsafe/1")
	assert.Equal(t, got.body, "answer of p2 to /unsafe/1")
	assert.DeepEqual(t, w.replaced, []string{"p1"})
}

func TestRejected(t *testing.T) {
	w := newPlainEnv(t)
	for _, c := range []struct {
		name, path string
		extra      []string
		status     int
	}{
		{"no route", "/nowhere/", nil, 404},
		{"bad deadline", "/safe/1", []string{site.Deadline, "soon"}, 400},
	} {
		assert.Equal(t, w.post(t, c.path, c.extra...).status, c.status, c.name)
	}
	assert.Equal(t, len(w.log.Calls()), 0)
	w.table = nil
	got := w.post(t, "/safe/1")
	assert.Equal(t, got.status, 503, "no configuration is known yet")
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestClientDisconnects: servers stop working for a client that has disconnected.
func TestClientDisconnects(t *testing.T) {
	for _, c := range []struct {
		path, tokens, kind, server string
		behave                     site.Behaviour
	}{
		{"/unsafe/1", "", site.Plain, "p1", site.NeverAnswer},
		{"/draft/1", site.Tokens + ": 1000,200\r\n", site.Prefill, "pre", site.NeverAnswer},
		{"/draft/1", site.Tokens + ": 1000,200\r\n", site.Decode, "", site.StallStream},
	} {
		t.Run(c.path+c.kind, func(t *testing.T) {
			w := newPlainEnv(t)
			w.add(t, "pre", "llm", registry.Prefill)
			w.add(t, "d1", "llm", registry.Decode)
			w.add(t, "d2", "llm", registry.Decode)
			if c.server != "" {
				w.servers[c.server].Behave(c.behave)
			} else {
				w.setDecodeBehaviour(c.behave)
			}
			conn, err := net.Dial("tcp", w.addr)
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: id-2\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n",
				c.path, site.RequestID, site.Deadline, clientDeadline, c.tokens)
			assert.NilError(t, err)
			w.log.Wait(t, false, func(got site.Call) bool { return got.Kind == c.kind })
			assert.NilError(t, conn.Close())
			w.log.Wait(t, true, func(got site.Call) bool { return got.Kind == c.kind })
		})
	}
}

// TestDraining: a draining process still answers, and asks for another connection.
func TestDraining(t *testing.T) {
	w := newPlainEnv(t)
	w.fwd.Drain(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
	conn, err := net.Dial("tcp", w.addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /safe/1 HTTP/1.1\r\nHost: h\r\n%s: id-3\r\n\r\n", site.RequestID)
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, 200)
	assert.Assert(t, res.Close)
}

// TestDrainAcceptsWhatItCanFinish: a request that the end of the process would cut off is rejected at once as not run,
// with a Retry-After.
func TestDrainAcceptsWhatItCanFinish(t *testing.T) {
	w := newEngineEnv(t)
	w.add(t, "p1", "plain", registry.Whole)
	w.fwd.Drain(time.Now(), time.Now().Add(10*time.Second))
	got := w.post(t, "/draft/1")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.header.Get("Retry-After"), "3.00", "when the next process is ready here")
	w.others = 1
	assert.Equal(t, w.post(t, "/draft/1").header.Get("Retry-After"), "0.50", "at another gateway")
	assert.Equal(t, w.post(t, "/safe/1").status, 503, "its timeout is thirty seconds")
	assert.Equal(t, w.post(t, "/brief/1").status, 200)
	assert.Equal(t, w.log.Kinds(), "plain p1")
}

// TestPlacementIsReported: placement is reported as it changes, and ends with the run.
func TestPlacementIsReported(t *testing.T) {
	w := newEngineEnv(t)
	w.post(t, "/draft/1")
	<-w.fwd.PlacementChanged()
	changed := w.fwd.TakeChangedPlacements()
	assert.Equal(t, len(changed), 2, "the prefill engine and the decode engine")
	assert.DeepEqual(t, changed[0].Load, kvmemory.Load{})
	assert.DeepEqual(t, changed[1].Load, kvmemory.Load{})
	assert.Equal(t, len(w.fwd.Placements()), 0)
	full := kvmemory.Load{Tokens: 10_000, Forecast: kvmemory.Constant(10_000)}
	w.fwd.SetPeerLoads(map[string]kvmemory.Load{"d1": full, "d2": full})
	assert.Equal(t, w.post(t, "/draft/1").status, 503, "peers use all memory")
}

// TestRetryAfterIsRoundedDown: a client honours at most a third of the time that it has left.
func TestRetryAfterIsRoundedDown(t *testing.T) {
	w := newEngineEnv(t)
	w.servers["d1"].SetFull(true)
	w.servers["d2"].SetFull(true)
	got := w.post(t, "/draft/1", site.Tokens, "20000,10", site.Deadline, "5000")
	assert.Equal(t, got.header.Get("Retry-After"), "1.66")
}
