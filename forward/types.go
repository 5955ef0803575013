// Package forward handles one request from its arrival to its answer: it is admitted, placed, sent to servers, resumed
// if the route allows it, and answered exactly once.
//
// Decisions that depend on load are made in other packages: policy/waitqueue orders waiting requests and
// policy/kvmemory chooses their engine, policy/outlier rates the servers for plain calls, and policy/retrybudget
// bounds retries. The Codec defines the format on the wire.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hibiscusspur/hibiscusspur/apikey"
	"github.com/hibiscusspur/hibiscusspur/fingerprint"
	"github.com/hibiscusspur/hibiscusspur/policy/quarantine"
	"github.com/hibiscusspur/hibiscusspur/registry"
	"github.com/hibiscusspur/hibiscusspur/route"
)

// Errors of reservations.
var (
	// ErrFull means that an engine has no free capacity for a reservation.
	ErrFull = errors.New("engine has no free capacity")
	// ErrStopping means that an engine has no free capacity and also closes its connection, as one does that is
	// shutting down.
	ErrStopping = errors.New("engine has no free capacity and closes the connection")
)

// Errors of moves, besides ErrFull if the destination has no memory or can't be reached.
var (
	// ErrNoRun means that the engine does not run the request.
	ErrNoRun = errors.New("engine does not run the request")
	// ErrMoveInProgress means that another call that moves the run is in progress.
	ErrMoveInProgress = errors.New("a move of the run is in progress")
)

// MovedCopy is the copy of a run that an engine has moved.
type MovedCopy struct {
	// Handle names the copy at the engine that moved it.
	Handle string
	// Events is the number of events that the run had generated.
	Events int
}

// Meta is the metadata in a client's request.
type Meta struct {
	// ID identifies this attempt of the client.
	ID string
	// ClientTimeout is how long the client waits; zero if it is not given.
	ClientTimeout time.Duration
	// PromptTokens and MaxTokens are the size of the prompt and the maximum number of generated tokens.
	PromptTokens, MaxTokens int
	// SharedParts are the IDs of the parts of the prompt, in order, without the last one, which no other request has.
	SharedParts []string
	// LengthHint is the client's estimate of the number of generated tokens; zero if none.
	LengthHint int
	// LastEventID is the last event that the client received of an interrupted stream.
	LastEventID string
	// Resumes is the ID of the client's attempt that brought the first event of the stream that this one resumes; empty
	// if the client resumes none, or does not say.
	Resumes string
	// Caller is the caller's identity by the request's credentials; empty if it has none.
	Caller string
	// Key is the hash of the API key, if HasKey is set.
	Key    apikey.Hash
	HasKey bool
	// Sized is set if the request gives its size in tokens.
	Sized bool
}

// Send is the metadata of a request to a server, besides the client's own headers.
type Send struct {
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Instance is the instance that the request is for; any other refuses it.
	Instance string
	// PrefillOnly asks for the prompt to be prefilled and its KV cache to be exported.
	PrefillOnly bool
	// KVFrom is where to fetch the KV cache of the prompt.
	KVFrom string
	// BackupTo is the address of the engine to which the run's KV cache is copied as it grows; empty for none.
	BackupTo string
	// Continues is set if the request continues a run from a copy of it, so that it is no further attempt.
	Continues bool
	// Returns is set if the server itself stopped the run and keeps its memory: it takes it back even if it is leaving.
	Returns bool
	// Reservation is the memory reserved for the request.
	Reservation string
	// LastEventID is the last event of the stream that was delivered.
	LastEventID string
	// Keyed is set if the configuration has customers with keys. The server is then sent the customer's name, empty if
	// the request has none, and not the key.
	Keyed    bool
	Customer string
}

// AnswerHead is the head of a server's answer.
type AnswerHead struct {
	Status int
	// Header is the part that may be passed on to the client.
	Header http.Header
	// NotRun is set if the server proves that it did not run the request.
	NotRun bool
	// Stamped is set if the answer carries a server's stamp.
	Stamped bool
	// Encoded is set if the body is not the server's own bytes.
	Encoded bool
	// Replaced is set if another server than the intended one answered.
	Replaced bool
	// Signals is what the server reports about itself.
	Signals Signals
}

// Export is a KV cache that an engine holds for another one to fetch.
type Export struct {
	Handle string
	Tokens int
}

