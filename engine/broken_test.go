package engine_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/response/responsetest"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestBrokenAnswersOfEngineAreNone guards against bytes that are no answer, or not the whole one, and pass for what an engine says or for
// its acceptance of a call.
func TestBrokenAnswersOfEngineAreNone(t *testing.T) {
	const info = `{"id":"e"}`
	for _, head := range []string{"X Y: z\r\n\r\n", "Content-Length: 100\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\na\r\n"} {
		e := newRawEngine(t, "HTTP/1.1 200 OK\r\n"+head+info+"\r\n")
		_, err := e.Info(t.Context())
		assert.Check(t, err != nil, "%q", head)
	}
	for name, text := range responsetest.Broken() {
		assert.Check(t, newRawEngine(t, text).Cancel(t.Context(), "r") != nil, name)
	}
	for name, text := range responsetest.Whole {
		if name != "failure" {
			assert.NilError(t, newRawEngine(t, text).Cancel(t.Context(), "r"), name)
		}
	}
}

// TestLongAnswerToCallIsAccepted guards against a call that an engine has accepted and that counts as lost since the answer has a body.
func TestLongAnswerToCallIsAccepted(t *testing.T) {
	e := newRawEngine(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat(" ", 8<<10))
	assert.NilError(t, e.Cancel(t.Context(), "r"))
}

// newRawEngine returns the driver for an engine that sends text in answer to each call.
func newRawEngine(t *testing.T, text string) engine.Engine {
	return engine.NewHTTP("http://"+site.NewRawServer(t, site.RawAnswer{Text: text}), nil)
}
