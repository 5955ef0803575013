package gateway

import "github.com/hibiscusspur/hibiscusspur/event"

// Reload takes settings that changed while the process runs. Addresses on which it
// listens can't change; what else differs is in force at once.
func (s *Service) Reload(set Settings) {
	s.peers.SetSeeds(set.Seeds)
	event.SettingsRead.Log(s.log).Strs("seeds", set.Seeds).Msg("")
}