// Codec encodes requests to servers and decodes requests and answers. It must be safe for concurrent use.
type Codec interface {
	// ParseRequest decodes a client's header; an error means that the request is malformed.
	ParseRequest(h http.Header) (Meta, error)
	// Outgoing returns the header for a server; the client's is not changed.
	Outgoing(client http.Header, s Send) http.Header
	// Matches reports whether an answer with this header belongs to the request with that ID.
	Matches(id string, h http.Header) bool
	ParseAnswer(status int, h http.Header) AnswerHead
	// DecodeExport decodes the answer to a request sent with PrefillOnly.
	DecodeExport(body []byte) (Export, error)
	// ExportSource is the value of Send.KVFrom for an export that s holds.
	ExportSource(s registry.Server, handle string) string
	// CopySource is the value of Send.KVFrom for a copy of a run: of a backup that s holds, named by the ID of the
	// request, or of a move that s is the source of, named by its handle.
	CopySource(s registry.Server, name string) string
}

// Engines makes the calls to model engines other than the requests themselves. It must be safe for concurrent use.
type Engines interface {
	// Reserve reserves a slot and memory for lifetime; it returns ErrFull or ErrStopping if there is no free capacity.
	Reserve(ctx context.Context, s registry.Server, tokens int, lifetime time.Duration) (string, error)
	// Unreserve returns an unused reservation.
	Unreserve(ctx context.Context, s registry.Server, reservation string) error
	// Move copies the KV cache of a run that s executes to another engine. If last is set, s stops the run first and
	// keeps its memory under the handle, which is then also returned with ErrFull. It returns once the copy is complete;
	// ctx bounds it.
	Move(ctx context.Context, s registry.Server, request string, to registry.Server, last bool) (MovedCopy, error)
	// FreeExport frees an exported KV cache that will not be fetched, or a copy of a run: at the source of a move at both
	// engines.
	FreeExport(ctx context.Context, s registry.Server, handle string) error
	// OnSignals registers f to be called with the signals in answers to these calls. It is called once, before any
	// other method.
	OnSignals(f func(s registry.Server, signals Signals))
}

// Quarantine withholds requests during which servers repeatedly terminated. It must be safe for concurrent use.
type Quarantine interface {
	// Active reports whether any request is suspected or quarantined; if not, no request needs to be looked up.
	Active() bool
	// Quarantined reports whether a request with these parts in its prompt is quarantined, and for how much longer.
	Quarantined(d fingerprint.Digest, parts []string) (time.Duration, bool)
	// ServerTerminated takes the requests that were in progress at a terminated server.
	ServerTerminated(server string, broken []quarantine.BrokenAttempt)
	// RunBegan records that a server began to generate for a request whose prompt has these parts.
	RunBegan(parts []string)
	// RequestSucceeded records that a server answered a request successfully.
	RequestSucceeded(d fingerprint.Digest)
}

// StreamRef names a stream that a client may resume.
type StreamRef struct {
	Service, Customer string
	// ID is that of the client's request that brought its first event.
	ID string
}

// StreamVersions knows at which software version streams were begun, here or at another router, for clients that resume
// them. It must be safe for concurrent use.
type StreamVersions interface {
	// Begun records that the client is sent an event of a stream by a server of a version. The client may resume the stream
	// until the given time.
	Begun(s StreamRef, version string, until time.Time)
	// Version returns the version at which a stream may go on; empty for any, if engines report none. It asks other
	// routers if need be, until ctx ends. ok is false if no router knows the stream and engines of several versions may
	// have begun it.
	Version(ctx context.Context, s StreamRef) (version string, ok bool)
}

// View is the process's local state of configuration and servers. It must be safe for concurrent use.
type View interface {
	// Table is the configuration in force; nil while there is none.
	Table() *route.Table
	// Proved reports whether the configuration is proved to be recent enough to serve requests with keys. If not, it
	// waits briefly for a proof.
	Proved(ctx context.Context) bool
	// ProvedForUnknownKey reports whether it is proved to be recent enough to reject an unknown key.
	ProvedForUnknownKey(ctx context.Context) bool
	// Servers returns the servers of a service that may get new work. The returned list is never modified; a changed
	// list is another slice.
	Servers(service string) []registry.Server
	// Listed reports whether a server is listed and has not announced its shutdown.
	Listed(id string) bool
	// Leaving reports whether a server has announced its shutdown, even if it is no longer listed.
	Leaving(id string) bool
	// LeavingSince returns when this process learned that a server has announced its shutdown, or is no longer listed;
	// zero if neither.
	LeavingSince(id string) time.Time
	// MarkLeaving records that a server has announced its shutdown in an answer, and reports whether that was unknown.
	MarkLeaving(s registry.Server) bool
	// MarkDown records that nothing listens at a server's address: it has terminated.
	MarkDown(s registry.Server)
	// MarkReplaced records that another server answers at a server's address.
	MarkReplaced(s registry.Server)
	// Others is the number of other processes known to accept requests.
	Others() int
	// Routers is the number of processes that forward requests, including this one.
	Routers() int
}
