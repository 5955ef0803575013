package httpserver

import (
	"io"
	"net/http"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
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

// ReadBody reads the body of a request, which has been received whole. It takes no more memory than the body, and frees what held
// it before.
func ReadBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	received, ok := r.Body.(*nbhttp.BodyReader)
	if !ok {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, received.Left())
	_, err := io.ReadFull(received, body)
	return body, err
}
