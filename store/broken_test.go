package store_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// TestBrokenAnswersOfPlatformAreNone guards against bytes that are no answer, or not the whole one, and pass for the platform's.
func TestBrokenAnswersOfPlatformAreNone(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n{}",
		"HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
	} {
		table := store.NewHTTPTable("http://"+site.NewRawServer(t, site.RawAnswer{Text: text}), store.NewClient(nil))
		_, err := table.Get(t.Context(), "k")
		assert.ErrorIs(t, err, store.ErrUnavailable, "%q", text)
		err = table.Commit(t.Context(), store.Txn{Checks: []store.Check{{Key: "k"}}})
		assert.ErrorIs(t, err, store.ErrIndeterminate, "%q", text)
	}
}
