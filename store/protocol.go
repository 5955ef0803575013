package store

import (
	"errors"
	"net/http"
	"time"
)

// Paths of the HTTP protocol. Keys are query parameters, so that any text may be a
// key.
const (
	PathRow     = "/table/row"     // GET ?key=
	PathRows    = "/table/rows"    // GET ?prefix=&after=&limit=
	PathCommit  = "/table/commit"  // POST Txn
	PathObject  = "/objects/one"   // GET, PUT, DELETE ?key=
	PathObjects = "/objects/list"  // GET ?prefix=
	PathVMs     = "/vms"           // GET
	PathWeights = "/weights/model" // GET ?model=&version=
)

// Query parameters of the HTTP protocol.
const (
	ParamKey     = "key"
	ParamPrefix  = "prefix"
	ParamAfter   = "after"
	ParamLimit   = "limit"
	ParamModel   = "model"
	ParamVersion = "version"
)

// RowsResponse is the body of a response of PathRows.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// ObjectsResponse is the body of a response of PathObjects.
type ObjectsResponse struct {
	Keys []string `json:"keys"`
}

// VMsResponse is the body of a response of PathVMs. Age is in nanoseconds.
type VMsResponse struct {
	VMs []VM          `json:"vms"`
	Age time.Duration `json:"age"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Message  string    `json:"message"`
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict is the wire form of a ConflictError.
type Conflict struct {
	Key  string `json:"key"`
	Want uint64 `json:"want"`
	Have uint64 `json:"have"`
}

// EncodeError returns the status and body of the response for err, an error of a
// port. The client converts them back to an error of the same kind.
func EncodeError(err error) (int, ErrorResponse) {
	a := ErrorResponse{Message: err.Error()}
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		a.Conflict = &Conflict{Key: conflict.Key, Want: conflict.Want, Have: conflict.Have}
		return http.StatusConflict, a
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound, a
	case errors.Is(err, ErrInvalid):
		return http.StatusBadRequest, a
	case errors.Is(err, ErrUnavailable):
		return http.StatusServiceUnavailable, a
	default:
		return http.StatusInternalServerError, a
	}
}
