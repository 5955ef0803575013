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

// maxServedVersions is the number of versions of a state that are served: a fetch takes some hundred milliseconds, and
// the list of servers changes with each reading, 0.7 s apart, while a service is released.
const maxServedVersions = 3

// stateServer serves parts of this gateway's state. It caches the last compressed versions. Each is compressed once for
// all gateways that fetch it, and outlives the next one, so that fetches in progress end.
type stateServer struct {
	local LocalState
	mu    sync.Mutex
	// compressed holds the versions of each state, the newest first.
	compressed map[State][]compressedState
}

// part returns a part of a state, without data if the requested version is no longer served.
func (s *stateServer) part(in *FetchRequest) (*FetchPart, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	compressed, requested, err := s.version(in)
	if err != nil {
		return nil, err
	}
	era, number := splitVersion(in.GetState(), compressed.version)
	out := &FetchPart{Version: number, Era: era, Size: uint32(len(compressed.data))}
	if requested {
		from := min(int(in.GetOffset()), len(compressed.data))
		out.Data = compressed.data[from:min(from+partBytes, len(compressed.data))]
	}
	return out, nil
}

// version returns the version for a request and whether it is the requested one. That is the newest if none is requested;
// a requested one that is no longer served is replaced by the newest. The caller holds mu.
func (s *stateServer) version(in *FetchRequest) (compressed compressedState, requested bool, err error) {
	if in.GetVersion() == 0 {
		compressed, err = s.newest(in.GetState())
		return compressed, true, err
	}
	for _, served := range s.compressed[in.GetState()] {
		era, number := splitVersion(in.GetState(), served.version)
		// Gateways that don't know eras request later parts without one.
		if in.GetVersion() == number && (in.GetEra() == era || in.GetEra() == 0) {
			return served, true, nil
		}
	}
	compressed, err = s.newest(in.GetState())
	return compressed, false, err
}

// newest returns the newest version in compressed form; an empty one if there is none. The caller holds mu.
func (s *stateServer) newest(state State) (compressedState, error) {
	var last compressedState
	if served := s.compressed[state]; len(served) > 0 {
		last = served[0]
	}
	if s.local.Version(state) == last.version {
		return last, nil
	}
	version, data := s.local.EncodedState(state)
	if data == nil {
		return last, nil
	}
	compressed, err := compress(data)
	if err != nil {
		return last, err
	}
	last = compressedState{version: version, data: compressed}
	served := append([]compressedState{last}, s.compressed[state]...)
	s.compressed[state] = served[:min(len(served), maxServedVersions)]
	return last, nil
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, merry.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, merry.Wrap(err)
	}
	return b.Bytes(), nil
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
