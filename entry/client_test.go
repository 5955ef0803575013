package entry_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/hibiscusspur/hibiscusspur/internal/pathtest"
	standin "github.com/hibiscusspur/hibiscusspur/standin/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/fault"
)

const bound = 15 * time.Second

func newClient(p *pathtest.Path, opts ...option.RequestOption) openai.Client {
	return openai.NewClient(append([]option.RequestOption{option.WithBaseURL(p.URL + "/v1/"), option.WithAPIKey(pathtest.Key)}, opts...)...)
}

func chat(model, text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(100),
	}
}

// answer returns the engine's answer to one user message.
func answer(model, text string, maxTokens int) string {
	return strings.Join(standin.Answer(model, "user: "+text+"\n", maxTokens), "")
}

func asAPIError(t *testing.T, err error) *openai.Error {
	t.Helper()
	var e *openai.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e
}

// decodeStarts returns how many runs the engine has begun to decode.
func decodeStarts(p *pathtest.Path) (n int) {
	p.Node.Do(func(c *standin.Core) {
		for _, times := range c.State().BegunRuns {
			n += times
		}
	})
	return n
}

func TestClientAnswers(t *testing.T) {
	p := pathtest.Start(t, pathtest.Options{})
	c := newClient(p)
	ctx := t.Context()
	const text = "When is the hearing?"
	want := answer(pathtest.Lookup, text, 100)

	t.Run("whole", func(t *testing.T) {
		var res *http.Response
		got, err := c.Chat.Completions.New(ctx, chat(pathtest.Lookup, text), option.WithResponseInto(&res), option.WithHeader("X-Request-Id", "case 4711"))
		assert.NilError(t, err)
		assert.Equal(t, got.Choices[0].Message.Content, want)
		assert.Equal(t, string(got.Choices[0].Message.Role), "assistant")
		assert.Equal(t, got.Model, pathtest.Lookup)
		assert.Assert(t, strings.HasPrefix(got.ID, "chatcmpl-"))
		assert.Equal(t, got.Usage.CompletionTokens, int64(len(standin.Answer(pathtest.Lookup, "user: "+text+"\n", 100))))
		assert.Assert(t, got.Usage.PromptTokens > 0)
		assert.Equal(t, got.Usage.TotalTokens, got.Usage.PromptTokens+got.Usage.CompletionTokens)
		assert.Equal(t, res.Header.Get("X-Request-Id"), "case 4711")
		assert.Assert(t, res.ContentLength > 0)
	})
	t.Run("stream", func(t *testing.T) {
		params := chat(pathtest.Lookup, text)
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		var res *http.Response
		stream := c.Chat.Completions.NewStreaming(ctx, params, option.WithResponseInto(&res))
		acc := openai.ChatCompletionAccumulator{}
		chunks := 0
		for stream.Next() {
			assert.Assert(t, acc.AddChunk(stream.Current()))
			chunks++
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, acc.Choices[0].Message.Content, want)
		assert.Assert(t, chunks > 2)
		assert.Assert(t, acc.Choices[0].FinishReason != "")
		assert.Assert(t, acc.Usage.CompletionTokens > 0)
		assert.Equal(t, res.Header.Get("Content-Type"), "text/event-stream")
		assert.Assert(t, res.Header.Get("X-Request-Id") != "")
	})
	t.Run("completion", func(t *testing.T) {
		params := openai.CompletionNewParams{
			Model:     pathtest.Lookup,
			Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(text)},
			MaxTokens: openai.Int(20),
			Stop:      openai.CompletionNewParamsStopUnion{OfString: openai.String("never")},
		}
		got, err := c.Completions.New(ctx, params)
		assert.NilError(t, err)
		whole := strings.Join(standin.Answer(pathtest.Lookup, text, 20), "")
		assert.Equal(t, got.Choices[0].Text, whole)
		stream := c.Completions.NewStreaming(ctx, params)
		var streamed strings.Builder
		for stream.Next() {
			streamed.WriteString(stream.Current().Choices[0].Text)
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, streamed.String(), whole)
	})
	t.Run("models", func(t *testing.T) {
		page, err := c.Models.List(ctx)
		assert.NilError(t, err)
		var ids []string
		for _, m := range page.Data {
			ids = append(ids, m.ID)
			assert.Equal(t, m.OwnedBy, pathtest.Brand)
		}
		assert.DeepEqual(t, ids, []string{pathtest.Lookup, pathtest.Ruling})
		m, err := c.Models.Get(ctx, pathtest.Ruling)
		assert.NilError(t, err)
		assert.Equal(t, m.ID, pathtest.Ruling)
		_, err = c.Models.Get(ctx, "none")
		assert.Equal(t, asAPIError(t, err).StatusCode, http.StatusNotFound)
	})
	assert.Assert(t, !strings.Contains(p.Log.String(), pathtest.Key), "an API key was logged")
}

