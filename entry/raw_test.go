package entry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/pathtest"
)

type errorObject struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Param   string `json:"param"`
	Outcome string `json:"outcome"`
}

// rawResponse sends a request that an HTTP client might refuse to send. header is one line; an Authorization
// header replaces the API key.
func rawResponse(t *testing.T, p *pathtest.Path, method, path, body, header string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(p.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(bound)))
	lines := []string{method + " " + path + " HTTP/1.1", "Host: a", fmt.Sprintf("Content-Length: %d", len(body))}
	if !strings.HasPrefix(header, "Authorization:") {
		lines = append(lines, "Authorization: Bearer "+pathtest.Key)
	}
	if header != "" {
		lines = append(lines, header)
	}
	_, _ = io.WriteString(c, strings.Join(lines, "\r\n")+"\r\n\r\n"+body)
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	assert.NilError(t, err)
	return res
}

func rawRequest(t *testing.T, p *pathtest.Path, method, path, body, header string) (*http.Response, errorObject) {
	t.Helper()
	res := rawResponse(t, p, method, path, body, header)
	var out struct{ Error errorObject }
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&out))
	return res, out.Error
}
