package engine

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/engine"
)

// Config configures the simulated engine.
type Config struct {
	ID     string
	Zone   string
	Role   engine.Role
	Models []string
	// Source is the base URL at which other engines reach this one.
	Source string
	// DecodeSlots is how many requests can use decode memory at once.
	DecodeSlots int
	// MaxWaiting bounds the runs queued for a decode slot, and separately the queued prefills.
	MaxWaiting int
	StepBase   time.Duration
	StepPerRun time.Duration
	// PrefillRate is in uncached tokens per second.
	PrefillRate float64
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int64
	// LinkRate is the rate of the inbound KV link in bytes per second, shared by all imports.
	LinkRate float64
	// KVTTL is the time to live of an exported KV cache.
	KVTTL time.Duration
	// Retain is how long the output of a completed run is retained for resumption.
	Retain time.Duration
	// LoadLag is the interval at which the load report is renewed.
	LoadLag time.Duration
	// EventDelay is the delay until cache events are visible; EventLoss is the
	// fraction of them that is lost.
	EventDelay time.Duration
	EventLoss  float64
	// Seed is the random seed that selects the lost cache events.
	Seed uint64
	// CheckFence makes the engine reject orders with an outdated fencing number.
	CheckFence bool
}

// DefaultConfig returns the settings of one accelerator that the tests use.
func DefaultConfig() Config {
	return Config{
		ID:              "engine",
		Role:            engine.RoleMixed,
		Models:          []string{"default"},
		DecodeSlots:     20,
		MaxWaiting:      64,
		StepBase:        10 * time.Millisecond,
		StepPerRun:      500 * time.Microsecond,
		PrefillRate:     10000,
		CacheTokens:     200000,
		KVBytesPerToken: 128 << 10,
		LinkRate:        12.5e9,
		KVTTL:           800 * time.Millisecond,
		Retain:          5 * time.Second,
		LoadLag:         500 * time.Millisecond,
		EventDelay:      300 * time.Millisecond,
		EventLoss:       0.05,
		Seed:            1,
	}
}
