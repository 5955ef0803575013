package engine_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestBrokenAnswersOfEngineAreNone guards against bytes that are no answer, or not the whole one, and pass for what an engine says or for
// its acceptance of a call.
func TestBrokenAnswersOfEngineAreNone(t *testing.T) {
	const info = `{"id":"e"}`
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n" + info,
		"HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + info,
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + info,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n" + info + "\r\n",
	} {
		e := engine.NewHTTP("http://"+site.NewRawServer(t, site.RawAnswer{Text: text}), nil)
		_, err := e.Info(t.Context())
		assert.Check(t, err != nil, "info: %q", text)
		assert.Check(t, e.Cancel(t.Context(), "r") != nil, "cancel: %q", text)
	}
}
