package proofs

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

const (
	// maxBodyBytes and maxHeaderBytes are the limits of the manifest, within which clients are served.
	maxBodyBytes, maxHeaderBytes = 4 << 20, 16 << 10
	// farOver is an announced length far over the limit.
	farOver = 1 << 30
	// largeChunk and smallChunk are sizes of chunks, pieceBytes is that of the pieces in which bodies are written, with
	// piecePause between them.
	largeChunk, smallChunk, pieceBytes = 256 << 10, 16, 32 << 10
	piecePause                         = 5 * time.Millisecond
	// dripPause is the time between two bytes of a client that sends them one by one.
	dripPause = 20 * time.Millisecond
	// requestsAhead is the number of requests that a client sends ahead of their answers.
	requestsAhead = 20_000
	// bodiesAheadOfAnswers is the same for requests with bodies.
	bodiesAheadOfAnswers = 64
)

// clientKind is one way in which clients don't behave.
type clientKind struct {
	name    string
	clients int
	// send writes to a new connection, which stays open afterwards.
	send func(w *crowdConn)
	// unread is set if answers are not read, silent if nothing is sent.
	unread, silent bool
}

// request returns the head of a request up to its fields on the body, such as "POST /path HTTP/1.1\r\nHost: h\r\n".
type request func(client int) string

// misbehavingKinds lists the ways in which clients don't behave. The crowd of each takes more than the memory of the smallest VM, or more
// descriptors than it has, from a process that holds all that is sent.
func misbehavingKinds(head request) []clientKind {
	return []clientKind{
		{name: "bodies of legal size, whole", clients: 64, send: announced(head, maxBodyBytes, maxBodyBytes, maxBodyBytes)},
		{name: "bodies that stop short", clients: 64, send: mostly(announced(head, maxBodyBytes, maxBodyBytes-1, maxBodyBytes), announced(head, maxBodyBytes, maxBodyBytes, maxBodyBytes))},
		{name: "bodies in pieces that stop short", clients: 64, send: mostly(announced(head, maxBodyBytes, maxBodyBytes-1, pieceBytes), announced(head, maxBodyBytes, maxBodyBytes, pieceBytes))},
		{name: "bodies byte by byte", clients: 64, send: drip(head)},
		{name: "one chunk that stops short", clients: 64, send: mostly(chunked(head, maxBodyBytes, maxBodyBytes-1), chunked(head, maxBodyBytes, maxBodyBytes))},
		{name: "large chunks that stop short", clients: 64, send: mostly(chunked(head, largeChunk, maxBodyBytes-1), chunked(head, largeChunk, maxBodyBytes))},
		{name: "small chunks that stop short", clients: 64, send: mostly(chunked(head, smallChunk, maxBodyBytes-1), chunked(head, smallChunk, maxBodyBytes))},
		{name: "chunks of one byte", clients: 64, send: mostly(chunked(head, 1, maxBodyBytes-1), chunked(head, 1, maxBodyBytes))},
		{name: "bodies far over the limit, announced and sent", clients: 64, send: announced(head, farOver, farOver, pieceBytes)},
		{name: "one chunk far over the limit", clients: 64, send: chunked(head, farOver, farOver)},
		{name: "chunks without end", clients: 64, send: chunked(head, largeChunk, farOver)},
		{name: "bodies for which there is no route", clients: 64, send: announced(unrouted, maxBodyBytes, maxBodyBytes-1, pieceBytes)},
		{name: "chunk extension without end", clients: 64, send: endless(head, "Transfer-Encoding: chunked\r\n\r\n1;", "x")},
		{name: "chunk size without end", clients: 64, send: endless(head, "Transfer-Encoding: chunked\r\n\r\n", "0")},
		{name: "trailer without end", clients: 64, send: endless(head, "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\nA: ", "x")},
		{name: "target without end", clients: 64, send: endless(func(int) string { return "GET /" }, "", "x")},
		{name: "header line without end", clients: 64, send: endless(head, "A: ", "x")},
		{name: "header lines without end", clients: 64, send: endless(head, "", "a: b\r\n")},
		{name: "heads that stop short", clients: 900, send: headsThatStopShort(head)},
		{name: "requests sent ahead", clients: 32, send: ahead(head)},
		{name: "requests sent ahead, answers not read", clients: 32, send: ahead(head), unread: true},
		{name: "bodies sent ahead, answers not read", clients: 32, send: bodiesAhead(head), unread: true},
		{name: "connections that send nothing", clients: 1500, send: func(*crowdConn) {}, silent: true},
	}
}

