package site

import "encoding/json"

// Entry is the entry that a backend server writes about itself to the store.
type Entry struct {
	Service    string  `json:"service"`
	Addr       string  `json:"addr"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	Seq        int64   `json:"seq"`
	ColdLeftMs float64 `json:"cold_left_ms"`
	Stage      string  `json:"stage,omitempty"`
	// Born is omitted on platforms that don't report it.
	Born int64 `json:"born,omitempty"`
}

// Encode returns the value of the entry's row.
func (e Entry) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return data
}

// Entry returns the server's entry.
func (s *Server) Entry(service, state string) Entry {
	return Entry{
		Service: service, Addr: s.Addr(), Zone: "z1", Version: "v1", Slots: 6, State: state,
		Seq: 1, Born: s.Born(),
	}
}

// Born is the start time of the server in Unix milliseconds; zero if it does not report it.
func (s *Server) Born() int64 { return s.born.Load() }

// Restart simulates a restart of the server under its name, which loses its earlier state. Its connections
// are closed, unless it became unresponsive: then they stay open, without any data.
func (s *Server) Restart(born int64, unresponsive bool) {
	s.mu.Lock()
	s.reservations, s.orders = 0, 0
	s.mu.Unlock()
	s.born.Store(born)
	if !unresponsive {
		s.CloseClientConnections()
	}
}
