package response_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/response/responsetest"
)

// TestPartsOfHeadsAreNoResponse guards against a connection that ends within the head of a response and is read as a whole
// one with an empty or short body: each beginning of each head, as one read and byte by byte.
func TestPartsOfHeadsAreNoResponse(t *testing.T) {
	assertBroken(t, responsetest.CutHeads)
	for name, text := range responsetest.Whole {
		t.Run(name, func(t *testing.T) {
			const head, tail = 600, 300
			length := headLength(text)
			for n := 0; n < length; n++ {
				if n == head && length > head+tail {
					// The fields of a long head are alike.
					n = length - tail
				}
				for _, method := range []string{http.MethodPost, http.MethodHead} {
					for _, src := range []io.Reader{strings.NewReader(text[:n]), iotest.OneByteReader(strings.NewReader(text[:n])), iotest.DataErrReader(strings.NewReader(text[:n]))} {
						res, body, err := read(src, method)
						assert.Assert(t, err != nil, "%d bytes pass for a whole response: %v, %q", n, res, body)
					}
				}
			}
		})
	}
}

// headLength is the length of the heads that a text begins with, interim ones too.
func headLength(text string) int {
	if i := strings.LastIndex(text, "\r\n\r\nok"); i >= 0 {
		return i + len("\r\n\r\n")
	}
	if i := strings.LastIndex(text, "\n\nok"); i >= 0 {
		return i + len("\n\n")
	}
	return strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
}
