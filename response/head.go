package response

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that bytes are no HTTP/1.1 response, or one whose end can't be known.
var ErrMalformed = errors.New("malformed response")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// Statuses of final responses; others have no meaning to a client.
const (
	minFinalStatus = http.StatusOK
	maxStatus      = 599
)

// maxQuoted is how many bytes of a malformed line an error quotes.
const maxQuoted = 80

func quoted(line string) string { return line[:min(len(line), maxQuoted)] }

// Check returns ErrMalformed if a final response has a status, or a header with a name or value, that HTTP doesn't allow.
func Check(status int, h http.Header) error {
	if status < minFinalStatus || status > maxStatus {
		return malformed("status %d", status)
	}
	return checkFields(h)
}

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

// protocolPrefix begins a status line; the minor version follows it.
const protocolPrefix = "HTTP/1."

// statusDigits is the length of a status.
const statusDigits = 3

// headLines is what the lines of a head say about the end of the response.
type headLines struct {
	http10 bool
	status int
	// length is the last stated one, which net/http compares with others; stated is set if there is one.
	length            string
	stated            bool
	transferEncodings int
}

// checkHead returns ErrMalformed unless the bytes up to the empty line are the head of a response whose end is known.
// It is stricter than net/http, which accepts names with blanks, values that go on in the next line, and contradictory
// lengths.
func checkHead(head string) error {
	statusLine, fields := cutLine(head)
	lines, err := parseStatusLine(statusLine)
	if err != nil {
		return err
	}
	for len(fields) > 0 {
		var line string
		line, fields = cutLine(fields)
		if len(line) == 0 {
			break
		}
		if err := lines.addField(line); err != nil {
			return err
		}
	}
	return lines.checkFraming()
}

// cutLine returns a line without its end, which is CR LF or LF, and the lines after it.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

func parseStatusLine(line string) (headLines, error) {
	rest, http11 := strings.CutPrefix(line, protocolPrefix+"1 ")
	rest, http10 := strings.CutPrefix(rest, protocolPrefix+"0 ")
	if http11 == http10 {
		return headLines{}, malformed("status line %q", quoted(line))
	}
	status, err := parseStatus(rest)
	return headLines{http10: http10, status: status}, err
}

// parseStatus parses a status and the reason phrase after it, which may be missing.
func parseStatus(text string) (int, error) {
	digits, reason, _ := strings.Cut(text, " ")
	status, err := strconv.ParseUint(digits, 10, 0)
	// Nobody asks a server to switch protocols.
	known := status >= http.StatusContinue && status <= maxStatus && status != http.StatusSwitchingProtocols
	if err != nil || len(digits) != statusDigits || !known || !httpguts.ValidHeaderFieldValue(reason) {
		return 0, malformed("status %q", quoted(text))
	}
	return int(status), nil
}

func (l *headLines) addField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return malformed("field line %q", quoted(line))
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return malformed("value of field %q", quoted(line))
	}
	switch {
	case strings.EqualFold(name, "Content-Length"):
		l.length, l.stated = strings.TrimSpace(value), true
	case strings.EqualFold(name, "Transfer-Encoding"):
		l.transferEncodings++
	}
	return nil
}

// checkFraming returns ErrMalformed if the fields contradict each other, or the status, about where the response ends.
func (l *headLines) checkFraming() error {
	withoutBody := l.status < minFinalStatus || l.status == http.StatusNoContent
	switch {
	case withoutBody && l.length != "" && l.length != "0":
		return malformed("a body of %s bytes with status %d", quoted(l.length), l.status)
	case l.transferEncodings == 0:
		return nil
	case withoutBody:
		return malformed("chunks with status %d", l.status)
	case l.http10:
		return malformed("chunks in HTTP/1.0")
	case l.stated:
		return malformed("both a length and chunks")
	case l.transferEncodings > 1:
		return malformed("%d transfer encodings", l.transferEncodings)
	default:
		return nil
	}
}
