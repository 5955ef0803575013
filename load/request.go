package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	port "github.com/hibiscusspur/hibiscusspur/engine"
	"github.com/hibiscusspur/hibiscusspur/standin/engine"
)

// Request is one request ready to be sent, with its expected answer.
type Request struct {
	Class *Class
	// ID is sent as request id and as idempotency key.
	ID     string
	Body   []byte
	Prompt string
	// Answer is the answer of the stand-in engines, token by token.
	Answer []string
}

// completionBody is the body of a streamed request for model work.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// NewRequest derives a request of class c from seed. Its id begins with tag.
func NewRequest(c *Class, seed uint64, tag string) *Request {
	r := rand.New(rand.NewPCG(seed, 1))
	req := &Request{Class: c, ID: fmt.Sprintf("%s-%016x", tag, seed)}
	if c.Service != nil {
		req.Body = fmt.Appendf(nil, `{"permit":%d}`, seed)
		return req
	}
	length := c.Answer.Draw(r)
	req.Prompt = c.prompt(r) + fmt.Sprintf(" %016x [[len=%d]]", seed, length)
	req.Answer = engine.Answer(c.Model, req.Prompt, length)
	body, err := json.Marshal(completionBody{Model: c.Model, Prompt: req.Prompt, MaxTokens: length, Stream: true})
	if err != nil {
		panic(fmt.Sprintf("encode request: %v", err))
	}
	req.Body = body
	return req
}

func (c *Class) prompt(r *rand.Rand) string {
	var b strings.Builder
	if c.Shared.Texts > 0 {
		c.Shared.writeText(&b, c, r)
	}
	writeWords(&b, r, c.Unique.Draw(r))
	return b.String()
}

// writeText appends one of the shared texts, whose length is a whole number of prefix
// cache blocks.
func (s Shared) writeText(b *strings.Builder, c *Class, r *rand.Rand) {
	text := rand.New(rand.NewPCG(uint64(s.drawText(r)), uint64(len(c.Model))))
	tokens := s.Tokens.Draw(text)
	blocks := max(tokens/port.PrefixBlockTokens, 1)
	writeWords(b, text, blocks*port.PrefixBlockTokens)
}

// drawText draws the index of a text by its popularity.
func (s Shared) drawText(r *rand.Rand) int {
	total := 0.0
	for i := range s.Texts {
		total += math.Pow(float64(i+1), -s.Skew)
	}
	x := r.Float64() * total
	for i := range s.Texts {
		x -= math.Pow(float64(i+1), -s.Skew)
		if x < 0 {
			return i
		}
	}
	return s.Texts - 1
}

// writeWords appends words of one token each.
func writeWords(b *strings.Builder, r *rand.Rand, tokens int) {
	word := [port.BytesPerToken]byte{port.BytesPerToken - 1: ' '}
	for range tokens {
		x := r.Uint32()
		for i := range len(word) - 1 {
			word[i] = 'a' + byte(x%26)
			x /= 26
		}
		b.Write(word[:])
	}
}
