package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/upstream"
)

// failureSignal is a connection that closes failed once writing to it fails.
type failureSignal struct {
	*net.TCPConn
	failed chan struct{}
}

// Write implements net.Conn.
func (c *failureSignal) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		close(c.failed)
	}
	return n, err
}

// longUpload is larger than the socket buffers of both ends.
const longUpload = 16 << 20

// failedUpload sends a long request to a server that answers at once, in an answer that ends with its connection, and resets the
// connection once the client has read what is there. It returns what the client reads after its writing has failed.
func failedUpload(t *testing.T, endsInOrder bool) (body string, err error) {
	partRead := make(chan struct{})
	addr, _ := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
		_, err := http.ReadRequest(br)
		assert.Check(t, err)
		send(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		if endsInOrder {
			assert.Check(t, c.(*net.TCPConn).CloseWrite())
		}
		<-partRead
		assert.Check(t, c.(*net.TCPConn).SetLinger(0))
	})
	failed := make(chan struct{})
	pool := upstream.New(upstream.Options{Connect: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &failureSignal{c.(*net.TCPConn), failed}, nil
	}})
	r := request()
	r.Body = make([]byte, longUpload)
	res, err := pool.Do(t.Context(), addr, r)
	assert.NilError(t, err)
	part := make([]byte, len("part"))
	_, err = io.ReadFull(res.Body, part)
	assert.NilError(t, err)
	close(partRead)
	<-failed
	rest, err := io.ReadAll(res.Body)
	return string(part) + string(rest), err
}

// TestAnswerResetDuringUploadIsNotWhole guards against a part of an answer that passes for all of it: the error of a connection that is
// reset while the request is still being written went to the writer, and the reader got an orderly end.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	body, err := failedUpload(t, false)
	assert.Check(t, err != nil, "%q passes for a whole answer", body)
}

// TestAnswerThatEndsBeforeResetIsWhole guards against losing an answer that has ended in an orderly way before the connection is reset.
func TestAnswerThatEndsBeforeResetIsWhole(t *testing.T) {
	body, err := failedUpload(t, true)
	assert.NilError(t, err)
	assert.Equal(t, body, "part")
}

// TestEarlyAnswerThatEndsInOrderIsWhole guards against losing an answer that a server ends in an orderly way before it has read all of
// the request, whether it reads on or not.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	for _, readsOn := range []bool{true, false} {
		done := make(chan struct{})
		addr, _ := serve(t, func(t *testing.T, c net.Conn, br *bufio.Reader) {
			_, err := http.ReadRequest(br)
			assert.Check(t, err)
			send(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
			assert.Check(t, c.(*net.TCPConn).CloseWrite())
			if readsOn {
				_, _ = io.Copy(io.Discard, br)
			}
			<-done
		})
		r := request()
		r.Body = make([]byte, longUpload)
		body, err := do(t.Context(), upstream.New(upstream.Options{}), addr, r)
		close(done)
		assert.NilError(t, err)
		assert.Equal(t, body, "whole")
	}
}

// TestHeadLeavesItsConnectionUsable guards against a response to HEAD without a length that passes for one that ends with its connection.
func TestHeadLeavesItsConnectionUsable(t *testing.T) {
	addr, conns := serve(t, respondWith("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", ok))
	p := upstream.New(upstream.Options{})
	head := request()
	head.Method, head.Body = http.MethodHead, nil
	_, err := do(t.Context(), p, addr, head)
	assert.NilError(t, err)
	body, err := do(t.Context(), p, addr, request())
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, conns(), 1)
}
