package httpserver

import (
	"net"
	"net/http"
	"strconv"

	"github.com/lesismal/nbio/nbhttp"

	httpresponse "github.com/hibiscusspur/hibiscusspur/response"
)

// maxBufferedBytes is how much of a chunked response is buffered before it is sent. It is well below the 64 KiB from
// which nbhttp v1.6.8 continues to use a buffer that it has returned to its pool.
const maxBufferedBytes = 32 << 10

// response is the http.ResponseWriter of handlers. It is used by the goroutine of one handler only.
type response struct {
	inner *nbhttp.Response
	req   *http.Request
	out   *writer
	// buffered counts the body bytes since the last flush, total all body bytes.
	buffered, total int
	started         bool
}

func newResponse(inner *nbhttp.Response, r *http.Request) *response {
	return &response{inner: inner, req: r, out: inner.Parser.Conn.(*writer)}
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.inner.Header() }

// WriteHeader implements http.ResponseWriter. A status that a response can't have is replaced by 502. For one without a
// standard text nbhttp would send 200: it is told the first status of the class, and the connection writes the right one.
func (w *response) WriteHeader(status int) {
	if httpresponse.Check(status, nil) != nil {
		status = http.StatusBadGateway
	}
	if !w.started && http.StatusText(status) == "" {
		w.out.nextStatus = status
		status = status / statusClass * statusClass
	}
	w.started = true
	w.inner.WriteHeader(status)
}

// statusClass is the number of statuses of a class.
const statusClass = 100

// Write implements http.ResponseWriter. It fails once the client has disconnected.
func (w *response) Write(b []byte) (int, error) {
	w.started = true
	if w.gone() {
		return 0, net.ErrClosed
	}
	w.total += len(b)
	if w.req.Method == http.MethodHead {
		return len(b), nil
	}
	for done := 0; done < len(b); {
		n := min(len(b)-done, maxBufferedBytes)
		if w.buffered+n > maxBufferedBytes {
			w.Flush()
		}
		if _, err := w.inner.Write(b[done : done+n]); err != nil {
			return done, err
		}
		w.buffered += n
		done += n
	}
	return len(b), nil
}

// Flush implements http.Flusher. A response without a length to a client that doesn't support chunked encoding is
// sent when it is complete.
func (w *response) Flush() {
	w.started = true
	w.buffered = 0
	if w.gone() || w.req.Method == http.MethodHead {
		return
	}
	if w.req.ProtoAtLeast(1, 1) || w.Header().Get("Content-Length") != "" {
		w.inner.Flush()
	}
}

func (w *response) gone() bool {
	closed, _ := w.out.raw.IsClosed()
	return closed
}

// finish completes the response to a HEAD request, which nbhttp does not support.
func (w *response) finish() {
	if w.req.Method == http.MethodHead && w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(w.total))
	}
}

// fail ends the response of a handler that has panicked: with status 500 if nothing was sent yet, otherwise by
// closing the connection.
func (w *response) fail() {
	if w.started {
		_ = w.out.raw.Close()
		return
	}
	w.WriteHeader(http.StatusInternalServerError)
}