// unrouted is the head of a request for which there is no route.
func unrouted(client int) string {
	return fmt.Sprintf("POST /nowhere/%d HTTP/1.1\r\nHost: %s\r\n", client, routeHost)
}

// mostly lets seven of eight clients do the first and the others the second.
func mostly(first, second func(*crowdConn)) func(*crowdConn) {
	return func(w *crowdConn) {
		if w.client%8 == 7 {
			second(w)
			return
		}
		first(w)
	}
}

// announced sends a body with its length, in pieces, and stops after some bytes.
func announced(head request, length, sent, piece int) func(*crowdConn) {
	return func(w *crowdConn) {
		w.writeText("%sContent-Length: %d\r\n\r\n", head(w.client), length)
		w.writeBody(sent, piece)
	}
}

// writeBody writes bytes of a body in pieces, with pauses if there are several.
func (w *crowdConn) writeBody(length, piece int) {
	data := bytes.Repeat([]byte("x"), min(piece, length))
	for left := length; left > 0 && w.goesOn(); left -= len(data) {
		w.write(data[:min(len(data), left)])
		if piece == pieceBytes {
			time.Sleep(piecePause)
		}
	}
}

// chunked sends a body in chunks, and stops after some bytes of them.
func chunked(head request, chunk, sent int) func(*crowdConn) {
	return func(w *crowdConn) {
		w.writeText("%sTransfer-Encoding: chunked\r\n\r\n", head(w.client))
		if chunk > sent || chunk > maxBodyBytes {
			w.writeText("%x\r\n", chunk)
			w.writeBody(sent, largeChunk)
			return
		}
		one := fmt.Appendf(nil, "%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		perWrite := max(largeChunk/chunk, 1)
		many := bytes.Repeat(one, perWrite)
		left := sent / chunk
		for ; left > perWrite && w.goesOn(); left -= perWrite {
			w.write(many)
		}
		if !w.goesOn() {
			return
		}
		w.write(many[:left*len(one)])
		if sent == maxBodyBytes {
			w.writeText("0\r\n\r\n")
		}
	}
}

// drip announces a body at the limit and sends it byte by byte.
func drip(head request) func(*crowdConn) {
	return func(w *crowdConn) {
		w.writeText("%sContent-Length: %d\r\n\r\n", head(w.client), maxBodyBytes)
		for w.goesOn() {
			w.writeText("x")
			time.Sleep(dripPause)
		}
	}
}

// endless sends a head, a start and then a pattern without end.
func endless(head request, start, pattern string) func(*crowdConn) {
	return func(w *crowdConn) {
		w.writeText("%s%s", head(w.client), start)
		data := []byte(strings.Repeat(pattern, pieceBytes/len(pattern)))
		for w.goesOn() {
			w.write(data)
		}
	}
}

// headsThatStopShort sends a head of legal size but for its last byte.
func headsThatStopShort(head request) func(*crowdConn) {
	return func(w *crowdConn) {
		text := head(w.client)
		w.writeText("%sA: %s\r\n\r", text, strings.Repeat("x", maxHeaderBytes-len(text)-len("A: \r\n\r\n")))
	}
}

// ahead sends small requests ahead of their answers.
func ahead(head request) func(*crowdConn) {
	return func(w *crowdConn) {
		many := strings.Repeat(head(w.client)+"Content-Length: 9\r\n\r\nsome text", 100)
		for i := 0; i < requestsAhead && w.goesOn(); i += 100 {
			w.writeText("%s", many)
		}
	}
}

// bodiesAhead sends requests with bodies ahead of their answers.
func bodiesAhead(head request) func(*crowdConn) {
	return func(w *crowdConn) {
		for i := 0; i < bodiesAheadOfAnswers && w.goesOn(); i++ {
			w.writeText("%sContent-Length: %d\r\n\r\n", head(w.client), maxBodyBytes/4)
			w.writeBody(maxBodyBytes/4, largeChunk)
		}
	}
}
