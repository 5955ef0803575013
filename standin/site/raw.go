package site

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// RawAnswer is what a server in trouble sends in place of an answer to a request of a client. Unless Calls is set it grants
// reservations as a sound one does.
type RawAnswer struct {
	// Text is sent as it is, but for RequestIDMark, in answer to a request of which the head was read.
	Text string
	// Calls is set if calls that are no requests of clients get the answer as well.
	Calls bool
	// Resets is set if the connection is reset after it, with the rest of the request unread, and not closed in an orderly way
	// once the whole request was read.
	Resets bool
}

// RequestIDMark stands for the ID of the request in a RawAnswer.
const RequestIDMark = "{id}"

// StampedHead begins an answer that can pass for one of server id: its status line and the headers that are checked.
func StampedHead(status, id string) string { return "HTTP/1.1 " + status + "\r\n" + StampedFields(id) }

// StampedFields are those headers.
func StampedFields(id string) string {
	return RequestID + ": " + RequestIDMark + "\r\n" + Stamp + ": " + id + "\r\n"
}

// unreadBytes is the size of the receive buffer of a server that resets connections: the rest of a long request waits at
// its client.
const unreadBytes = 4 << 10

// callsPrefix begins the paths of calls that are no requests of clients; reservationGranted answers one.
const (
	callsPrefix        = "/api/"
	reservationGranted = "HTTP/1.1 200 OK\r\n\r\n{\"hold\":\"h\"}"
)

// GrantReservation answers a call that is no request of a client as if it asked for a reservation. It returns false, without an answer,
// for a request.
func GrantReservation(w io.Writer, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, callsPrefix) {
		return false
	}
	// A client that has disconnected needs no answer.
	_, _ = io.WriteString(w, reservationGranted)
	return true
}

// NewRawServer starts a backend server that sends the answer to each request, on a connection each. It returns its address.
func NewRawServer(t *testing.T, answer RawAnswer) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go answer.serve(conn.(*net.TCPConn))
		}
	}()
	return lis.Addr().String()
}

// serve answers one request. Errors mean that the client has left.
func (a RawAnswer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	if a.Resets {
		_ = conn.SetReadBuffer(unreadBytes)
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(conn, unreadBytes))
	if err != nil {
		return
	}
	if !a.Resets {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if !a.Calls && GrantReservation(conn, r) {
		return
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(a.Text, RequestIDMark, r.Header.Get(RequestID)))
	if a.Resets {
		_ = conn.SetLinger(0)
	}
}
