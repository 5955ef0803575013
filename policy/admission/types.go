package admission

import (
	"time"

	"github.com/hibiscusspur/hibiscusspur/contract"
	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// Key names one attempt at one request.
type Key struct {
	RequestID string
	Attempt   uint32
}

// DecodeRequest asks for a decode place.
type DecodeRequest struct {
	Key      Key
	Customer string
	// Class of the contract; runs of one class are expected to be alike in length.
	Class string
	// Share of capacity, in (0, 1].
	Share   float64
	Urgency contract.Urgency
	// TTFT is what is left of the target for the time to first token; 0 means no target.
	TTFT time.Duration
	// TBT is the target for the time between tokens; 0 means no target.
	TBT time.Duration
	// MaxTokens bounds the output; 0 means DefaultMaxTokens.
	MaxTokens int
	// KVBytes is the size of the KV cache to transfer; 0 means none.
	KVBytes int64
	// PrefillTime is how long the prefill elsewhere is expected to take.
	PrefillTime time.Duration
}

// PrefillRequest asks for a prefill.
type PrefillRequest struct {
	Key      Key
	Customer string
	// Class of the contract; prompts of one class are expected to be cached alike.
	Class   string
	Share   float64
	Urgency contract.Urgency
	// Tokens is the length of the prompt.
	Tokens int
	// Budget is the time within which the prefill has to be done; 0 means no target.
	Budget time.Duration
}

// Verdict is the kind of a Decision.
type Verdict uint8

const (
	// Waiting means that the decision comes from a later Advance.
	Waiting Verdict = iota + 1
	// Granted means that a place is reserved, or that the prefill is to start now.
	Granted
	// Started means that the run is to start now.
	Started
	// Held means that the run starts when Advance says so, after a short wait.
	Held
	// Rejected means that the attempt is over at this server and nothing was run.
	Rejected
)

// Decision is the answer to a call, or news on an earlier one.
type Decision struct {
	Key     Key
	Verdict Verdict
	// Wait of a grant is the time until the place is free; of a start, the time
	// until the inbound link is.
	Wait time.Duration
	// LinkTime is how long the transfer of the KV cache takes.
	LinkTime time.Duration
	// ExpiresIn is how long an unused reservation is kept.
	ExpiresIn time.Duration
	// Reason and RetryAfter belong to refusals. RetryAfter is never 0.
	Reason     outcome.Reason
	RetryAfter time.Duration
}
