package peer

import "github.com/hibiscusspur/hibiscusspur/store"

// ServersPosition returns the position of the list of servers of a report.
func (x *Report) ServersPosition() store.Position {
	return store.At(x.GetServersEra(), x.GetServersVersion())
}

// splitVersion returns the era and the version of a state in messages. Only the list of servers has an era.
func splitVersion(state State, version int64) (era, number int64) {
	if state != State_SERVER_LIST {
		return 0, version
	}
	position := store.Position(version)
	return position.Era(), position.Version()
}

// joinVersion is the inverse of splitVersion.
func joinVersion(state State, era, number int64) int64 {
	if state != State_SERVER_LIST {
		return number
	}
	return int64(store.At(era, number))
}
