package engine

import (
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"
)

const (
	minAnswerTokens   = 16
	answerTokensRange = 112
	tokenLetters      = 3
)

var lengthMarker = regexp.MustCompile(`\[\[len=(\d{1,6})\]\]`)

// Finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Answer returns the tokens of the whole answer to prompt. It is a pure function
// of its arguments: every engine gives the same answer, whole or resumed. The
// text of the answer is the concatenation of the tokens. The marker [[len=N]] in
// the prompt sets the length to N, which maxTokens caps; zero means no cap.
func Answer(model, prompt string, maxTokens int) []string {
	s := newScript(model, prompt, maxTokens)
	out := make([]string, s.total)
	for i := range out {
		out[i] = s.token(i)
	}
	return out
}

// script is the predetermined answer to one prompt, generated token by token.
type script struct {
	seed   uint64
	total  int
	finish string
}

func newScript(model, prompt string, maxTokens int) script {
	s := script{seed: textHash(model, prompt), finish: FinishStop}
	s.total = minAnswerTokens + int(s.seed%answerTokensRange)
	if m := lengthMarker.FindStringSubmatch(prompt); m != nil {
		s.total, _ = strconv.Atoi(m[1])
	}
	if maxTokens > 0 && s.total > maxTokens {
		s.total = maxTokens
		s.finish = FinishLength
	}
	return s
}

// token returns the token at position i: three letters and a space.
func (s script) token(i int) string {
	x := mix(s.seed + uint64(i))
	b := make([]byte, 0, tokenLetters+1)
	for range tokenLetters {
		b = append(b, 'a'+byte(x%26))
		x /= 26
	}
	return string(append(b, ' '))
}

// text returns the first n tokens of the answer.
func (s script) text(n int) string {
	var b strings.Builder
	for i := range min(n, s.total) {
		b.WriteString(s.token(i))
	}
	return b.String()
}

// mix is the output function (finalizer) of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// PromptHash identifies a prompt of a model in State.BegunPrompts.
func PromptHash(model, prompt string) uint64 { return textHash(model, prompt) }

// textHash identifies a prompt of a model.
func textHash(model, prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}
