package store_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/response/responsetest"
	"github.com/hibiscusspur/hibiscusspur/standin/site"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// TestBrokenAnswersOfPlatformAreNone guards against bytes that are no answer, or not the whole one, and pass for the platform's.
func TestBrokenAnswersOfPlatformAreNone(t *testing.T) {
	broken := responsetest.Broken()
	broken["whole JSON, shorter than its length"] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}"
	for name, text := range broken {
		table := store.NewHTTPTable("http://"+site.NewRawServer(t, site.RawAnswer{Text: text}), store.NewClient(nil))
		_, err := table.Get(t.Context(), "k")
		assert.ErrorIs(t, err, store.ErrUnavailable, name)
		err = table.Commit(t.Context(), store.Txn{Checks: []store.Check{{Key: "k"}}})
		assert.ErrorIs(t, err, store.ErrIndeterminate, name)
	}
}
