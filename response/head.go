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

// protocols are the versions that a status line may begin with.
var protocols = []string{"HTTP/1.1 ", "HTTP/1.0 "}

// protocolPrefix is what they have in common.
const protocolPrefix = "HTTP/1."

// statusDigits is the length of a status.
const statusDigits = 3

// headLines is what the lines of a head say about the end of the response.
type headLines struct {
	http10            bool
	status            int
	contentLength     bool
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
	for _, protocol := range protocols {
		rest, ok := strings.CutPrefix(line, protocol)
		if !ok {
			continue
		}
		status, err := parseStatus(rest)
		if err != nil {
			return headLines{}, err
		}
		return headLines{http10: protocol == protocols[1], status: status}, nil
	}
	return headLines{}, malformed("status line %q", quoted(line))
}

// parseStatus parses a status and the reason phrase after it, which may be missing.
func parseStatus(text string) (int, error) {
	digits, reason, _ := strings.Cut(text, " ")
	if len(digits) != statusDigits || !httpguts.ValidHeaderFieldValue(reason) {
		return 0, malformed("status %q", quoted(text))
	}
	status := 0
	for _, d := range []byte(digits) {
		if d < '0' || d > '9' {
			return 0, malformed("status %q", quoted(text))
		}
		status = 10*status + int(d-'0')
	}
	// Nobody asks a server to switch protocols.
	if status < http.StatusContinue || status == http.StatusSwitchingProtocols || status > maxStatus {
		return 0, malformed("status %q", quoted(text))
	}
	return status, nil
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
		l.contentLength = true
	case strings.EqualFold(name, "Transfer-Encoding"):
		l.transferEncodings++
	}
	return nil
}

// checkFraming returns ErrMalformed if the fields contradict each other, or the status, about where the response ends.
func (l *headLines) checkFraming() error {
	switch {
	case l.transferEncodings == 0:
		return nil
	case l.http10:
		return malformed("chunks in HTTP/1.0")
	case l.contentLength:
		return malformed("both a length and chunks")
	case l.transferEncodings > 1:
		return malformed("%d transfer encodings", l.transferEncodings)
	case l.status < minFinalStatus || l.status == http.StatusNoContent:
		return malformed("chunks with status %d", l.status)
	default:
		return nil
	}
}
