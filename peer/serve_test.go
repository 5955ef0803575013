package peer

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/store"
)

// Guards against a fetch that never ends: whenever the state has changed and another gateway began to fetch it, the parts
// that were left of the version before were no longer served.
func TestFetchInProgressOutlivesNextVersion(t *testing.T) {
	for _, state := range []State{State_ROUTE_TABLE, State_SERVER_LIST} {
		g := &gateway{table: 7, servers: 7, wake: make(chan struct{})}
		s := stateServer{local: g, compressed: map[State][]compressedState{}}
		fetch := func(version int64, offset int) *FetchPart {
			era, number := splitVersion(state, version)
			part, err := s.part(&FetchRequest{State: state, Version: number, Era: era, Offset: uint32(offset)})
			assert.NilError(t, err)
			return part
		}
		first := fetch(0, 0)
		got := bytes.Clone(first.GetData())
		for version := int64(8); version < 7+maxServedVersions; version++ {
			g.table, g.servers = version, version
			assert.Equal(t, fetch(0, 0).GetVersion(), version, "a new fetch gets the newest version")
			part := fetch(7, len(got))
			assert.Equal(t, part.GetVersion(), int64(7))
			got = append(got, part.GetData()...)
		}
		got = append(got, fetch(7, len(got)).GetData()...)
		data, err := decompress(got)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(data, stateContent(state, 7)))

		g.table, g.servers = 20, 20
		fetch(0, 0)
		assert.Equal(t, len(fetch(7, 0).GetData()), 0, "old versions are not kept for ever")
	}
}

// Guards against parts of a list of another era of the store under the same version.
func TestPartsOfAnotherEraAreNotServed(t *testing.T) {
	g := &gateway{servers: int64(store.At(2, 7)), wake: make(chan struct{})}
	s := stateServer{local: g, compressed: map[State][]compressedState{}}
	for _, c := range []struct {
		era    int64
		served bool
	}{{1, false}, {2, true}, {0, true}} {
		part, err := s.part(&FetchRequest{State: State_SERVER_LIST, Version: 7, Era: c.era, Offset: 1})
		assert.NilError(t, err)
		assert.Equal(t, len(part.GetData()) > 0, c.served, "era %d", c.era)
		assert.Equal(t, part.GetEra(), int64(2))
	}
}
