// Package contract defines the contract that an operator writes for each customer.
// All limits of a customer follow from its contract alone.
package contract

import "time"

// Contract is the service agreement with one customer.
type Contract struct {
	// Customer identifies the contract; lower-case letters, digits and dashes.
	Customer string `yaml:"customer"`
	// Brand is the provider name that is shown to the customer's callers.
	Brand string `yaml:"brand"`
	// Keys authenticate the customer's callers.
	Keys []Key `yaml:"keys"`
	// Share is the customer's part of the capacity of its models, in (0, 1].
	Share float64 `yaml:"share"`
	// Limits bound the customer's requests.
	Limits Limits `yaml:"limits"`
	// Classes are the kinds of request; the first that names the model applies
	// unless the caller names one.
	Classes []Class `yaml:"classes"`
	// Services are the plain services that the customer may call.
	Services []Service `yaml:"services,omitempty"`
}

// Key is an API key, of which only the hash is stored.
type Key struct {
	Name string `yaml:"name"`
	// SHA256 is the hash of the key in lower-case hexadecimal.
	SHA256 string `yaml:"sha256"`
}

// Limits bound the requests of one customer, over all entries together.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	Burst             int     `yaml:"burst"`
	Concurrent        int     `yaml:"concurrent"`
	MaxPromptTokens   int     `yaml:"max_prompt_tokens"`
	MaxOutputTokens   int     `yaml:"max_output_tokens"`
	MaxBodyBytes      int     `yaml:"max_body_bytes"`
}

// Urgency is the priority of a class of requests; a lower value is served first.
type Urgency int

// Urgencies of a class.
const (
	Interactive Urgency = iota
	Prompt
	Deferred
)

// Class is one kind of request.
type Class struct {
	Name    string   `yaml:"name"`
	Models  []string `yaml:"models"`
	Urgency Urgency  `yaml:"urgency"`
	// TTFT is the target for the time to first token.
	TTFT time.Duration `yaml:"ttft"`
	// TBT is the target for the time between tokens.
	TBT time.Duration `yaml:"tbt"`
	// Deadline bounds the whole request.
	Deadline time.Duration `yaml:"deadline"`
	// Unrepeatable requests run at most once, even after a failure.
	Unrepeatable bool `yaml:"unrepeatable"`
}

// Service is a plain service and its calls that may not be repeated.
type Service struct {
	Name string `yaml:"name"`
	// Unrepeatable lists calls as "METHOD /path/prefix"; the method may be *.
	Unrepeatable []string `yaml:"unrepeatable"`
	// Timeout bounds one call.
	Timeout time.Duration `yaml:"timeout"`
}

// Backend is the record of a backend server, written by the operator.
type Backend struct {
	// ID is the id of the VM.
	ID string `yaml:"id"`
	// Address is the listening address of its sidecar, as "ip:port".
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
	// Role is prefill, decode, mixed or service.
	Role string `yaml:"role"`
	// Models are the models, or for a plain service the services, that it serves.
	Models []string `yaml:"models"`
	// ChecksFence is whether the backend server itself rejects orders with a stale
	// fencing token.
	ChecksFence bool `yaml:"checks_fence,omitempty"`
	// Retired backend servers get no new requests.
	Retired bool `yaml:"retired,omitempty"`
}
