package gateway

import "github.com/hibiscusspur/hibiscusspur/event"

// Reload applies settings that changed while the process runs. The listen addresses can't change; other differences
// apply at once.
func (s *Service) Reload(set Settings) {
	s.peers.SetSeeds(set.Seeds)
	event.SettingsRead.Log(s.log).Strs("seeds", set.Seeds).Msg("")
}