func TestClientCancels(t *testing.T) {
	p := pathtest.Start(t, pathtest.Options{})
	c := newClient(p)
	for _, tc := range []struct {
		name   string
		stream bool
	}{{"stream", true}, {"whole", false}} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			params := chat(pathtest.Lookup, "endless [[len=90000]]")
			params.MaxTokens = openai.Int(90000)
			before := decodeStarts(p)
			go func() {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if decodeStarts(p) > before {
						return poll.Success()
					}
					return poll.Continue("not begun")
				}, poll.WithTimeout(bound), poll.WithDelay(time.Millisecond))
				cancel()
			}()
			if tc.stream {
				stream := c.Chat.Completions.NewStreaming(ctx, params)
				for stream.Next() {
				}
				assert.ErrorIs(t, stream.Err(), context.Canceled)
			} else {
				_, err := c.Chat.Completions.New(ctx, params)
				assert.ErrorIs(t, err, context.Canceled)
			}
			p.AwaitIdle()
		})
	}
}

// An engine that fails permanently ends a stream with an error object, and a buffered answer with an error
// status. An unrepeatable request is not repeated, and the response asks the client library not to repeat it either.
func TestInterruptedAnswers(t *testing.T) {
	p := pathtest.Start(t, pathtest.Options{})
	c := newClient(p) // with the library's own retries
	fail := func(op string, kind fault.Kind, after int) {
		assert.NilError(t, p.Faults.Add(fault.Rule{Op: op, Kind: kind, AfterTokens: after}))
	}
	fail(standin.OpDecode, fault.Cut, 5)
	fail(standin.OpResume, fault.Refuse, 0)
	before := decodeStarts(p)

	stream := c.Chat.Completions.NewStreaming(t.Context(), chat(pathtest.Ruling, "May a group enter?"))
	var got strings.Builder
	finished := false
	for stream.Next() {
		got.WriteString(stream.Current().Choices[0].Delta.Content)
		finished = finished || stream.Current().Choices[0].FinishReason != ""
	}
	assert.Assert(t, stream.Err() != nil)
	assert.Assert(t, !finished, "an interrupted answer looks complete")
	assert.Assert(t, strings.HasPrefix(answer(pathtest.Ruling, "May a group enter?", 100), got.String()))
	assert.Equal(t, decodeStarts(p), before+1)

	_, err := c.Chat.Completions.New(t.Context(), chat(pathtest.Ruling, "And on Sunday?"))
	e := asAPIError(t, err)
	assert.Equal(t, e.StatusCode, http.StatusBadGateway)
	assert.Equal(t, e.Response.Header.Get("X-Should-Retry"), "false")
	assert.Equal(t, e.Response.Header.Get("Retry-After"), "")
	assert.Assert(t, strings.HasPrefix(e.Message, pathtest.Brand+": "), e.Message)
	assert.Equal(t, decodeStarts(p), before+2)
}

