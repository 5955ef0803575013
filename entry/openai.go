package entry

import (
	"encoding/json"
	"reflect"
	"strings"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

// The request and response bodies follow the API that clients of language models already use; fields that do
// not matter for routing are left out.

// options are the fields common to both requests. Other fields, such as stop or temperature, are accepted and
// ignored.
type options struct {
	Model         string        `json:"model"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	// N and BestOf request several answers, which is not supported.
	N      *int `json:"n"`
	BestOf *int `json:"best_of"`
}

// maxTokenCount bounds the token counts that a caller may set.
const maxTokenCount = 1 << 24

// invalidField returns the name of a field that can't be served, or an empty string.
func (o options) invalidField() string {
	switch {
	case o.N != nil && *o.N != 1:
		return "n"
	case o.BestOf != nil && *o.BestOf != 1:
		return "best_of"
	case o.MaxTokens < 0 || o.MaxTokens > maxTokenCount:
		return "max_tokens"
	}
	return ""
}

type chatRequest struct {
	options
	Messages            []chatMessage `json:"messages"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

func (c *chatRequest) invalidField() string {
	if c.MaxCompletionTokens < 0 || c.MaxCompletionTokens > maxTokenCount {
		return "max_completion_tokens"
	}
	return c.options.invalidField()
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a text, or a list of text parts, which are concatenated.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return typeError[chatContent](data)
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return typeError[chatContent](data)
		}
		b.WriteString(p.Text)
	}
	*c = chatContent(b.String())
	return nil
}

// typeError returns an error in which package json sets the path of the field.
func typeError[T any](data []byte) error {
	return &json.UnmarshalTypeError{Value: string(data[:1]), Type: reflect.TypeFor[T]()}
}

type completionRequest struct {
	options
	Prompt promptText `json:"prompt"`
}

// promptText is a text, or a list of one text.
type promptText string

// UnmarshalJSON implements json.Unmarshaler.
func (p *promptText) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*p = promptText(text)
		return nil
	}
	var list []string
	if json.Unmarshal(data, &list) != nil || len(list) != 1 {
		return typeError[promptText](data)
	}
	*p = promptText(list[0])
	return nil
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int           `json:"index"`
	Message      *replyMessage `json:"message,omitempty"`
	Delta        *replyMessage `json:"delta,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

type replyMessage struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
	// Outcome is the known state of the run: not_run, failed or unknown.
	Outcome string `json:"outcome"`
	// RetryAfterMs is when to retry, in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// sharedMessages identifies the messages of a chat that other chats may have too: all but the last one.
func (c *chatRequest) sharedMessages() []string {
	var ids []string
	for _, m := range c.Messages[:max(len(c.Messages)-1, 0)] {
		ids = append(ids, fingerprint.OfParts([]string{m.Role, string(m.Content)}).String())
	}
	return ids
}

// prompt renders chat messages as one text.
func (c *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}
