// Package sidecar is the process that runs beside each backend server. It is the
// only process that talks to the server's engine or plain service: it grants decode
// slots, runs prefills, decodes and calls, maintains the ledger of runs, and cancels
// runs on which no entry holds a lease any more.
package sidecar

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/config"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/security"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
	"github.com/hibiscusspur/hibiscusspur/wire"
)

// Settings configure one sidecar.
type Settings struct {
	// ID is the id of the backend server's VM, as in its backend record.
	ID   string `yaml:"id"`
	Zone string `yaml:"zone"`
	// Listen is where entries connect, as "ip:port".
	Listen string `yaml:"listen"`
	// Admin is where health and metrics are served, as "ip:port".
	Admin string `yaml:"admin"`
	// Engine is the base URL of the model engine; empty for a plain service.
	Engine string `yaml:"engine,omitempty"`
	// Service is the base URL of the plain service; empty for an engine.
	Service  string            `yaml:"service,omitempty"`
	TLS      security.Settings `yaml:"tls,omitempty"`
	LogLevel string            `yaml:"log_level,omitempty"`
	Timing   Timing            `yaml:"timing,omitempty"`
	Bounds   Bounds            `yaml:"bounds,omitempty"`
	Policy   Policy            `yaml:"policy,omitempty"`
}

// Orders in which queued requests are admitted.
const (
	AdmissionFair = "fair"
	AdmissionFIFO = "fifo"
)

// Policy selects the default policies or the baselines that they are compared with.
type Policy struct {
	// Admission is the order in which queued requests are admitted: AdmissionFair
	// by share and urgency, AdmissionFIFO by arrival.
	Admission string `yaml:"admission"`
	// Reserve makes a prefill wait for a decode slot. Without it, a slot is requested
	// only after the KV cache has been computed.
	Reserve bool `yaml:"reserve"`
}

// Timing holds the sidecar's intervals and timeouts.
type Timing struct {
	// Heartbeat is the interval of heartbeats on a link with work, IdleHeartbeat on one
	// without.
	Heartbeat     time.Duration `yaml:"beat"`
	IdleHeartbeat time.Duration `yaml:"idle_beat"`
	// Lease is how long runs continue after the last heartbeat of their entry. It leaves
	// time for both ends to detect an unresponsive link and to reattach the run over a
	// new one.
	Lease time.Duration `yaml:"lease"`
	// Silence is how long a peer may send nothing before the link is closed.
	Silence time.Duration `yaml:"silence"`
	// Sweep is the interval at which the engine's runs and exports are compared with
	// the ledger.
	Sweep time.Duration `yaml:"sweep"`
	// Hold is how long a granted slot waits for its start beyond the expected prefill
	// time.
	Hold time.Duration `yaml:"hold"`
	// Retain is how long the ledger retains ended and fenced attempts.
	Retain time.Duration `yaml:"retain"`
	// EngineCall bounds one short call to the engine.
	EngineCall time.Duration `yaml:"engine_call"`
	// EngineStall is how long the engine may send nothing for a run before the
	// stream is reopened.
	EngineStall time.Duration `yaml:"engine_stall"`
	// Drain bounds a graceful shutdown.
	Drain time.Duration `yaml:"drain"`
}

// Bounds limit the sidecar's memory.
type Bounds struct {
	// Window is how many unacknowledged tokens of a run may be in flight to its entry.
	Window int `yaml:"window"`
	// Queue is how many requests may be queued.
	Queue int `yaml:"queue"`
	// LinkQueue is how many frames may be queued on one link.
	LinkQueue int `yaml:"link_queue"`
	// MemoryBytes is the memory of the VM that this process may use; zero stands for what the machine has.
	MemoryBytes int64 `yaml:"memory_bytes"`
	// MaxFiles is the number of file descriptors that this process may have; zero stands for what the system allows.
	MaxFiles int `yaml:"max_files"`
	// Runs is the maximum number of attempts in the ledger.
	Runs int `yaml:"runs"`
	// Tickets is the maximum number of claimed tickets.
	Tickets int `yaml:"tickets"`
	// Prefills is how many prefills the engine is given concurrently.
	Prefills int `yaml:"prefills"`
	// ReplyBytes bounds the reply of a plain service.
	ReplyBytes int64 `yaml:"reply_bytes"`
}

