package forward_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/standin/site"
)

// TestServerPromisesWithoutProof guards against passing on a server's status that says that a request has not run, though it
// may have: clients send it again, and it runs twice. Requests that can be repeated get the server's answer.
func TestServerPromisesWithoutProof(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusInternalServerError, http.StatusBadRequest} {
		promise := status != http.StatusInternalServerError && status != http.StatusBadRequest
		for _, c := range []struct {
			path       string
			engines    bool
			repeatable bool
		}{
			{"/unsafe/1", false, false}, {"/once/1", false, false}, {"/safe/1", false, true}, {"/draft/1", true, false}, {"/resume/1", true, true},
		} {
			t.Run(fmt.Sprint(status, c.path), func(t *testing.T) {
				w := newPlainEnv(t)
				if c.engines {
					w = newEngineEnv(t)
				}
				for id, s := range w.servers {
					s.FailWith(status)
					if id != "pre" {
						s.Behave(site.Fail)
					}
				}
				got := w.post(t, c.path)
				want := status
				if promise && !c.repeatable {
					want = http.StatusBadGateway
				}
				assert.Equal(t, got.status, want)
				assert.Equal(t, got.header.Get(site.Stamp) != "", want == status, "a stamp goes with the server's own status")
				assert.Assert(t, want == status || got.header.Get("Retry-After") == "" && got.body == "")
			})
		}
	}
}

// repeatRefusals relays connections to a server, and sends each answer 503 once more after the next request for a draft on
// its connection.
func repeatRefusals(t *testing.T, server string) (addr string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			client, err := lis.Accept()
			if err != nil {
				return
			}
			go relayRepeating(client, server)
		}
	}()
	return lis.Addr().String()
}

func relayRepeating(client net.Conn, server string) {
	defer func() { _ = client.Close() }()
	upstream, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	refusals := make(chan []byte, 100)
	go func() {
		defer func() { _ = client.Close() }()
		for buf := make([]byte, 64<<10); ; {
			n, err := upstream.Read(buf)
			if bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 503")) {
				refusals <- bytes.Clone(buf[:n])
			}
			if _, werr := client.Write(buf[:n]); err != nil || werr != nil {
				return
			}
		}
	}()
	for buf := make([]byte, 64<<10); ; {
		n, err := client.Read(buf)
		if bytes.HasPrefix(buf[:n], []byte("POST /draft")) && len(refusals) > 0 {
			_, _ = client.Write(<-refusals)
		}
		if _, werr := upstream.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}

// TestLateRefusalOfEarlierSend guards against a second answer to a send that a server has refused, which is taken for that to the
// next send of the same request there: the request was refused, and ran.
func TestLateRefusalOfEarlierSend(t *testing.T) {
	w := newEngineEnv(t)
	w.view.mu.Lock()
	for i := range w.view.servers {
		w.view.servers[i].Addr = repeatRefusals(t, w.view.servers[i].Addr)
	}
	w.view.mu.Unlock()
	w.setDecodeBehaviour(site.FailKVFetch)
	got := w.post(t, "/draft/1")
	assert.Equal(t, got.status, http.StatusOK, "%q", got.body)
	assert.Equal(t, got.body, whole)
	ran := 0
	for _, c := range w.decodes("/draft/1") {
		if !c.Refused {
			ran++
		}
	}
	assert.Equal(t, ran, 1)
}
