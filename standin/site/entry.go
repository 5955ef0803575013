package site

import "encoding/json"

// Entry is what a backend server writes about itself into the store.
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
	// Born is left out of platforms that don't tell it.
	Born int64 `json:"born,omitempty"`
}

// Encode is the value of the entry's row.
func (e Entry) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return data
}

// Entry is what the server writes about itself.
func (s *Server) Entry(service, state string) Entry {
	return Entry{
		Service: service, Addr: s.Addr(), Zone: "z1", Version: "v1", Slots: 6, State: state,
		Seq: 1, Born: s.Born(),
	}
}

// Born is when the server started, in Unix milliseconds; zero if it does not tell it.
func (s *Server) Born() int64 { return s.born.Load() }

// Restart starts the server again under its name: it knows nothing of before. Its connections
// are closed unless it went dark, in which case they stay silent.
func (s *Server) Restart(born int64, dark bool) {
	s.mu.Lock()
	s.hold, s.orders = 0, 0
	s.mu.Unlock()
	s.born.Store(born)
	if !dark {
		s.CloseClientConnections()
	}
}
