package sidecar

import (
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
