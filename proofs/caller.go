package proofs

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	standin "github.com/hibiscusspur/hibiscusspur/standin/engine"
)

// modelRequest is one completion request.
type modelRequest struct {
	model string
	// prompt also sets the length of the answer; see promptForTokens.
	prompt string
	stream bool
	// key is the idempotency key, bearer the API key; an empty bearer stands for apiKey.
	key, bearer string
	// sent is called once the request has been written to the socket.
	sent func()
	// onToken is called for each received token, with its number from 1.
	onToken func(n int)
}

// promptForTokens returns a prompt whose answer has n tokens; pad is the number of words that make the prompt
// longer.
func promptForTokens(n, pad int, name string) string {
	return fmt.Sprintf("[[len=%d]] %s %s", n, name, strings.Repeat("word ", pad))
}

// answer is the response as the caller received it.
type answer struct {
	id     string
	status int
	text   string
	tokens int
	// whole is true if the answer was marked as complete: a body with a finish reason, or a stream with
	// [DONE].
	whole bool
	// outcome and code are those of an error body or event; retryAfter is the Retry-After header.
	outcome, code string
	retryAfter    string
	// err is set if the connection ended without an answer.
	err  error
	took time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status=%d tokens=%d whole=%v outcome=%s code=%s err=%v after %v", a.status, a.tokens, a.whole, a.outcome, a.code, a.err, a.took.Round(time.Millisecond))
}

// expectedAnswer returns the correct answer to q.
func (q modelRequest) expectedAnswer() string {
	return strings.Join(standin.Answer(q.model, q.prompt, 0), "")
}

// do sends q to an entry over a new connection and reads the whole response.
func (e *entry) do(ctx context.Context, q modelRequest) answer {
	start := time.Now()
	a := e.send(ctx, q)
	a.took = time.Since(start)
	return a
}

// callerBound is the timeout of a caller in these tests.
const callerBound = 40 * time.Second

func (e *entry) send(ctx context.Context, q modelRequest) answer {
	ctx, cancel := context.WithTimeout(ctx, callerBound)
	defer cancel()
	body, _ := json.Marshal(map[string]any{"model": q.model, "prompt": q.prompt, "stream": q.stream})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+cmp.Or(q.bearer, apiKey))
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
	}
	if q.sent != nil {
		trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { q.sent() }}
		req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	}
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	res, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	a := answer{id: res.Header.Get("X-Request-Id"), status: res.StatusCode, retryAfter: res.Header.Get("Retry-After")}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(res.Body, q)
		return a
	}
	a.readBody(res.Body)
	return a
}

// reply is a response body or a stream event, with either choices or an error.
type reply struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (a *answer) readBody(r io.Reader) {
	data, err := io.ReadAll(r)
	if err != nil {
		a.err = err
		return
	}
	var b reply
	if a.err = json.Unmarshal(data, &b); a.err != nil {
		return
	}
	a.apply(b)
	if b.Error == nil && len(b.Choices) == 1 {
		a.whole = b.Choices[0].FinishReason != nil
		a.tokens = strings.Count(a.text, " ")
	}
}

func (a *answer) apply(b reply) {
	if b.Error != nil {
		a.outcome, a.code = b.Error.Outcome, b.Error.Code
		return
	}
	for _, c := range b.Choices {
		a.text += c.Text
	}
}

func (a *answer) readStream(r io.Reader, q modelRequest) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.whole = true
			continue
		}
		var b reply
		if a.err = json.Unmarshal([]byte(data), &b); a.err != nil {
			return
		}
		a.apply(b)
		for n := strings.Count(a.text, " "); a.tokens < n; {
			a.tokens++
			if q.onToken != nil {
				q.onToken(a.tokens)
			}
		}
	}
	a.err = lines.Err()
}

// pendingRequest is a request in progress.
type pendingRequest struct {
	cancel context.CancelFunc
	done   chan answer
}

// begin sends q on a new goroutine. cancel closes the caller's connection.
func (e *entry) begin(q modelRequest) *pendingRequest {
	ctx, cancel := context.WithCancel(context.Background())
	p := &pendingRequest{cancel: cancel, done: make(chan answer, 1)}
	go func() { p.done <- e.do(ctx, q) }()
	return p
}

// sendWithoutReading sends q on a raw connection and reads nothing, like a stalled client.
func (e *entry) sendWithoutReading(q modelRequest) (net.Conn, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		return nil, err
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(4096)
	body, _ := json.Marshal(map[string]any{"model": q.model, "prompt": q.prompt, "stream": true})
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
	return conn, err
}
