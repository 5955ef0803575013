package engine

import (
	"errors"
	"net/http"
	"strings"
)

// Paths of the HTTP protocol. Bodies are JSON; the responses of PathDecode and
// PathStream are newline-delimited JSON, one StreamLine per line.
const (
	PathInfo        = "/v1/info"
	PathPrefill     = "/v1/prefill"
	PathDecode      = "/v1/decode"
	PathStream      = "/v1/stream"
	PathCancel      = "/v1/cancel"
	PathRuns        = "/v1/runs"
	PathExports     = "/v1/exports"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
	// PathClaim and PathComplete are used between engines: the importing engine
	// claims a KV cache before the transfer and drops it from the exporter afterwards.
	PathClaim    = "/v1/exports/claim"
	PathComplete = "/v1/exports/complete"
)

// Query parameters of the HTTP protocol.
const (
	ParamRun      = "run"
	ParamPosition = "position"
	ParamHandle   = "handle"
	ParamAfter    = "after"
)

// ErrorCode identifies an error of this package in the HTTP protocol.
type ErrorCode string

// Error codes of the HTTP protocol.
const (
	CodeUnavailable   ErrorCode = "unavailable"
	CodeFull          ErrorCode = "full"
	CodeNotFound      ErrorCode = "not_found"
	CodeFenced        ErrorCode = "fenced"
	CodeInvalid       ErrorCode = "invalid"
	CodeExists        ErrorCode = "exists"
	CodeIndeterminate ErrorCode = "indeterminate"
)

// ErrorBody is the body of every unsuccessful response, and part of the last line
// of a stream that the engine ended because of an error.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// StreamLine is one line of a stream: an event or the error that ended the run.
type StreamLine struct {
	StreamEvent
	Error *ErrorBody `json:"error,omitempty"`
}

type protocolError struct {
	code   ErrorCode
	status int
	err    error
}

var protocolErrors = []protocolError{
	{CodeUnavailable, http.StatusServiceUnavailable, ErrUnavailable},
	{CodeFull, http.StatusTooManyRequests, ErrFull},
	{CodeNotFound, http.StatusNotFound, ErrNotFound},
	{CodeFenced, http.StatusPreconditionFailed, ErrFenced},
	{CodeInvalid, http.StatusBadRequest, ErrInvalid},
	{CodeExists, http.StatusConflict, ErrExists},
	{CodeIndeterminate, http.StatusInternalServerError, ErrIndeterminate},
}

// Err returns the error of this package that c identifies, or ErrIndeterminate for
// an unknown code.
func (c ErrorCode) Err() error {
	for _, p := range protocolErrors {
		if p.code == c {
			return p.err
		}
	}
	return ErrIndeterminate
}

// EncodeError returns the HTTP status and the body for an error of this package.
func EncodeError(err error) (int, ErrorBody) {
	for _, p := range protocolErrors {
		if errors.Is(err, p.err) {
			detail := strings.TrimPrefix(err.Error(), p.err.Error()+": ")
			return p.status, ErrorBody{Code: p.code, Message: detail}
		}
	}
	return http.StatusInternalServerError, ErrorBody{Code: CodeIndeterminate, Message: err.Error()}
}
