package site

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
)

// FrameByConnection sets whether answers to requests carry neither a length nor chunks, so that they end with their
// connection. An aborted answer resets the connection then.
func (s *Server) FrameByConnection(on bool) { s.connectionFramed.Store(on) }

// withFraming frames answers to requests as the server was told to.
func (s *Server) withFraming(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.connectionFramed.Load() {
			h(w, r)
			return
		}
		c := &connWriter{ResponseWriter: w}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		c.onDisconnect = cancel
		defer func() {
			p := recover()
			c.end(p != nil)
			if p != nil {
				panic(p)
			}
		}()
		h(c, r.WithContext(ctx))
	}
}

// connWriter writes an answer that ends with its connection.
type connWriter struct {
	http.ResponseWriter
	conn net.Conn
	// onDisconnect is called once the client has closed the connection.
	onDisconnect func()
}

// WriteHeader implements http.ResponseWriter.
func (c *connWriter) WriteHeader(status int) {
	if c.conn != nil {
		return
	}
	conn, _, err := c.ResponseWriter.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.conn = conn
	go func() {
		var b [1]byte
		_, _ = conn.Read(b[:])
		c.onDisconnect()
	}()
	head := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: c.Header(), ContentLength: -1, Body: io.NopCloser(strings.NewReader("")),
	}
	// A client that has disconnected shows in onDisconnect.
	_ = head.Write(conn)
}

// Write implements http.ResponseWriter.
func (c *connWriter) Write(p []byte) (int, error) {
	c.WriteHeader(http.StatusOK)
	return c.conn.Write(p)
}

// Flush implements http.Flusher; nothing is buffered.
func (c *connWriter) Flush() { c.WriteHeader(http.StatusOK) }

// resetConnection resets the connection of an answer that has begun.
func resetConnection(w http.ResponseWriter) {
	if c, ok := w.(*connWriter); ok {
		c.end(true)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	(&connWriter{conn: conn}).end(true)
}

// end closes the connection after the answer. One that was aborted is reset.
func (c *connWriter) end(aborted bool) {
	if !aborted {
		c.WriteHeader(http.StatusOK)
	}
	if c.conn == nil {
		return
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok && aborted {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}
