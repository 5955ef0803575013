// Package engine is the port to a model engine: the interface that the sidecar
// needs, its messages, and the HTTP driver for it. Implementations are safe for
// concurrent use. Every method returns promptly when its context ends.
package engine

import (
	"context"
	"time"
)

// Role says which work an engine takes.
type Role string

// Roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// Engine is one model engine. Only the sidecar beside it may hold one.
type Engine interface {
	// Info returns the fixed properties of the engine.
	Info(ctx context.Context) (Info, error)
	// Prefill computes the KV cache of a prompt and keeps it for export until
	// it expires or is released.
	Prefill(ctx context.Context, r PrefillRequest) (KV, error)
	// Decode begins a run. The run goes on if the stream breaks; it ends when
	// complete or cancelled. It returns ErrNotFound when the KV cache is gone,
	// and ErrExists for a run id that the engine still knows. The context covers
	// the life of the stream.
	Decode(ctx context.Context, r DecodeRequest) (Stream, error)
	// Resume re-joins the stream of a run at an output position. The context
	// covers the life of the stream.
	Resume(ctx context.Context, runID string, position int) (Stream, error)
	// Cancel ends a run or a prefill. Cancelling an unknown run is no error.
	Cancel(ctx context.Context, runID string) error
	// Runs lists every run and prefill that holds memory.
	Runs(ctx context.Context) ([]Run, error)
	// Exports lists the KV caches kept for export.
	Exports(ctx context.Context) ([]KV, error)
	// ReleaseKV drops an exported KV cache. An unknown handle is no error.
	ReleaseKV(ctx context.Context, handle string) error
	// Load returns the engine's own report, which lags.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns prefix cache events after a sequence number; they
	// come late and some are missing.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order changes what the engine serves, under a fencing number.
	Order(ctx context.Context, o Order) error
}

// Info is what an engine says of itself.
type Info struct {
	ID     string   `json:"id"`
	Role   Role     `json:"role"`
	Models []string `json:"models"`
	// DecodeSlots is how many requests the engine decodes at once.
	DecodeSlots int `json:"places"`
	// PrefillTokensPerSecond is the rate of uncached prefill.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// LinkBytesPerSecond is the rate of the inbound KV link.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second"`
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int64 `json:"kv_bytes_per_token"`
	// StepBase and StepPerRun give the time of one decode step.
	StepBase   time.Duration `json:"step_base_ns"`
	StepPerRun time.Duration `json:"step_per_run_ns"`
	// ChecksFence says whether the engine refuses an order with an old fencing number.
	ChecksFence bool `json:"checks_fence"`
}

// PrefillRequest asks for the KV cache of a prompt.
type PrefillRequest struct {
	RunID string `json:"run_id"`
	// Owner is the incarnation of the sidecar that asks.
	Owner    string `json:"owner"`
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Priority int    `json:"priority"`
}

// KV describes a KV cache kept for export.
type KV struct {
	Handle       string        `json:"handle"`
	Owner        string        `json:"owner"`
	Source       string        `json:"source"`
	Bytes        int64         `json:"bytes"`
	PromptTokens int           `json:"prompt_tokens"`
	CachedTokens int           `json:"cached_tokens"`
	TTL          time.Duration `json:"ttl_ns"`
}

// DecodeRequest begins a run. With an empty Handle the engine prefills Prompt
// itself; otherwise it imports the KV cache from Source first.
type DecodeRequest struct {
	RunID     string `json:"run_id"`
	Owner     string `json:"owner"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Handle    string `json:"handle,omitempty"`
	Source    string `json:"source,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	// Position is the first output position wanted; Prior is the text before it.
	// MaxTokens counts from position zero.
	Position int    `json:"position,omitempty"`
	Prior    string `json:"prior,omitempty"`
	// Priority orders the waiting work of an engine; the highest goes first.
	Priority int `json:"priority"`
}

// Stream yields the output of a run in order.
type Stream interface {
	// Next blocks for the next event. It returns io.ErrUnexpectedEOF when the
	// stream breaks before the final event, io.EOF after that, the context's error
	// when it ended, and ErrNotFound when the run was cancelled or lost its KV
	// cache during the import.
	Next() (StreamEvent, error)
	// Close leaves the stream; the run goes on.
	Close() error
}

// StreamEvent is one token, or the end of the run.
type StreamEvent struct {
	Position int    `json:"position"`
	Token    string `json:"token,omitempty"`
	// Done marks the final event; Total is then the length of the whole answer.
	Done         bool   `json:"done,omitempty"`
	Total        int    `json:"total,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
}

// Phase is what a run is doing.
type Phase string

// Phases of a run.
const (
	PhasePrefill Phase = "prefill"
	PhaseImport  Phase = "import"
	PhaseDecode  Phase = "decode"
)

// Run is one line of the engine's listing.
type Run struct {
	ID       string `json:"id"`
	Owner    string `json:"owner"`
	Phase    Phase  `json:"phase"`
	Position int    `json:"position"`
}

// Load is the engine's own lagging report.
type Load struct {
	Running         int   `json:"running"`
	Waiting         int   `json:"waiting"`
	PrefillTokens   int   `json:"prefill_tokens"`
	FreeCacheTokens int   `json:"free_cache_tokens"`
	AgeMillis       int64 `json:"age_ms"`
}

// CacheEvent says that a prefix entered or left the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// PrefixHash identifies the prefix; see PrefixHashes.
	PrefixHash uint64 `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
	Evicted    bool   `json:"evicted"`
}

// OrderKind is what an order changes.
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

// BytesPerToken is the rough length of one token of text.
const BytesPerToken = 4

// EstimateTokens returns the number of tokens of text, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
