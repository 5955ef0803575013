// Package responsetest has shapes of HTTP/1.1 responses for the tests of all that read responses.
package responsetest

import "strings"

// ok is the status line of most shapes.
const ok = "HTTP/1.1 200 OK\r\n"

// Shapes are bytes that a server sends for a response, by what is special about them. The connection ends after them.
type Shapes map[string]string

// Whole have the body "ok".
var Whole = Shapes{
	"length":                       ok + "Content-Length: 2\r\n\r\nok",
	"length, bytes after it":       ok + "Content-Length: 2\r\n\r\nokHTTP/1.1 5",
	"the same length twice":        ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	"chunks":                       ok + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n",
	"chunks with a trailer":        ok + "Transfer-Encoding: Chunked\r\nTrailer: A\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n",
	"to the end of its connection": ok + "\r\nok",
	"HTTP/1.0":                     "HTTP/1.0 200 OK\r\n\r\nok",
	"no reason":                    "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
	"no blank after the status":    "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"reason in another alphabet":   "HTTP/1.1 200 \xfe\xe6r\r\nContent-Length: 2\r\n\r\nok",
	"lines that end with LF":       "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	"value in another alphabet":    ok + "X: \xfe\xe6r\r\nContent-Length: 2\r\n\r\nok",
	"tabs around a value":          ok + "Content-Length:\t2\t\r\n\r\nok",
	"empty value":                  ok + "X:\r\nContent-Length: 2\r\n\r\nok",
	"interim responses":            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"head of 40 kB":                ok + strings.Repeat("X: "+strings.Repeat("y", 97)+"\r\n", 400) + "Content-Length: 2\r\n\r\nok",
	"field of 20 kB":               ok + "X: " + strings.Repeat("y", 20_000) + "\r\nContent-Length: 2\r\n\r\nok",
	"failure":                      "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok",
}

// BrokenFields are heads in which a field is none.
var BrokenFields = Shapes{
	"blank before the colon":                 ok + "Content-Length : 2\r\n\r\nok",
	"blank before the colon of the encoding": ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in a name":                        ok + "X Y: z\r\nContent-Length: 2\r\n\r\nok",
	"blank before a name":                    ok + "X: y\r\n Content-Length: 2\r\n\r\nok",
	"tab before a name":                      ok + "X: y\r\n\tZ: 2\r\nContent-Length: 2\r\n\r\nok",
	"blank before the first name":            ok + " X: y\r\nContent-Length: 2\r\n\r\nok",
	"tab before the colon":                   ok + "X\t: y\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":                 ok + "X\x01Y: z\r\nContent-Length: 2\r\n\r\nok",
	"NUL in a name":                          ok + "X\x00: z\r\nContent-Length: 2\r\n\r\nok",
	"DEL in a name":                          ok + "X\x7f: z\r\nContent-Length: 2\r\n\r\nok",
	"CR in a name":                           ok + "X\rY: z\r\nContent-Length: 2\r\n\r\nok",
	"letter of another alphabet in a name":   ok + "X\xfe: z\r\nContent-Length: 2\r\n\r\nok",
	"separator in a name":                    ok + "X(Y): z\r\nContent-Length: 2\r\n\r\nok",
	"empty name":                             ok + ": z\r\nContent-Length: 2\r\n\r\nok",
	"no colon":                               ok + "X\r\nContent-Length: 2\r\n\r\nok",
	"line of blanks":                         ok + "X: y\r\n  \r\nContent-Length: 2\r\n\r\nok",
	"control byte in a value":                ok + "X: y\x02z\r\nContent-Length: 2\r\n\r\nok",
	"NUL in a value":                         ok + "X: y\x00z\r\nContent-Length: 2\r\n\r\nok",
	"CR in a value":                          ok + "X: y\rContent-Length: 2\r\n\r\nok",
	"interim response with a broken field":   "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"trailer with a blank in a name":         ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: z\r\n\r\n",
	"trailer with a control byte in a name":  ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01: z\r\n\r\n",
}

// BrokenStatuses are heads whose status line is none.
var BrokenStatuses = Shapes{
	"status 000":               "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 000, then another": "HTTP/1.1 000 OK\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"status 099, then another": "HTTP/1.1 099 OK\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"status +20, then another": "HTTP/1.1 +20 OK\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"status -20":               "HTTP/1.1 -20 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 600":               "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
	"status 999":               "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
	"status of two digits":     "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
	"status of four digits":    "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
	"status in hexadecimal":    "HTTP/1.1 0xc OK\r\nContent-Length: 2\r\n\r\nok",
	"switching protocols":      "HTTP/1.1 101 Switching\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"two blanks":               "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok",
	"tab before the status":    "HTTP/1.1\t200 OK\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a reason": "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
	"CR in a reason":           "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/0.9":                 "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/2.0":                 "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.9":                 "HTTP/1.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"lower case":               "http/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"another protocol":         "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"empty line first":         "\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"blank first":              " " + ok + "Content-Length: 2\r\n\r\nok",
	"body without a head":      "ok",
}

