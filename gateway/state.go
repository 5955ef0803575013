package gateway

import (
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/metrics"
	"github.com/hibiscusspur/hibiscusspur/peer"
	"github.com/hibiscusspur/hibiscusspur/store"
)

// Version implements peer.LocalState; zero means none, as in reports. It is called for each incoming report and must not
// copy the list: copying a thousand servers each time took 11 % of a core.
func (s *Service) Version(state peer.State) int64 {
	if state == peer.State_ROUTE_TABLE {
		return max(s.view.version(), 0)
	}
	return int64(s.view.listVersion())
}

// EncodedState implements peer.LocalState.
func (s *Service) EncodedState(state peer.State) (int64, []byte) {
	if state == peer.State_ROUTE_TABLE {
		if e := s.view.encoded.Load(); e != nil {
			return e.version, e.data
		}
		return 0, nil
	}
	list, version := s.view.list()
	data, err := encodeList(list)
	if err != nil {
		event.FetchFailed.Log(s.log).Str("state", state.String()).Err(err).Msg("")
		return 0, nil
	}
	return int64(version), data
}

// ApplyState implements peer.LocalState.
func (s *Service) ApplyState(state peer.State, version int64, data []byte, from string) error {
	from = "gateway " + from
	if state == peer.State_ROUTE_TABLE {
		return s.receiveEncodedTable(version, data, from)
	}
	var list peer.ServerList
	if err := proto.Unmarshal(data, &list); err != nil {
		event.FetchFailed.Log(s.log).Str("state", state.String()).Str("from", from).Err(err).Msg("")
		return err
	}
	s.receiveServers(serversUpdate{version: store.Position(version), servers: decodeServers(list.GetServers())}, from)
	return nil
}

func (s *Service) receiveEncodedTable(version int64, data []byte, from string) error {
	t, err := s.store.DecodeManifest(data)
	if err != nil {
		event.TableRefused.Log(s.log).Int64("version", version).Str("from", from).Err(err).Msg("")
		return err
	}
	s.installTable(t, data, from)
	return nil
}

// Fetched implements peer.LocalState.
func (s *Service) Fetched(f peer.Fetch) {
	s.metrics.Counter(metrics.Fetches).Inc(1)
	e := event.StateFetched
	if f.Err != nil {
		s.metrics.Counter(metrics.FetchesFailed).Inc(1)
		e = event.FetchFailed
	}
	line := e.Log(s.log).Str("state", f.State.String()).Int64("version", f.Version).Str("from", f.From).
		Int("bytes", f.Bytes).Dur("took", f.Took)
	if f.Err != nil {
		line = line.Err(f.Err)
	}
	line.Msg("")
}

// StoreLost implements peer.LocalState.
func (s *Service) StoreLost() bool { return s.storeLost.Load() }
