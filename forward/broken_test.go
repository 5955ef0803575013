package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/response"
	"github.com/hibiscusspur/hibiscusspur/response/responsetest"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// addRaw starts a server in trouble.
func (w *testEnv) addRaw(t *testing.T, id, service string, stage registry.Stage, answer site.RawAnswer) {
	t.Helper()
	addr := site.NewRawServer(t, answer)
	w.view.mu.Lock()
	defer w.view.mu.Unlock()
	w.view.servers = append(w.view.servers, registry.Server{ID: id, Service: service, Addr: addr, Zone: "z1", Stage: stage, Slots: 48})
}

// longUpload is larger than the sockets' buffers, and legal.
const longUpload = 4<<20 - 1

// TestPartOfAnswerToLongUpload guards against the part of an answer that a server sent before it reset the connection, with the request
// still being written, and that reached the client as the whole answer.
func TestPartOfAnswerToLongUpload(t *testing.T) {
	const uploads = 200
	w := newTestEnv(t)
	table := *w.Table()
	table.Limits.BodyBytes = longUpload
	w.setTable(&table)
	w.addRaw(t, "bad", "plain", registry.Whole, site.RawAnswer{Text: site.StampedHead("200 OK", "bad") + "\r\npart", Resets: true})
	body := strings.Repeat("x", longUpload)
	for range uploads {
		got := w.send(t, "/once/1", body)
		assert.Check(t, got.status != 200 || got.cut, "%q passes for the whole answer", got.body)
	}
}

// rawPost posts a request and returns the answer as a strict client reads it; nil if it reads none.
func (w *testEnv) rawPost(t *testing.T, path string) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", w.addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: id-1\r\n%s: %s\r\n%s: 1000,200\r\nContent-Length: 0\r\n\r\n",
		path, site.RequestID, site.Deadline, clientDeadline, site.Tokens)
	assert.NilError(t, err)
	res, err := response.NewReader(conn).Next(http.MethodPost)
	if err != nil {
		return nil, ""
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, ""
	}
	return res, string(body)
}

// stamped is the shape of an answer that the server could have given.
func stamped(text, server string) site.RawAnswer {
	return site.RawAnswer{Text: responsetest.WithFields(text, site.StampedFields(server))}
}

// TestBrokenAnswersDontReachClients guards against bytes that are no answer, or not the whole one, and reach a client as one, in place of a
// failure of the router's own.
func TestBrokenAnswersDontReachClients(t *testing.T) {
	for name, text := range responsetest.Broken() {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			w.addRaw(t, "bad", "plain", registry.Whole, stamped(text, "bad"))
			w.add(t, "pre", "llm", registry.Prefill)
			w.addRaw(t, "d", "llm", registry.Decode, stamped(text, "d"))
			for _, path := range []string{"/once/1", "/draft/1"} {
				res, body := w.rawPost(t, path)
				assert.Assert(t, res != nil, "%s: no answer", path)
				assert.Check(t, res.StatusCode == 502 && res.Header.Get(site.Stamp) == "", "%s: %d %q %q", path, res.StatusCode, res.Header, body)
			}
		})
	}
}

// TestCutHeadsDontReachClients guards against a server that stops within the head of its answer, and an answer with an empty or
// short body that reaches the client as a whole one; also where the connection is reset, or the answer could be sent again.
func TestCutHeadsDontReachClients(t *testing.T) {
	for name, text := range responsetest.CutHeads {
		for _, resets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, resets), func(t *testing.T) {
				w := newTestEnv(t)
				for _, id := range []string{"bad1", "bad2"} {
					answer := stamped(text, id)
					answer.Resets = resets
					w.addRaw(t, id, "plain", registry.Whole, answer)
					w.addRaw(t, "d"+id, "llm", registry.Decode, answer)
				}
				w.add(t, "pre", "llm", registry.Prefill)
				for _, path := range []string{"/once/1", "/unsafe/1", "/safe/1", "/draft/1", "/resume/1"} {
					res, body := w.rawPost(t, path)
					assert.Assert(t, res != nil, "%s: no answer", path)
					assert.Check(t, res.StatusCode >= 502 && res.Header.Get(site.Stamp) == "", "%s: %d %q %q", path, res.StatusCode, res.Header, body)
				}
			})
		}
	}
}

// TestWholeAnswersReachClients guards against losing answers that a strict reader takes for whole.
func TestWholeAnswersReachClients(t *testing.T) {
	for name, text := range responsetest.Whole {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			answer := stamped(text, "p")
			w.addRaw(t, "p", "plain", registry.Whole, answer)
			sent, err := response.NewReader(strings.NewReader(answer.Text)).Next(http.MethodPost)
			assert.NilError(t, err)
			res, body := w.rawPost(t, "/once/1")
			assert.Assert(t, res != nil, "no answer")
			assert.Equal(t, res.StatusCode, sent.StatusCode)
			assert.Equal(t, res.Header.Get(site.Stamp), "p")
			assert.Equal(t, res.Header.Get("X"), sent.Header.Get("X"))
			assert.Equal(t, body, "ok")
		})
	}
}
