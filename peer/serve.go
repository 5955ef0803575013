package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
)

// compressedState is a version of a state in the form in which it is sent.
type compressedState struct {
	version int64
	data    []byte
}

// stateServer serves parts of this gateway's state. It caches the last compressed version, which is compressed
// once for all gateways that fetch it.
type stateServer struct {
	local      LocalState
	mu         sync.Mutex
	compressed map[State]compressedState
}

// part returns a part of a state, without data if the requested version is not the current one.
func (s *stateServer) part(in *FetchRequest) (*FetchPart, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	compressed := s.compressed[in.GetState()]
	if in.GetVersion() == 0 || compressed.version == 0 {
		var err error
		if compressed, err = s.compress(in.GetState(), compressed); err != nil {
			return nil, err
		}
	}
	era, number := splitVersion(in.GetState(), compressed.version)
	out := &FetchPart{Version: number, Era: era, Size: uint32(len(compressed.data))}
	from := min(int(in.GetOffset()), len(compressed.data))
	// Gateways that don't know eras request later parts without one.
	sameEra := in.GetEra() == era || in.GetEra() == 0
	if in.GetVersion() == 0 || (in.GetVersion() == number && sameEra) {
		out.Data = compressed.data[from:min(from+partBytes, len(compressed.data))]
	}
	return out, nil
}

// compress returns the newest version in compressed form. The caller holds mu.
func (s *stateServer) compress(state State, old compressedState) (compressedState, error) {
	if s.local.Version(state) == old.version {
		return old, nil
	}
	version, data := s.local.EncodedState(state)
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
	compressed := compressedState{version: version, data: b.Bytes()}
	s.compressed[state] = compressed
	return compressed, nil
}

func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
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
		s.traffic.recordServed(len(part.GetData()))
	}
	return part, err
}
