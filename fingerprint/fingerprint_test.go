package fingerprint_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/fingerprint"
)

// TestOf checks that requests are the same only if each part is, and that parts don't run into each other.
func TestOf(t *testing.T) {
	base := fingerprint.Request{Caller: "k", Method: "POST", Host: "h", Target: "/a/1?b=2", Body: []byte("question")}
	want := fingerprint.Of(base)
	assert.Equal(t, fingerprint.Of(base), want)
	for name, change := range map[string]func(*fingerprint.Request){
		"caller":   func(r *fingerprint.Request) { r.Caller = "other" },
		"method":   func(r *fingerprint.Request) { r.Method = "PUT" },
		"host":     func(r *fingerprint.Request) { r.Host = "g" },
		"path":     func(r *fingerprint.Request) { r.Target = "/a/2?b=2" },
		"query":    func(r *fingerprint.Request) { r.Target = "/a/1?b=3" },
		"body":     func(r *fingerprint.Request) { r.Body = []byte("questions") },
		"boundary": func(r *fingerprint.Request) { r.Caller, r.Method = "kP", "OST" },
	} {
		r := base
		change(&r)
		assert.Assert(t, fingerprint.Of(r) != want, name)
	}
}

func TestParse(t *testing.T) {
	want := fingerprint.Of(fingerprint.Request{Host: "h"})
	got, err := fingerprint.Parse(want.String())
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	for _, s := range []string{"", "zz", want.String()[2:], want.String() + "00"} {
		_, err := fingerprint.Parse(s)
		assert.ErrorContains(t, err, "digest of a request", s)
	}
}
