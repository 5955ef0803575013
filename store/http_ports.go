package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

type httpTable struct{ h *httpClient }

// NewHTTPTable returns a client of the table at baseURL (scheme, host and port).
// If hc is nil, the table uses its own HTTP client. It is safe for concurrent use.
func NewHTTPTable(baseURL string, hc *http.Client, opts ...Option) Table {
	return httpTable{newHTTPClient(baseURL, hc, opts)}
}

// Get implements Table.
func (t httpTable) Get(ctx context.Context, key string) (Row, error) {
	if err := ValidateKey(key); err != nil {
		return Row{}, err
	}
	var row Row
	err := t.h.read(ctx, PathRow, url.Values{ParamKey: {key}}, &row)
	return row, err
}

// List implements Table.
func (t httpTable) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	if err := ValidateLimit(limit); err != nil {
		return nil, err
	}
	q := url.Values{ParamPrefix: {prefix}, ParamAfter: {after}, ParamLimit: {strconv.Itoa(limit)}}
	var a RowsResponse
	err := t.h.read(ctx, PathRows, q, &a)
	return a.Rows, err
}

// Commit implements Table.
func (t httpTable) Commit(ctx context.Context, txn Txn) error {
	if err := txn.Validate(); err != nil {
		return err
	}
	body, err := json.Marshal(txn)
	if err != nil {
		return withCause(ErrInvalid, err)
	}
	_, err = t.h.do(ctx, call{method: http.MethodPost, path: PathCommit, body: body, write: true})
	return err
}

type httpObjects struct{ h *httpClient }

// NewHTTPObjects returns a client of the object store at baseURL.
func NewHTTPObjects(baseURL string, hc *http.Client, opts ...Option) Objects {
	return httpObjects{newHTTPClient(baseURL, hc, opts)}
}

// Put implements Objects.
func (o httpObjects) Put(ctx context.Context, key string, body []byte) error {
	_, err := o.objectCall(ctx, call{method: http.MethodPut, body: body, write: true}, key)
	return err
}

// Get implements Objects.
func (o httpObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.objectCall(ctx, call{method: http.MethodGet}, key)
}

// Delete implements Objects. Deleting an absent object succeeds.
func (o httpObjects) Delete(ctx context.Context, key string) error {
	_, err := o.objectCall(ctx, call{method: http.MethodDelete, write: true}, key)
	return err
}

func (o httpObjects) objectCall(ctx context.Context, c call, key string) ([]byte, error) {
	if err := ValidateKey(key); err != nil {
		return nil, err
	}
	c.path = PathObject
	c.query = url.Values{ParamKey: {key}}
	body, err := o.h.do(ctx, c)
	if err != nil {
		return nil, err
	}
	return body, nil
}

// List implements Objects.
func (o httpObjects) List(ctx context.Context, prefix string) ([]string, error) {
	var a ObjectsResponse
	err := o.h.read(ctx, PathObjects, url.Values{ParamPrefix: {prefix}}, &a)
	return a.Keys, err
}

type httpVMs struct{ h *httpClient }

// NewHTTPVMs returns a client of the list of VMs at baseURL.
func NewHTTPVMs(baseURL string, hc *http.Client, opts ...Option) VMs {
	return httpVMs{newHTTPClient(baseURL, hc, opts)}
}

// List implements VMs.
func (v httpVMs) List(ctx context.Context) ([]VM, time.Duration, error) {
	var a VMsResponse
	if err := v.h.read(ctx, PathVMs, nil, &a); err != nil {
		return nil, 0, err
	}
	return a.VMs, a.Age, nil
}
