// Package store defines the ports to the platform that the operators run: a
// transactional table, an object store, a lagging list of VMs and a weight store.
// Implementations are safe for concurrent use and return promptly when their context
// ends. Every call may fail with ErrUnavailable; a write may fail with
// ErrIndeterminate, after which only a read shows whether it took effect.
package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// Errors of the ports. Clients wrap them with the cause.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrIndeterminate means that the call may or may not have taken effect.
	ErrIndeterminate = errors.New("platform gave no answer; the write may have taken effect")
	// ErrNotFound means that the row, object or model version does not exist.
	ErrNotFound = errors.New("not found")
	// ErrMalformed means that stored data could not be decoded.
	ErrMalformed = errors.New("malformed content")
	// ErrRestored means that the store was restored from a copy since the position of a call: its state has to be read
	// as a whole.
	ErrRestored = errors.New("the platform's store was restored from a copy")
	// ErrInvalid means that the arguments of the call are invalid.
	ErrInvalid = errors.New("invalid platform call")
)

// ConflictError means that a check of a transaction failed. Nothing was written.
type ConflictError struct {
	Key string
	// Want and Have are the expected and the actual version of the row.
	Want, Have uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %q: expected version %d, found %d", e.Key, e.Want, e.Have)
}

// NotFoundError is ErrNotFound for a row, with the position at which the row was missing.
type NotFoundError struct {
	Key string
	At  Position
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("row %q not found", e.Key) }

// Is reports whether target is ErrNotFound.
func (e *NotFoundError) Is(target error) bool { return target == ErrNotFound }

// Row is a row of the table. Versions start at 1 and increase by one with each write
// of the row; a row that does not exist has version 0. On the users' platform a version
// is the Position of the write.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Check is a precondition of a transaction: the version of a row at commit.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write puts or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is an atomic transaction: all writes are applied if all checks hold.
type Txn struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns rows whose keys start with prefix and are greater than
	// after, in key order, at most limit of them.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. It returns a *ConflictError when a check fails.
	Commit(ctx context.Context, t Txn) error
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, key string, body []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
	List(ctx context.Context, prefix string) ([]string, error)
}

// VMState is the state of a VM as listed by the platform.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the list of VMs.
type VM struct {
	ID    string  `json:"id"`
	Zone  string  `json:"zone"`
	State VMState `json:"state"`
}

// VMs is the list of live and leaving VMs. It lags behind the actual state.
type VMs interface {
	// List returns the VMs and the age of the list.
	List(ctx context.Context) (vms []VM, age time.Duration, err error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Open streams the weights of a model version.
	Open(ctx context.Context, model, version string) (io.ReadCloser, error)
}