func TestRefusals(t *testing.T) {
	p := pathtest.Start(t, pathtest.Options{})
	body := func(s string) string {
		return `{"model":"lookup","messages":[{"role":"user","content":"hi"}]` + s + `}`
	}
	const chatPath = "/v1/chat/completions"
	for _, tc := range []struct {
		name, method, path, body, header string
		status                           int
		code, param                      string
	}{
		{"no key", "POST", chatPath, body(""), "Authorization: ", 401, "unauthenticated", ""},
		{"wrong key", "POST", chatPath, body(""), "Authorization: Bearer wrong", 401, "unauthenticated", ""},
		{"not a bearer", "POST", chatPath, body(""), "Authorization: Basic " + pathtest.Key, 401, "unauthenticated", ""},
		{"no such path", "GET", "/v2", "", "", 404, "not_found", ""},
		{"wrong method", "GET", chatPath, "", "", 405, "method_not_allowed", ""},
		{"wrong method on models", "DELETE", "/v1/models", "", "", 405, "method_not_allowed", ""},
		{"no model", "POST", chatPath, `{"messages":[{"role":"user","content":"hi"}]}`, "", 400, "bad_request", "model"},
		{"unknown model", "POST", chatPath, `{"model":"x","messages":[{"role":"user","content":"hi"}]}`, "", 404, "model_not_in_contract", "model"},
		{"unknown class", "POST", chatPath, body(""), "X-Request-Class: x", 400, "bad_request", "X-Request-Class"},
		{"no messages", "POST", chatPath, `{"model":"lookup","messages":[]}`, "", 400, "bad_request", "messages"},
		{"two answers", "POST", chatPath, body(`,"n":2`), "", 400, "bad_request", "n"},
		{"negative", "POST", chatPath, body(`,"max_tokens":-5`), "", 400, "bad_request", "max_tokens"},
		{"broken JSON", "POST", chatPath, `{"model":`, "", 400, "bad_request", "body"},
		{"no body", "POST", chatPath, "", "", 400, "bad_request", "body"},
		{"long prompt", "POST", chatPath, `{"model":"lookup","messages":[{"role":"user","content":"` + strings.Repeat("word ", 2000) + `"}]}`, "", 413, "prompt_too_long", "messages"},
		{"contract's body limit", "POST", chatPath, body(strings.Repeat(" ", 100_000)), "", 413, "body_too_large", "body"},
		{"entry's body limit", "POST", chatPath, body(strings.Repeat(" ", 5<<20)), "", 413, "body_too_large", ""},
		{"long header", "POST", chatPath, body(""), "X-Other: " + strings.Repeat("a", 64<<10), 431, "headers_too_large", ""},
		{"bad key", "POST", chatPath, body(""), "Idempotency-Key: a\x01b", 400, "bad_request", "Idempotency-Key"},
		{"long key", "POST", chatPath, body(""), "Idempotency-Key: " + strings.Repeat("a", 300), 400, "bad_request", "Idempotency-Key"},
		{"service unknown", "GET", "/services/other/x", "", "", 404, "not_found", "service"},
		{"service body", "POST", "/services/permits/x", strings.Repeat("a", 100_001), "", 413, "body_too_large", "body"},
		{"service query", "GET", "/services/permits/x?a=\xff", "", "", 400, "bad_request", "query"},
		{"service header", "GET", "/services/permits/x", "", "Accept: \xff", 400, "bad_request", "Accept"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			res, e := rawRequest(t, p, tc.method, tc.path, tc.body, tc.header)
			assert.Equal(t, res.StatusCode, tc.status, "%+v", e)
			assert.Equal(t, e.Code, tc.code)
			assert.Equal(t, e.Param, tc.param)
			assert.Equal(t, e.Outcome, "not_run")
			assert.Equal(t, res.Header.Get("Retry-After"), "")
			assert.Assert(t, res.Header.Get("X-Request-Id") != "")
			if tc.status != 431 && tc.param != "" {
				assert.Assert(t, strings.HasPrefix(e.Message, pathtest.Brand+": "), e.Message)
			}
			for _, v := range res.Header {
				assert.Assert(t, !strings.Contains(strings.ToLower(strings.Join(v, "")), "hibiscus"))
			}
			assert.Assert(t, !strings.Contains(strings.ToLower(e.Message), "hibiscus"))
		})
	}
	assert.Equal(t, decodeStarts(p), 1) // the request by which pathtest.Start waits until the path serves
	assert.Assert(t, !strings.Contains(p.Log.String(), pathtest.Key), "an API key was logged")
}

