package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
)

// packedState is a version of a state as it is sent.
type packedState struct {
	version int64
	data    []byte
}

// stateServer hands out parts of what this gateway knows. It keeps what it packed last, so that a version
// is packed once for all that fetch it.
type stateServer struct {
	beliefs LocalState
	mu      sync.Mutex
	packed  map[State]packedState
}

// part returns a part of a state; without data if the version asked for is not the one known.
func (s *stateServer) part(in *FetchRequest) (*FetchPart, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	packed := s.packed[in.GetState()]
	if in.GetVersion() == 0 || packed.version == 0 {
		var err error
		if packed, err = s.pack(in.GetState(), packed); err != nil {
			return nil, err
		}
	}
	out := &FetchPart{Version: packed.version, Size: uint32(len(packed.data))}
	from := min(int(in.GetOffset()), len(packed.data))
	if in.GetVersion() == 0 || in.GetVersion() == packed.version {
		out.Data = packed.data[from:min(from+partBytes, len(packed.data))]
	}
	return out, nil
}

// pack returns the newest version, packed. The caller holds mu.
func (s *stateServer) pack(state State, old packedState) (packedState, error) {
	if s.beliefs.Version(state) == old.version {
		return old, nil
	}
	version, data := s.beliefs.EncodedState(state)
	if data == nil {
		return old, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return old, merry.Wrap(err)
	}
	if _, err := w.Write(data); err != nil {
		return old, merry.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return old, merry.Wrap(err)
	}
	packed := packedState{version: version, data: b.Bytes()}
	s.packed[state] = packed
	return packed, nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if len(data) > maxStateBytes {
		return nil, errTooLarge
	}
	return data, nil
}

// Fetch implements DRPCPeersServer.
func (s *Service) Fetch(_ context.Context, in *FetchRequest) (*FetchPart, error) {
	part, err := s.server.part(in)
	if err == nil {
		s.traffic.served(len(part.GetData()))
	}
	return part, err
}