// UnknownEnds are responses whose end can't be known, or that end before it.
var UnknownEnds = Shapes{
	"length and chunks":                       ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks and length":                       ok + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":                      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunks twice":                            ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"another encoding":                        ok + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"identity":                                ok + "Transfer-Encoding: identity\r\n\r\nok",
	"empty encoding":                          ok + "Transfer-Encoding:\r\n\r\nok",
	"encoding behind a byte":                  ok + "Transfer-Encoding: \x0bchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"two lengths":                             ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
	"list of lengths":                         ok + "Content-Length: 2, 2\r\n\r\nok",
	"length with a sign":                      ok + "Content-Length: +2\r\n\r\nok",
	"negative length":                         ok + "Content-Length: -1\r\n\r\nok",
	"empty length":                            ok + "Content-Length:\r\n\r\nok",
	"length in hexadecimal":                   ok + "Content-Length: 0x2\r\n\r\nok",
	"length with a fraction":                  ok + "Content-Length: 2.0\r\n\r\nok",
	"length over 64 bits":                     ok + "Content-Length: 18446744073709551618\r\n\r\nok",
	"length of a body where none is allowed":  "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
	"chunks where no body is allowed":         "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"interim response with a length":          "HTTP/1.1 103 Early Hints\r\nContent-Length: 80\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"interim response with chunks":            "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
	"shorter than its length":                 ok + "Content-Length: 3\r\n\r\nok",
	"no last chunk":                           ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	"last chunk without its line":             ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
	"last chunk with half of its line":        ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r",
	"trailer that stops short":                ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n",
	"trailer that is no field":                ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nno field\r\n\r\n",
	"chunk that stops short":                  ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nok",
	"chunk longer than its size":              ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n",
	"size that is no number":                  ok + "Transfer-Encoding: chunked\r\n\r\nx\r\nok\r\n0\r\n\r\n",
	"size with a sign":                        ok + "Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
	"size with a prefix":                      ok + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
	"size over 64 bits":                       ok + "Transfer-Encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n",
	"no size":                                 ok + "Transfer-Encoding: chunked\r\n\r\n\r\nok\r\n0\r\n\r\n",
	"chunk line that ends with LF":            ok + "Transfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
	"head that stops short":                   ok + "Content-Length: 2\r\n",
	"head that stops short, no end of a line": ok + "Content-Length: 2",
	"empty":                  "",
	"interim response alone": "HTTP/1.1 100 Continue\r\n\r\n",
}

// CutHeads end within a head.
var CutHeads = Shapes{
	"cut in the protocol":                 "HTTP/1.",
	"cut in the status":                   "HTTP/1.1 2",
	"cut after the status":                "HTTP/1.1 200",
	"cut in the reason":                   "HTTP/1.1 200 O",
	"cut in the end of the status line":   "HTTP/1.1 200 OK\r",
	"cut after the status line":           ok,
	"cut after the status line, HTTP/1.0": "HTTP/1.0 200 OK\r\n",
	"cut after a status without a body":   "HTTP/1.1 204 No Content\r\n",
	"cut in a name":                       ok + "Content-Le",
	"cut after a colon":                   ok + "Content-Length:",
	"cut in a length":                     ok + "Content-Length: 1",
	"cut after a length of zero":          ok + "Content-Length: 0\r\n",
	"cut before a length":                 ok + "Content-Type: text/event-stream\r\n",
	"cut after an encoding":               ok + "Transfer-Encoding: chunked\r\n",
	"cut in the empty line":               ok + "Content-Length: 2\r\n\r",
	"cut after a line that ends with LF":  "HTTP/1.1 200 OK\nContent-Length: 0\n",
	"cut after an interim response":       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok,
}

// Broken are all shapes that are no response, or no whole one.
func Broken() Shapes {
	all := Shapes{}
	for _, shapes := range []Shapes{BrokenFields, BrokenStatuses, UnknownEnds, CutHeads} {
		for name, text := range shapes {
			all[name] = text
		}
	}
	return all
}

// WithFields adds lines, each with its end, to the head of a shape: after each line that looks like a status line.
func WithFields(text, lines string) string {
	var b strings.Builder
	for line := range strings.SplitAfterSeq(text, "\n") {
		b.WriteString(line)
		if strings.Contains(strings.ToUpper(line), "HTTP/") && strings.HasSuffix(line, "\n") {
			b.WriteString(lines)
		}
	}
	return b.String()
}
