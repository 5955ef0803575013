package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/outcome"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// TestRepliesThatAreNoResponse guards against replies of sidecars, also of earlier versions, that no response can carry and that are passed on.
func TestRepliesThatAreNoResponse(t *testing.T) {
	for _, c := range []struct {
		status      uint32
		name, value string
		want        outcome.Kind
	}{
		{200, "Etag", "1", outcome.Completed},
		{0, "Etag", "1", outcome.Unknown},
		{101, "Etag", "1", outcome.Unknown},
		{600, "Etag", "1", outcome.Unknown},
		{200, "E tag", "1", outcome.Unknown},
		{200, "Etag", "1\r\nX: 2", outcome.Unknown},
	} {
		reply, got := checkReply(&wire.Reply{Status: c.status, Headers: []*wire.Header{{Name: c.name, Value: c.value}}})
		assert.Equal(t, got.Kind, c.want)
		assert.Equal(t, reply != nil, c.want == outcome.Completed)
	}
}