// DefaultSettings returns the defaults, which a settings file overrides.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info",
		Timing: Timing{
			Heartbeat:     250 * time.Millisecond,
			IdleHeartbeat: 10 * time.Second,
			Lease:         1500 * time.Millisecond,
			Silence:       600 * time.Millisecond,
			Sweep:         500 * time.Millisecond,
			Hold:          500 * time.Millisecond,
			Retain:        time.Minute,
			EngineCall:    2 * time.Second,
			EngineStall:   2 * time.Second,
			Drain:         30 * time.Second,
		},
		Bounds: Bounds{
			Window:     256,
			Queue:      256,
			LinkQueue:  8192,
			Runs:       65536,
			Tickets:    1 << 16,
			Prefills:   1,
			ReplyBytes: 4 << 20,
		},
		Policy: Policy{Admission: AdmissionFair, Reserve: true},
	}
}

// Check implements config.Validator.
func (s *Settings) Check(fail func(field, format string, args ...any)) {
	if s.ID == "" {
		fail("id", "is required")
	}
	if s.Zone == "" {
		fail("zone", "is required")
	}
	config.CheckAddr(fail, "listen", s.Listen)
	config.CheckAddr(fail, "admin", s.Admin)
	if (s.Engine == "") == (s.Service == "") {
		fail("engine", "set exactly one of engine and service")
	}
	s.TLS.Check("tls", fail)
	event.CheckLevel("log_level", s.LogLevel, fail)
	s.checkTiming(fail)
	s.checkBounds(fail)
	if a := s.Policy.Admission; a != AdmissionFair && a != AdmissionFIFO {
		fail("policy.admission", "must be %s or %s, got %q", AdmissionFair, AdmissionFIFO, a)
	}
}

func (s *Settings) checkTiming(fail func(field, format string, args ...any)) {
	t := s.Timing
	config.CheckRange(fail, "timing.beat", t.Heartbeat, 10*time.Millisecond, 10*time.Second)
	config.CheckRange(fail, "timing.idle_beat", t.IdleHeartbeat, t.Heartbeat, time.Minute)
	config.CheckRange(fail, "timing.lease", t.Lease, 2*t.Heartbeat, time.Minute)
	config.CheckRange(fail, "timing.silence", t.Silence, 2*t.Heartbeat, time.Minute)
	config.CheckRange(fail, "timing.sweep", t.Sweep, 50*time.Millisecond, time.Minute)
	config.CheckRange(fail, "timing.hold", t.Hold, 10*time.Millisecond, time.Minute)
	config.CheckRange(fail, "timing.retain", t.Retain, time.Second, time.Hour)
	config.CheckRange(fail, "timing.engine_call", t.EngineCall, 100*time.Millisecond, time.Minute)
	config.CheckRange(fail, "timing.engine_stall", t.EngineStall, 100*time.Millisecond, 10*time.Minute)
	config.CheckRange(fail, "timing.drain", t.Drain, time.Second, time.Hour)
}

func (s *Settings) checkBounds(fail func(field, format string, args ...any)) {
	b := s.Bounds
	config.CheckRange(fail, "bounds.window", int64(b.Window), 2*wire.AckEvery, 1<<16)
	config.CheckRange(fail, "bounds.queue", int64(b.Queue), 1, 1<<16)
	config.CheckRange(fail, "bounds.link_queue", int64(b.LinkQueue), 64, 1<<20)
	config.CheckRange(fail, "bounds.memory_bytes", b.MemoryBytes, 0, vmmemory.MaxBytes)
	config.CheckRange(fail, "bounds.max_files", b.MaxFiles, 0, 1<<20)
	config.CheckRange(fail, "bounds.runs", int64(b.Runs), 64, 1<<22)
	config.CheckRange(fail, "bounds.tickets", int64(b.Tickets), 1, 1<<22)
	config.CheckRange(fail, "bounds.prefills", int64(b.Prefills), 1, 64)
	config.CheckRange(fail, "bounds.reply_bytes", b.ReplyBytes, 1024, 8<<20)
}
