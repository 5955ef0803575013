package response

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that bytes are no HTTP/1.1 response, or one whose end can't be known.
var ErrMalformed = errors.New("malformed response")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// minFinalStatus is the first status of a final response.
const minFinalStatus = http.StatusOK

// maxQuoted is how many bytes of a malformed line an error quotes.
const maxQuoted = 80

func quoted(line string) string { return line[:min(len(line), maxQuoted)] }

func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("field name %q", quoted(name))
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return malformed("value of field %s", name)
			}
		}
	}
	return nil
}

// checkHead returns ErrMalformed if a line after the first one, up to the empty line, is no field. It is stricter than
// net/http, which accepts names with blanks and values that go on in the next line.
func checkHead(head string) error {
	_, fields := cutLine(head)
	for len(fields) > 0 {
		var line string
		line, fields = cutLine(fields)
		if len(line) == 0 {
			break
		}
		if err := checkField(line); err != nil {
			return err
		}
	}
	return nil
}

// cutLine returns a line without its end, which is CR LF or LF, and the lines after it.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

func checkField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return malformed("field line %q", quoted(line))
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return malformed("value of field %q", quoted(line))
	}
	return nil
}
