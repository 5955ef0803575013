// Package entry is the stateless front end: it accepts callers' HTTP requests, looks up the contract, places
// the work on backend servers through their sidecars and assembles the one answer.
package entry

import (
	"fmt"
	"net/url"
	"time"

	"github.com/hibiscusspur/hibiscusspur/config"
	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/security"
	"github.com/hibiscusspur/hibiscusspur/vmmemory"
)

// Settings configure one entry.
type Settings struct {
	// ID is the id of this VM.
	ID   string `yaml:"id"`
	Zone string `yaml:"zone"`
	// Listen is where callers connect, as "ip:port".
	Listen string `yaml:"listen"`
	// Admin is where health and metrics are served, as "ip:port".
	Admin string `yaml:"admin"`
	// Platform is the base URL of the platform's table.
	Platform string `yaml:"platform"`
	// Seeds are addresses of sidecars, as "ip:port", from which an entry that starts while the platform is
	// unavailable gets the configuration.
	Seeds []string          `yaml:"seeds,omitempty"`
	TLS   security.Settings `yaml:"tls,omitempty"`
	// TicketSecrets are files that hold the secrets of tickets, the same on every entry; the first one seals
	// new tickets. Without any, no tickets are issued.
	TicketSecrets []string `yaml:"ticket_secrets,omitempty"`
	LogLevel      string   `yaml:"log_level,omitempty"`
	Timing        Timing   `yaml:"timing,omitempty"`
	Bounds        Bounds   `yaml:"bounds,omitempty"`
	Retry         Retry    `yaml:"retry,omitempty"`
	Policy        Policy   `yaml:"policy,omitempty"`
}

// Timing holds the entry's intervals and timeouts.
type Timing struct {
	// Poll is the interval at which the table's head revision is read.
	Poll time.Duration `yaml:"poll"`
	// Heartbeat is the interval of heartbeats on a link with work, IdleHeartbeat without.
	Heartbeat     time.Duration `yaml:"beat"`
	IdleHeartbeat time.Duration `yaml:"idle_beat"`
	// Silence is how long a link may carry no frames before it is redialled.
	Silence time.Duration `yaml:"silence"`
	// Dial bounds one connection attempt, Redial is the interval between two.
	Dial   time.Duration `yaml:"dial"`
	Redial time.Duration `yaml:"redial"`
	// Answer bounds the wait for a grant or a refusal.
	Answer time.Duration `yaml:"answer"`
	// Reattach bounds the wait for the reconnection of a broken link with a run in progress.
	Reattach time.Duration `yaml:"reattach"`
	// CallerCheck is the interval at which callers are checked for a closed connection.
	CallerCheck time.Duration `yaml:"caller_check"`
	// Claim bounds the claim of an idempotency key.
	Claim time.Duration `yaml:"claim"`
	// Confirm is the mean interval between two confirmations of the revision in force.
	Confirm time.Duration `yaml:"confirm"`
	// VMPoll is the mean interval at which the platform's list of VMs is polled, by all entries together
	// where their number is known.
	VMPoll time.Duration `yaml:"vm_poll"`
	// PlatformCall bounds one call to the platform.
	PlatformCall time.Duration `yaml:"platform_call"`
	// Drain bounds a graceful shutdown; Notice is how long the entry continues to accept requests after its
	// health check reports draining, so that the load balancer notices.
	Drain  time.Duration `yaml:"drain"`
	Notice time.Duration `yaml:"notice"`
}

// Bounds limit the entry's memory.
type Bounds struct {
	// BodyBytes bounds a caller's body, whatever the contract allows.
	BodyBytes int `yaml:"body_bytes"`
	// InProgress is the maximum number of requests handled at once.
	InProgress int `yaml:"in_progress"`
	// WriteBuffer bounds the bytes that are buffered for one slow caller.
	WriteBuffer int `yaml:"write_buffer"`
	// LinkQueue is the maximum number of frames queued on one link.
	LinkQueue int `yaml:"link_queue"`
	// MemoryBytes is the memory of the VM that this process may use; zero stands for what the machine has.
	MemoryBytes int64 `yaml:"memory_bytes"`
	// MaxFiles is the number of file descriptors that this process may have; zero stands for what the system allows.
	MaxFiles int `yaml:"max_files"`
}

