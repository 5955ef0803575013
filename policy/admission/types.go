package admission

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Key identifies one attempt at one request.
type Key struct {
	RequestID string
	Attempt   uint32
}

// DecodeRequest asks for a decode slot.
type DecodeRequest struct {
	Key      Key
	Customer string
	// Class is the request class of the contract; outputs of one class are expected to have
	// similar lengths.
	Class string
	// Share is the customer's share of the capacity, in (0, 1].
	Share   float64
	Urgency contract.Urgency
	// TTFT is the remaining time of the target for the time to first token; 0 means no target.
	TTFT time.Duration
	// TBT is the target for the time between tokens; 0 means no target.
	TBT time.Duration
	// MaxTokens bounds the output length; 0 means DefaultMaxTokens.
	MaxTokens int
	// KVBytes is the size of the KV cache to transfer; 0 means none.
	KVBytes int64
	// PrefillTime is the expected duration of the prefill on another server.
	PrefillTime time.Duration
}

// PrefillRequest asks for a prefill.
type PrefillRequest struct {
	Key      Key
	Customer string
	// Class is the request class of the contract; prompts of one class are expected to have
	// similar cache hit rates.
	Class   string
	Share   float64
	Urgency contract.Urgency
	// Tokens is the prompt length.
	Tokens int
	// Budget is the time within which the prefill must complete; 0 means no target.
	Budget time.Duration
}

// Verdict is the kind of a Decision.
type Verdict uint8

const (
	// Queued means that a later Advance returns the decision.
	Queued Verdict = iota + 1
	// Granted means that a decode slot is reserved, or that the prefill is to start now.
	Granted
	// Started means that the run is to start now.
	Started
	// Delayed means that no slot is free yet; a later Advance starts the run or rejects it.
	Delayed
	// Rejected means that the attempt has ended at this server without being run.
	Rejected
)

// Decision is the result of a call, or an update to the result of an earlier one.
type Decision struct {
	Key     Key
	Verdict Verdict
	// Wait is the time until the slot is free, for Granted, or until the inbound link is
	// free, for Started.
	Wait time.Duration
	// LinkTime is the duration of the KV cache transfer.
	LinkTime time.Duration
	// ExpiresIn is the time after which an unused reservation lapses.
	ExpiresIn time.Duration
	// Reason and RetryAfter are set for Rejected. RetryAfter is never 0.
	Reason     outcome.Reason
	RetryAfter time.Duration
}
