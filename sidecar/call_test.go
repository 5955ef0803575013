package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

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