// Retry bounds the attempts at one request.
type Retry struct {
	Attempts int `yaml:"attempts"`
}

// DefaultSettings returns the defaults, which a settings file overrides.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info",
		Timing: Timing{
			Poll:          time.Second,
			Heartbeat:     250 * time.Millisecond,
			IdleHeartbeat: 10 * time.Second,
			Silence:       600 * time.Millisecond,
			Dial:          500 * time.Millisecond,
			Redial:        100 * time.Millisecond,
			Answer:        500 * time.Millisecond,
			Reattach:      3 * time.Second,
			CallerCheck:   20 * time.Millisecond,
			Claim:         1500 * time.Millisecond,
			Confirm:       2 * time.Second,
			VMPoll:        2 * time.Second,
			PlatformCall:  time.Second,
			Drain:         30 * time.Second,
			Notice:        time.Second,
		},
		Bounds: Bounds{
			BodyBytes:   4 << 20,
			InProgress:  4096,
			WriteBuffer: 256 << 10,
			LinkQueue:   8192,
		},
		Retry:  Retry{Attempts: 3},
		Policy: DefaultPolicy(),
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
	if u, err := url.Parse(s.Platform); err != nil || u.Host == "" {
		fail("platform", "must be a URL, got %q", s.Platform)
	}
	for i, a := range s.Seeds {
		config.CheckAddr(fail, fmt.Sprintf("seeds[%d]", i), a)
	}
	s.TLS.Check("tls", fail)
	event.CheckLevel("log_level", s.LogLevel, fail)
	s.checkTiming(fail)
	s.checkBounds(fail)
	s.Policy.check(fail)
}

func (s *Settings) checkTiming(fail func(field, format string, args ...any)) {
	t := s.Timing
	config.CheckRange(fail, "timing.poll", t.Poll, 50*time.Millisecond, 3*time.Second)
	config.CheckRange(fail, "timing.beat", t.Heartbeat, 10*time.Millisecond, 10*time.Second)
	config.CheckRange(fail, "timing.idle_beat", t.IdleHeartbeat, t.Heartbeat, time.Minute)
	config.CheckRange(fail, "timing.silence", t.Silence, 2*t.Heartbeat, time.Minute)
	config.CheckRange(fail, "timing.dial", t.Dial, 10*time.Millisecond, time.Minute)
	config.CheckRange(fail, "timing.redial", t.Redial, 10*time.Millisecond, time.Minute)
	config.CheckRange(fail, "timing.answer", t.Answer, 10*time.Millisecond, time.Minute)
	config.CheckRange(fail, "timing.reattach", t.Reattach, t.Silence, time.Minute)
	config.CheckRange(fail, "timing.caller_check", t.CallerCheck, time.Millisecond, time.Second)
	config.CheckRange(fail, "timing.claim", t.Claim, 10*time.Millisecond, time.Minute)
	config.CheckRange(fail, "timing.confirm", t.Confirm, 10*time.Millisecond, time.Minute)
	config.CheckRange(fail, "timing.vm_poll", t.VMPoll, 50*time.Millisecond, time.Minute)
	config.CheckRange(fail, "timing.platform_call", t.PlatformCall, 10*time.Millisecond, time.Minute)
	config.CheckRange(fail, "timing.drain", t.Drain, time.Second, time.Hour)
	config.CheckRange(fail, "timing.notice", t.Notice, 0, time.Minute)
}

func (s *Settings) checkBounds(fail func(field, format string, args ...any)) {
	config.CheckRange(fail, "bounds.body_bytes", s.Bounds.BodyBytes, 1024, 6<<20)
	config.CheckRange(fail, "bounds.in_progress", s.Bounds.InProgress, 1, 1<<20)
	config.CheckRange(fail, "bounds.write_buffer", s.Bounds.WriteBuffer, 4096, 64<<20)
	config.CheckRange(fail, "bounds.link_queue", s.Bounds.LinkQueue, 64, 1<<20)
	config.CheckRange(fail, "bounds.memory_bytes", s.Bounds.MemoryBytes, 0, vmmemory.MaxBytes)
	config.CheckRange(fail, "bounds.max_files", s.Bounds.MaxFiles, 0, 1<<20)
	config.CheckRange(fail, "retry.attempts", s.Retry.Attempts, 1, 10)
}
