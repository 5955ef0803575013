package content_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/content"
)

// TestOf: requests are the same only if each part is, and parts don't run into each other.
func TestOf(t *testing.T) {
	base := content.Request{Caller: "k", Method: "POST", Host: "h", Target: "/a/1?b=2", Body: []byte("question")}
	want := content.Of(base)
	assert.Equal(t, content.Of(base), want)
	for name, change := range map[string]func(*content.Request){
		"caller":   func(r *content.Request) { r.Caller = "other" },
		"method":   func(r *content.Request) { r.Method = "PUT" },
		"host":     func(r *content.Request) { r.Host = "g" },
		"path":     func(r *content.Request) { r.Target = "/a/2?b=2" },
		"query":    func(r *content.Request) { r.Target = "/a/1?b=3" },
		"body":     func(r *content.Request) { r.Body = []byte("questions") },
		"boundary": func(r *content.Request) { r.Caller, r.Method = "kP", "OST" },
	} {
		r := base
		change(&r)
		assert.Assert(t, content.Of(r) != want, name)
	}
}

func TestParse(t *testing.T) {
	want := content.Of(content.Request{Host: "h"})
	got, err := content.Parse(want.String())
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	for _, s := range []string{"", "zz", want.String()[2:], want.String() + "00"} {
		_, err := content.Parse(s)
		assert.ErrorContains(t, err, "digest of a request", s)
	}
}
