// Package engine is the port to a model engine: the interface that the sidecar
// uses, its messages, and its HTTP driver. Implementations are safe for concurrent
// use. Every method returns promptly when its context ends.
package engine

import (
	"context"
	"time"
)

// Role is the kind of work that an engine does.
type Role string

// Roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// Engine is one model engine. Only its own sidecar may call it.
type Engine interface {
	// Info returns the fixed properties of the engine.
	Info(ctx context.Context) (Info, error)
	// Prefill computes the KV cache of a prompt and retains it for export until
	// it expires or is released.
	Prefill(ctx context.Context, r PrefillRequest) (KV, error)
	// Decode starts a run. The run continues if the stream breaks; it ends when it
	// completes or is cancelled. Decode returns ErrNotFound when the KV cache no
	// longer exists, and ErrExists for a run id that the engine still has on record.
	// The context covers the lifetime of the stream.
	Decode(ctx context.Context, r DecodeRequest) (Stream, error)
	// Resume reopens the stream of a run at an output position. The context covers
	// the lifetime of the stream.
	Resume(ctx context.Context, runID string, position int) (Stream, error)
	// Cancel ends a run or a prefill. Cancelling an unknown run is not an error.
	Cancel(ctx context.Context, runID string) error
	// Runs lists every run and prefill that occupies memory.
	Runs(ctx context.Context) ([]Run, error)
	// Exports lists the KV caches retained for export.
	Exports(ctx context.Context) ([]KV, error)
	// ReleaseKV drops an exported KV cache. An unknown handle is not an error.
	ReleaseKV(ctx context.Context, handle string) error
	// Load returns the engine's own load report, which lags.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns prefix cache events after a sequence number; they are
	// delayed and some are missing.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order changes what the engine serves, under a fencing number.
	Order(ctx context.Context, o Order) error
}

// Info is the engine's description of itself.
type Info struct {
	ID     string   `json:"id"`
	Role   Role     `json:"role"`
	Models []string `json:"models"`
	// DecodeSlots is the number of requests that the engine decodes concurrently.
	DecodeSlots int `json:"places"`
	// PrefillTokensPerSecond is the rate of uncached prefill.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// LinkBytesPerSecond is the rate of the inbound KV link.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second"`
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int64 `json:"kv_bytes_per_token"`
	// StepBase and StepPerRun determine the time of one decode step.
	StepBase   time.Duration `json:"step_base_ns"`
	StepPerRun time.Duration `json:"step_per_run_ns"`
	// ChecksFence is true if the engine rejects orders with an old fencing number.
	ChecksFence bool `json:"checks_fence"`
}

// PrefillRequest requests the KV cache of a prompt.
type PrefillRequest struct {
	RunID string `json:"run_id"`
	// Owner is the incarnation of the requesting sidecar.
	Owner    string `json:"owner"`
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Priority int    `json:"priority"`
}

// KV describes a KV cache retained for export.
type KV struct {
	Handle       string        `json:"handle"`
	Owner        string        `json:"owner"`
	Source       string        `json:"source"`
	Bytes        int64         `json:"bytes"`
	PromptTokens int           `json:"prompt_tokens"`
	CachedTokens int           `json:"cached_tokens"`
	TTL          time.Duration `json:"ttl_ns"`
}

// DecodeRequest starts a run. With an empty Handle the engine prefills Prompt
// itself; otherwise it first imports the KV cache from Source.
type DecodeRequest struct {
	RunID     string `json:"run_id"`
	Owner     string `json:"owner"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Handle    string `json:"handle,omitempty"`
	Source    string `json:"source,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	// Position is the first output position to generate; Prior is the output before
	// it. MaxTokens counts from position zero.
	Position int    `json:"position,omitempty"`
	Prior    string `json:"prior,omitempty"`
	// Priority orders the engine's queue; the highest goes first.
	Priority int `json:"priority"`
}

// Stream yields the output of a run in order.
type Stream interface {
	// Next blocks until the next event. It returns io.ErrUnexpectedEOF when the
	// stream breaks before the final event, io.EOF after the final event, the
	// context's error when the context ended, and ErrNotFound when the run was
	// cancelled or lost its KV cache during the import.
	Next() (StreamEvent, error)
	// Close closes the stream; the run continues.
	Close() error
}

// StreamEvent is one token or the end of the run.
type StreamEvent struct {
	Position int    `json:"position"`
	Token    string `json:"token,omitempty"`
	// Done marks the final event; Total is then the length of the whole answer in tokens.
	Done         bool   `json:"done,omitempty"`
	Total        int    `json:"total,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
}

// Phase is the stage of processing of a run.
type Phase string

// Phases of a run.
const (
	PhasePrefill Phase = "prefill"
	PhaseImport  Phase = "import"
	PhaseDecode  Phase = "decode"
)

// Run is one item of Engine.Runs.
type Run struct {
	ID       string `json:"id"`
	Owner    string `json:"owner"`
	Phase    Phase  `json:"phase"`
	Position int    `json:"position"`
}

// Load is the engine's own load report, which lags.
type Load struct {
	Running         int   `json:"running"`
	Waiting         int   `json:"waiting"`
	PrefillTokens   int   `json:"prefill_tokens"`
	FreeCacheTokens int   `json:"free_cache_tokens"`
	AgeMillis       int64 `json:"age_ms"`
}

// CacheEvent reports that a prefix was added to or evicted from the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// PrefixHash identifies the prefix, as computed by PrefixHashes.
	PrefixHash uint64 `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
	Evicted    bool   `json:"evicted"`
}

// OrderKind is the kind of change that an order makes.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderRole        OrderKind = "role"
)

// Order changes what the engine serves.
type Order struct {
	Fence   uint64    `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    Role      `json:"role,omitempty"`
}

// BytesPerToken is the approximate length of one token of text.
const BytesPerToken = 4

// EstimateTokens returns the approximate number of tokens in text, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
