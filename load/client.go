package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Headers of the caller interface.
const (
	requestIDHeader   = "X-Request-Id"
	idempotencyHeader = "Idempotency-Key"
	classHeader       = "X-Request-Class"
)

const (
	maxConnections = 8192
	streamBuffer   = 16 << 10
	maxErrorBody   = 64 << 10
	connectTimeout = 2 * time.Second
	maxReplyBytes  = 1 << 20
	deadlineMargin = 2 * time.Second
)

// Client sends requests to the entries round-robin, like a load balancer, over keep-alive
// connections. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	targets []string
	next    atomic.Uint64
}

// NewClient returns a client for the base URLs of the entries.
func NewClient(targets []string) *Client {
	return &Client{targets: targets, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		WriteBufferSize:     64 << 10,
	}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends one request that was scheduled for due, and reads the whole response.
func (c *Client) Do(ctx context.Context, r *Request, due time.Time) Result {
	res := Result{ID: r.ID, Late: time.Since(due)}
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.Class.Deadline+deadlineMargin))
	defer cancel()
	resp, err := c.send(ctx, r)
	if err != nil {
		res.Verdict, res.Reason = Broken, brokenReason(err)
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.Header.Get(requestIDHeader) != r.ID:
		res.Verdict, res.Reason = Wrong, "request id of another request"
	case resp.StatusCode != http.StatusOK:
		res.readError(resp.Body)
	case r.Class.Service != nil:
		res.readReply(resp.Body, r, due)
	default:
		s := stream{req: r, res: &res, due: due}
		s.read(resp.Body)
	}
	res.Total = time.Since(due)
	if res.Verdict == "" {
		res.checkTargets(r.Class)
	}
	return res
}

// send sends the request to the next entry. Like a load balancer, it tries another entry
// when no connection can be established.
func (c *Client) send(ctx context.Context, r *Request) (*http.Response, error) {
	first := c.next.Add(1)
	for i := uint64(0); ; i++ {
		hr, err := newHTTPRequest(ctx, r, c.targets[(first+i)%uint64(len(c.targets))])
		if err != nil {
			return nil, err
		}
		resp, err := c.http.Do(hr)
		var op *net.OpError
		notSent := errors.As(err, &op) && op.Op == "dial"
		if !notSent || i+1 == uint64(len(c.targets)) {
			return resp, err
		}
	}
}

func newHTTPRequest(ctx context.Context, r *Request, target string) (*http.Request, error) {
	method, path := http.MethodPost, "/v1/completions"
	if s := r.Class.Service; s != nil {
		method, path = s.Method, "/services/"+s.Service+s.Path
	}
	hr, err := http.NewRequestWithContext(ctx, method, target+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	hr.Header.Set("Authorization", "Bearer "+r.Class.Customer.Key)
	hr.Header.Set("Content-Type", "application/json")
	hr.Header.Set(requestIDHeader, r.ID)
	hr.Header.Set(idempotencyHeader, r.ID)
	if r.Class.Service == nil {
		hr.Header.Set(classHeader, r.Class.Name)
	}
	return hr, nil
}

// errorBody is the error object of the caller interface.
type errorBody struct {
	Code         string `json:"code"`
	Outcome      string `json:"outcome"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// event is one server-sent event of a response.
type event struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *errorBody `json:"error"`
}

func (res *Result) readError(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxErrorBody))
	var e event
	if err != nil || json.Unmarshal(data, &e) != nil || e.Error == nil {
		res.Verdict, res.Reason = Broken, "no error object"
		return
	}
	res.recordError(e.Error)
}

func (res *Result) recordError(e *errorBody) {
	res.Verdict, res.Reason = Verdict(e.Outcome), e.Code
	res.RetryAfter = time.Duration(e.RetryAfterMs) * time.Millisecond
	if !slices.Contains([]Verdict{NotRun, Failed, Unknown}, res.Verdict) {
		res.Verdict, res.Reason = Wrong, "error without an outcome: "+e.Code
	}
	if res.Verdict == NotRun && res.Tokens > 0 {
		res.Verdict, res.Reason = Wrong, "told not run after a token"
	}
}

// readReply checks the response of a plain service, which echoes the request id.
func (res *Result) readReply(body io.Reader, r *Request, due time.Time) {
	data, err := io.ReadAll(io.LimitReader(body, maxReplyBytes))
	res.TTFT = time.Since(due)
	switch {
	case err != nil:
		res.Verdict, res.Reason = Broken, brokenReason(err)
	case !bytes.Contains(data, []byte(r.ID)):
		res.Verdict, res.Reason = Wrong, "reply to another call"
	}
}

func brokenReason(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no end before the deadline"
	case errors.As(err, &op):
		return "connection: " + op.Op
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "answer cut off"
	default:
		return "transport"
	}
}

// stream reads one streamed response and checks it token by token.
type stream struct {
	req      *Request
	res      *Result
	due      time.Time
	last     time.Time
	finished bool
	done     bool
}

func (s *stream) read(body io.Reader) {
	in := bufio.NewReaderSize(body, streamBuffer)
	for s.res.Verdict == "" {
		line, err := in.ReadString('\n')
		if err != nil {
			s.finish(err)
			return
		}
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			s.event(data)
		}
	}
}

func (s *stream) finish(err error) {
	switch {
	case !s.done:
		s.res.Verdict, s.res.Reason = Broken, brokenReason(err)
	case s.res.Tokens != len(s.req.Answer):
		s.res.Verdict, s.res.Reason = Wrong, "ended before the whole answer"
	}
	s.res.Gap95 = percentile(s.res.Gaps, 0.95)
}

func (s *stream) event(data string) {
	if s.done {
		s.markWrong("event after the end")
		return
	}
	if data == "[DONE]" {
		s.done = true
		if !s.finished {
			s.markWrong("end without a finish reason")
		}
		return
	}
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		s.markWrong("event is no JSON")
		return
	}
	if e.Error != nil {
		s.res.recordError(e.Error)
		return
	}
	for _, c := range e.Choices {
		s.text(c.Text)
		s.finished = s.finished || c.FinishReason != nil
	}
}

func (s *stream) markWrong(reason string) { s.res.Verdict, s.res.Reason = Wrong, reason }

// text checks that the received tokens continue the expected answer.
func (s *stream) text(text string) {
	if text == "" {
		return
	}
	if s.finished {
		s.markWrong("token after the finish reason")
		return
	}
	now := time.Now()
	for text != "" {
		if s.res.Tokens == len(s.req.Answer) {
			s.markWrong("more tokens than the answer has")
			return
		}
		rest, ok := strings.CutPrefix(text, s.req.Answer[s.res.Tokens])
		if !ok {
			s.markWrong("token of another answer or position")
			return
		}
		text = rest
		s.token(now)
	}
}

func (s *stream) token(now time.Time) {
	s.res.Tokens++
	if s.res.Tokens == 1 {
		s.res.TTFT = now.Sub(s.due)
	} else {
		s.res.Gaps = append(s.res.Gaps, now.Sub(s.last))
	}
	s.last = now
}

// percentile returns the value that a share of values does not exceed, or zero without
// values.
func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
