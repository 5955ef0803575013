// Package forward is the life of one request: it is admitted, placed, sent to servers,
// resumed where the route allows it, and answered once.
//
// The package decides nothing by itself that depends on load: who waits and which
// engine is asked is in policy/waitqueue and policy/kvmemory, which server a plain call
// goes to in policy/outlier, how much may be repeated in policy/retrybudget. How a
// request looks on the wire is the Codec's.
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
	// ErrFull means that an engine has no room for it.
	ErrFull = errors.New("engine has no room")
	// ErrStopping means that an engine has none and closes its connection as well, as one does that is about to stop.
	ErrStopping = errors.New("engine has no room and closes the connection")
)

// Meta is what a client says of its request.
type Meta struct {
	// ID names this attempt of the client.
	ID string
	// Patience is how long the client waits; zero means that it did not say.
	Patience time.Duration
	// PromptTokens and MaxTokens are the size of the prompt and the most that may be generated.
	PromptTokens, MaxTokens int
	// LengthHint is the client's guess of the tokens that will be generated; zero if none.
	LengthHint int
	// LastEventID is the last event that the client has of a stream that broke.
	LastEventID string
	// Caller is who asks, as the credentials of the request say; empty if it has none.
	Caller string
	// Key is the hash of the API key, if HasKey is set.
	Key    apikey.Hash
	HasKey bool
	// Sized is set when the request says its size in tokens.
	Sized bool
}

// Send is what the router tells a server beside the client's own headers.
type Send struct {
	// Left is the time that the server has.
	Left time.Duration
	// Instance is the server that is meant; another one refuses.
	Instance string
	// PrefillOnly asks for the prompt to be read and its KV cache to be exported.
	PrefillOnly bool
	// KVFrom is where the KV cache of the prompt is to be fetched from.
	KVFrom string
	// Reservation is the room that was reserved for the request.
	Reservation string
	// LastEventID is the last event of the stream that was delivered.
	LastEventID string
	// Keyed is set where the configuration knows customers by keys. Then the server is told the customer, empty
	// if the request has none, and is not shown the key.
	Keyed    bool
	Customer string
}

// AnswerHead is the head of a server's answer.
type AnswerHead struct {
	Status int
	// Header is what may be passed on to the client.
	Header http.Header
	// NotRun is set when the server proves that the request did not run there.
	NotRun bool
	// Stamped is set when the answer bears the mark of a server.
	Stamped bool
	// Encoded is set when the body is not the server's own bytes.
	Encoded bool
	// Replaced is set when another server than the one that was meant answered.
	Replaced bool
	// Signals is what the server says of itself.
	Signals Signals
}

// Export is a KV cache that an engine keeps for another one to fetch.
type Export struct {
	Handle string
	Tokens int
}

// Codec translates requests and answers. It must be safe for concurrent use.
type Codec interface {
	// Read decodes what a client says; an error means that the request is malformed.
	Read(h http.Header) (Meta, error)
	// Outgoing returns the head for a server; the client's is not changed.
	Outgoing(client http.Header, s Send) http.Header
	// Mine reports whether an answer with this head belongs to the request of that id.
	Mine(id string, h http.Header) bool
	Answer(status int, h http.Header) AnswerHead
	// DecodeExport decodes the answer to a request that was sent with PrefillOnly.
	DecodeExport(body []byte) (Export, error)
	// ExportSource is the value of Send.KVFrom for an export that s holds.
	ExportSource(s registry.Server, handle string) string
}

// Engines are the calls of model engines beside the requests themselves. It must be
// safe for concurrent use.
type Engines interface {
	// Reserve reserves a slot and memory for life; ErrFull or ErrStopping if there is no room.
	Reserve(ctx context.Context, s registry.Server, tokens int, life time.Duration) (string, error)
	// Unreserve gives a reservation back that was not used.
	Unreserve(ctx context.Context, s registry.Server, reservation string) error
	// FreeExport frees an exported KV cache that nobody will fetch.
	FreeExport(ctx context.Context, s registry.Server, handle string) error
	// Hear has f called with what engines say of themselves in answers to these calls. It is called once, before any
	// other.
	Hear(f func(s registry.Server, signals Signals))
}

// Quarantine holds back requests under which servers end. It must be safe for concurrent use.
type Quarantine interface {
	// Watches reports whether any request is suspect or held, so that the others need not be looked at.
	Watches() bool
	// Held reports for how long a request is held back still.
	Held(d fingerprint.Digest) (time.Duration, bool)
	// Ended takes the requests that were in progress at a server that ended.
	Ended(server string, broken []quarantine.BrokenAttempt)
	// Answered notes that a server answered a request with success.
	Answered(d fingerprint.Digest)
}

// View is what the process believes of configuration and servers. It must be safe for
// concurrent use.
type View interface {
	// Table is the configuration in force, or nil while none is known.
	Table() *route.Table
	// Proved reports whether the configuration is proved to be recent enough to serve requests with keys. It waits
	// a moment for a proof if it is not.
	Proved(ctx context.Context) bool
	// ProvedLately reports the same for a key that is not known to be refused as unknown.
	ProvedLately(ctx context.Context) bool
	// Servers are those of a service that may get new work. Nobody changes a list that was
	// returned; a changed one is another slice.
	Servers(service string) []registry.Server
	// Listed reports whether a server is in the list and has not said that it stops.
	Listed(id string) bool
	// Leaving reports whether a server has said that it stops, also when it is not in the list any more.
	Leaving(id string) bool
	// Leaves notes that a server has said in an answer that it stops, and reports whether that is news.
	Leaves(s registry.Server) bool
	// Down notes that nothing listens at a server's address: it has ended.
	Down(s registry.Server)
	// Replaced notes that another server answers at a server's address.
	Replaced(s registry.Server)
	// Others is the number of other processes that are known to take requests.
	Others() int
	// Routers is the number of processes that forward requests, this one included.
	Routers() int
}
