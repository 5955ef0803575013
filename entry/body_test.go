package entry

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// invalidField decodes a body of one of the two kinds of request, and returns the field that can't be served.
func invalidField(chat bool, data []byte) string {
	var field string
	if chat {
		var b chatRequest
		if field = decodeJSON(data, &b); field == "" {
			field = b.invalidField()
		}
		return field
	}
	var b completionRequest
	if field = decodeJSON(data, &b); field == "" {
		field = b.invalidField()
	}
	return field
}

func TestInvalidFields(t *testing.T) {
	for _, tc := range []struct{ body, chat, completion string }{
		{`{}`, "", ""},
		{`{"model":"m","stop":["x"],"temperature":0.3,"seed":1,"user":"u","tools":[],"logit_bias":{"1":2},"n":1,"new":{}}`, "", ""},
		{`{"model":"m","max_tokens":null,"stream":null,"n":null,"stream_options":null}`, "", ""},
		{`{"model":7}`, "model", "model"},
		{`{"stream":"yes"}`, "stream", "stream"},
		{`{"stream_options":{"include_usage":1}}`, "stream_options.include_usage", "stream_options.include_usage"},
		{`{"n":2}`, "n", "n"},
		{`{"n":0}`, "n", "n"},
		{`{"best_of":3}`, "best_of", "best_of"},
		{`{"max_tokens":-1}`, "max_tokens", "max_tokens"},
		{`{"max_tokens":1.5}`, "max_tokens", "max_tokens"},
		{`{"max_tokens":9999999999999999999}`, "max_tokens", "max_tokens"},
		{`{"max_tokens":1000000000}`, "max_tokens", "max_tokens"},
		{`{"max_completion_tokens":-1}`, "max_completion_tokens", ""},
		{`{"messages":"hello"}`, "messages", ""},
		{`{"messages":[{"role":"user","content":null}]}`, "", ""},
		{`{"messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`, "", ""},
		{`{"messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "messages.content", ""},
		{`{"messages":[{"role":"user","content":5}]}`, "messages.content", ""},
		{`{"prompt":["a"]}`, "", ""},
		{`{"prompt":["a","b"]}`, "", "prompt"},
		{`{"prompt":[]}`, "", "prompt"},
		{`{"prompt":[1,2,3]}`, "", "prompt"},
		{`{"model":"m"`, "body", "body"},
		{`{"model":"m"} {}`, "body", "body"},
		{`[]`, "body", "body"},
		{``, "body", "body"},
		{"{\"model\":\"\xff\"}", "body", "body"},
		{strings.Repeat("[", 100_000), "body", "body"},
	} {
		t.Run(tc.body[:min(len(tc.body), 40)], func(t *testing.T) {
			assert.Equal(t, invalidField(true, []byte(tc.body)), tc.chat)
			assert.Equal(t, invalidField(false, []byte(tc.body)), tc.completion)
		})
	}
}

// FuzzBody checks that decoding never panics, and that an accepted body can go into the frames of a link and
// is not larger than the body that was sent.
func FuzzBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":3,"stream":true,"stream_options":{"include_usage":true}}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}],"n":1}`,
		`{"model":"m","prompt":"hi","stop":["\n"],"temperature":0}`,
		`{"model":"m","prompt":["hi"]}`,
		`{"prompt":"\ud800\udc00 \ud800 \u0000"}`,
		`{"messages":[{"content":null},{"content":[]},{}]}`,
		`{"MODEL":"m","model":null,"max_tokens":1e3}`,
		"{\"prompt\":\"\xff\xfe\"}",
		`[[[[`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var chat chatRequest
		if decodeJSON(data, &chat) == "" && chat.invalidField() == "" {
			checkText(t, data, chat.Model, chat.prompt(), 3*len(chat.Messages))
		}
		var comp completionRequest
		if decodeJSON(data, &comp) == "" && comp.invalidField() == "" {
			checkText(t, data, comp.Model, string(comp.Prompt), 0)
		}
	})
}

func checkText(t *testing.T, data []byte, model, prompt string, slack int) {
	t.Helper()
	assert.Equal(t, strings.ToValidUTF8(model+prompt, ""), model+prompt)
	assert.Assert(t, len(prompt) <= len(data)+slack, "prompt of %d bytes from a body of %d", len(prompt), len(data))
}
