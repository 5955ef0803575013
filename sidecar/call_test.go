package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/response/responsetest"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// TestReplyHeadersAreText checks that a header that is not valid UTF-8, as old services
// send them, can be sent over the link.
func TestReplyHeadersAreText(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Disposition", "attachment; filename=\"sk\xfdrsla.pdf\"")
	}))
	defer srv.Close()
	reply, err := newServiceCaller(srv.URL, 1024).do(t.Context(), &wire.Call{Method: http.MethodGet, Path: "/"})
	assert.NilError(t, err)
	_, err = proto.Marshal(reply)
	assert.NilError(t, err)
}

// TestTruncatedEventsAreNoReply guards against events of a plain service that end with their connection inside one and
// pass for its whole reply.
func TestTruncatedEventsAreNoReply(t *testing.T) {
	for events, whole := range map[string]bool{"data: one\n\ndata: tw": false, "data: one\n\n": true} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			assert.Check(t, err)
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+events)
			assert.Check(t, err)
			assert.Check(t, conn.Close())
		}))
		defer srv.Close()
		reply, err := newServiceCaller(srv.URL, 1024).do(t.Context(), &wire.Call{Method: http.MethodGet, Path: "/"})
		assert.Equal(t, err == nil, whole, "%q: %v", events, err)
		assert.Check(t, !whole || string(reply.GetBody()) == events)
	}
}

// reply calls a plain service in trouble.
func reply(t *testing.T, answer site.RawAnswer, body []byte) (*wire.Reply, error) {
	t.Helper()
	caller := newServiceCaller("http://"+site.NewRawServer(t, answer), 1024)
	return caller.do(t.Context(), &wire.Call{Method: http.MethodPost, Path: "/", Body: body})
}

// TestBrokenAnswersAreNoReply guards against bytes of a plain service that are no answer, or not the whole one, and pass for its reply.
func TestBrokenAnswersAreNoReply(t *testing.T) {
	broken := responsetest.Broken()
	broken["encoding that was not asked for"] = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range broken {
		got, err := reply(t, site.RawAnswer{Text: text}, nil)
		assert.Check(t, err != nil, "%s: %v", name, got)
	}
	for name, text := range responsetest.Whole {
		got, err := reply(t, site.RawAnswer{Text: text}, nil)
		assert.NilError(t, err, name)
		assert.Check(t, string(got.GetBody()) == "ok", "%s: %v", name, got)
	}
}

// TestPartOfReplyToLongCall guards against the part of an answer that a plain service sent before it reset the connection, with the call
// still being written, and that passed for its reply.
func TestPartOfReplyToLongCall(t *testing.T) {
	for range 100 {
		got, err := reply(t, site.RawAnswer{Text: "HTTP/1.1 200 OK\r\n\r\npart", Resets: true}, make([]byte, 8<<20))
		assert.Check(t, err != nil, "%v", got)
	}
}
