package httpserver

import (
	"net/http"

	"github.com/lesismal/nbio"
)

// Caller reports whether the client of a request is still connected. nbhttp cancels no context and fails no write
// when a client disconnects.
type Caller struct {
	conn *nbio.Conn
}

// CallerOf returns the caller of w. For a response that is not from a Server it returns a Caller that never
// disconnects.
func CallerOf(w http.ResponseWriter) Caller {
	res, ok := w.(*response)
	if !ok {
		return Caller{}
	}
	return Caller{conn: res.out.raw}
}

// Gone reports whether the connection is closed. It does not block.
func (c Caller) Gone() bool {
	if c.conn == nil {
		return false
	}
	closed, _ := c.conn.IsClosed()
	return closed
}

// Abort closes the connection without completing the response. Bytes that were flushed before may still arrive.
func Abort(w http.ResponseWriter) {
	if res, ok := w.(*response); ok {
		_ = res.out.raw.Close()
	}
}
