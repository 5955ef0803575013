package gateway

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/policy/streamversion"
	"github.com/hibiscusspur/hibiscusspur/streamversions"
)

func TestStreamsAreDecodedAsEncoded(t *testing.T) {
	now := time.Now()
	var updates []streamversions.Update
	for i, version := range []string{"v1", "v2", "v1"} {
		updates = append(updates, streamversions.Update{
			Stream: streamversion.Key(1 << (20 * i)), Record: streamversion.Record{Version: version, Until: now.Add(time.Duration(i+1) * time.Second)},
		})
	}
	assert.DeepEqual(t, decodeStreams(encodeStreams(updates, now), now), updates)
	assert.Assert(t, encodeStreams(nil, now) == nil)
}

// TestInvalidStreamsAreDropped: what a faulty process may send is dropped.
func TestInvalidStreamsAreDropped(t *testing.T) {
	now := time.Now()
	got := decodeStreams(&peer.StreamVersions{
		Streams: []uint64{1, 2, 3, 4, 5}, Version: []uint32{0, 1, 2, 9}, LeftMs: []uint32{1000, 1000, 4_000_000_000, 1000},
		Versions: []string{"", strings.Repeat("v", 300), "v1"},
	}, now)
	assert.DeepEqual(t, got, []streamversions.Update{{Stream: 3, Record: streamversion.Record{Version: "v1", Until: now.Add(streamversions.MaxStreamLeft)}}})
	assert.Equal(t, len(decodeStreams(nil, now)), 0)
}
