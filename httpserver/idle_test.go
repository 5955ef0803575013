package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/httpserver"
)

// TestShutdownClosesIdleConnectionsFirst: a connection that waits for a request closes at once, so that no request
// arrives on it that could not be finished any more; the response in progress on another connection arrives whole.
func TestShutdownClosesIdleConnectionsFirst(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	s, err := httpserver.Start(httpserver.Options{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(started)
			<-finish
		}
		_, _ = io.WriteString(w, "whole")
	})})
	assert.NilError(t, err)
	idle, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	defer func() { _ = idle.Close() }()
	_, err = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	br := bufio.NewReader(idle)
	res, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, res.Body)
	assert.NilError(t, err)

	long := make(chan string, 1)
	go func() {
		res, err := http.Get("http://" + s.Addr() + "/long")
		if err != nil {
			long <- err.Error()
			return
		}
		defer func() { _ = res.Body.Close() }()
		body, _ := io.ReadAll(res.Body)
		long <- string(body)
	}()
	<-started
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- s.Shutdown(context.Background()) }()
	_, err = br.ReadByte()
	assert.Equal(t, err, io.EOF, "while the long response is in progress")
	close(finish)
	assert.Equal(t, <-long, "whole")
	assert.NilError(t, <-shutdownDone)
}