// A refusal that allows a retry says when; the client library obeys.
func TestRetryAfter(t *testing.T) {
	p := pathtest.Start(t, pathtest.Options{Engine: func(c *standin.Config) { c.DecodeSlots = 1 }})
	c := newClient(p)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	long := chat(pathtest.Lookup, "endless [[len=90000]]")
	long.MaxTokens = openai.Int(90000)
	stream := c.Chat.Completions.NewStreaming(ctx, long)
	assert.Assert(t, stream.Next(), "%v", stream.Err())

	_, err := c.Chat.Completions.New(t.Context(), chat(pathtest.Lookup, "hi"), option.WithMaxRetries(0))
	e := asAPIError(t, err)
	assert.Equal(t, e.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, e.Response.Header.Get("X-Should-Retry"), "true")
	assert.Assert(t, cmp.Regexp("^[1-9][0-9]*$", e.Response.Header.Get("Retry-After")))
	assert.Assert(t, cmp.Regexp("^[1-9][0-9]*$", e.Response.Header.Get("Retry-After-Ms")))
	cancel()
	p.AwaitIdle()
	_, err = c.Chat.Completions.New(t.Context(), chat(pathtest.Lookup, "hi"), option.WithMaxRetries(20))
	assert.NilError(t, err)
}

func TestKeysAndTickets(t *testing.T) {
	p := pathtest.Start(t, pathtest.Options{})
	c := newClient(p)
	var ticket struct {
		Ticket string `json:"ticket"`
	}
	assert.NilError(t, c.Post(t.Context(), "tickets", nil, &ticket))
	for _, key := range []string{"ruling-17", ticket.Ticket} {
		before := decodeStarts(p)
		_, err := c.Chat.Completions.New(t.Context(), chat(pathtest.Ruling, "May a group enter?"), option.WithHeader("Idempotency-Key", key))
		assert.NilError(t, err)
		_, err = c.Chat.Completions.New(t.Context(), chat(pathtest.Ruling, "May a group enter?"), option.WithHeader("Idempotency-Key", key))
		e := asAPIError(t, err)
		assert.Equal(t, e.Code, "idempotency_key_in_use")
		assert.Equal(t, e.Response.Header.Get("X-Should-Retry"), "false")
		assert.Equal(t, decodeStarts(p), before+1)
	}
	assert.Assert(t, !strings.Contains(p.Log.String(), ticket.Ticket), "a ticket was logged")
}

func TestServiceCalls(t *testing.T) {
	p := pathtest.Start(t, pathtest.Options{})
	call := func(method, path, body, header string) (*http.Response, string) {
		res := rawResponse(t, p, method, "/services/permits"+path, body, header)
		data, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		return res, string(data)
	}
	res, body := call("GET", "/status/a%2Fb%20c?x=%3F", "", "")
	assert.Equal(t, res.StatusCode, 200)
	assert.Assert(t, cmp.Contains(body, `"path":"/status/a/b c"`))

	_, body = call("POST", "/receipts", "{}", "Idempotency-Key: receipt-1")
	assert.Assert(t, cmp.Contains(body, `"id":"receipt-1"`))
	res, body = call("POST", "/receipts", "{}", "Idempotency-Key: receipt-1")
	assert.Equal(t, res.StatusCode, http.StatusConflict, body)

	// A lost answer leaves the outcome of an unrepeatable call unknown.
	assert.NilError(t, p.ServiceFaults.Add(fault.Rule{Op: fault.AnyOp, Kind: fault.LoseAnswer}))
	res, body = call("POST", "/receipts", "{}", "Idempotency-Key: receipt-2")
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	assert.Assert(t, cmp.Contains(body, `"outcome":"unknown"`))
	assert.Equal(t, res.Header.Get("X-Should-Retry"), "false")
	p.ServiceFaults.Clear()
	res, _ = call("POST", "/receipts", "{}", "Idempotency-Key: receipt-2")
	assert.Equal(t, res.StatusCode, http.StatusConflict)
}
