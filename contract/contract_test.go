package contract

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sample = `customer: shop
brand: Shop & Sons
keys:
  - name: main
    sha256: ab00000000000000000000000000000000000000000000000000000000000000
share: 0.25
limits:
  requests_per_second: 2.5
  concurrent: 8
  max_prompt_tokens: 20000
  max_output_tokens: 800
classes:
  - name: lookup
    models: [portal]
    urgency: interactive
    ttft: 800ms
    tbt: 40ms
    deadline: 10s
  - name: draft
    models: [drafting, portal]
    urgency: deferred
    ttft: 20s
    tbt: 100ms
    deadline: 10m
    unrepeatable: true
services:
  - name: permits
    unrepeatable: ["POST /receipts", "* /charges/"]
`

func TestParseFillsDefaultsAndRoundTrips(t *testing.T) {
	c, err := Parse("shop.yaml", []byte(sample))
	assert.NilError(t, err)
	assert.Equal(t, c.Limits.Burst, 3)
	assert.Equal(t, c.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	assert.Equal(t, c.Services[0].Timeout, DefaultServiceTimeout)
	assert.Equal(t, c.Classes[1].Urgency, Deferred)
	out, err := c.Marshal()
	assert.NilError(t, err)
	again, err := Parse("out.yaml", out)
	assert.NilError(t, err, string(out))
	assert.DeepEqual(t, c, again)
}

func TestParseRejectsInvalidFields(t *testing.T) {
	for _, tc := range []struct{ name, old, new, want string }{
		{"customer form", "customer: shop", "customer: Shop", "x.yaml:1: customer: must be"},
		{"unknown urgency", "urgency: deferred", "urgency: late", "x.yaml:21: classes[1].urgency: \"late\" is not an urgency"},
		{"missing urgency", "    urgency: deferred\n", "", "classes[1].urgency: is missing"},
		{"zero share", "share: 0.25", "share: 0", "x.yaml:6: share: must be above 0"},
		{"share not a number", "share: 0.25", "share: .nan", "x.yaml:6: share: must be above 0"},
		{"duration without unit", "ttft: 800ms", "ttft: 800", "x.yaml:16: classes[0].ttft: must be a duration"},
		{"deadline below target", "deadline: 10s", "deadline: 10ms", "x.yaml:18: classes[0].deadline: must be between 800ms"},
		{"class twice", "name: draft", "name: lookup", "x.yaml:19: classes[1].name: \"lookup\" stands twice"},
		{"hash of digits alone", "ab00000000000000000000000000000000000000000000000000000000000000", strings.Repeat("0", 64), "x.yaml:5: keys[0].sha256: must be text (put it in quotes)"},
		{"call", "POST /receipts", "receipts", "services[0].unrepeatable[0]: must be a method"},
		{"unknown key", "brand: Shop & Sons", "brnd: x", "x.yaml:2: brnd: unknown key"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bad := strings.Replace(sample, tc.old, tc.new, 1)
			_, err := Parse("x.yaml", []byte(bad))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestClassFor(t *testing.T) {
	c, err := Parse("shop.yaml", []byte(sample))
	assert.NilError(t, err)
	for _, tc := range []struct{ model, name, want string }{
		{"portal", "", "lookup"},
		{"portal", "draft", "draft"},
		{"drafting", "", "draft"},
		{"drafting", "lookup", ""},
		{"other", "", ""},
	} {
		class, ok := c.ClassFor(tc.model, tc.name)
		assert.Equal(t, ok, tc.want != "")
		if ok {
			assert.Equal(t, class.Name, tc.want)
		}
	}
}

func TestIsUnrepeatable(t *testing.T) {
	s := Service{Unrepeatable: []string{"POST /receipts", "* /charges/"}}
	for _, tc := range []struct {
		method, path string
		want         bool
	}{
		{"POST", "/receipts", true},
		{"post", "/receipts/7?x=1", true},
		{"POST", "//receipts", true},
		{"POST", "/a/../receipts", true},
		{"POST", "/%72eceipts", true},
		{"POST", "/receipts-archive", false},
		{"GET", "/receipts", false},
		{"PUT", "/charges/9", true},
		{"PUT", "/charges", true},
	} {
		assert.Equal(t, s.IsUnrepeatable(tc.method, tc.path), tc.want, tc.method+" "+tc.path)
	}
}

func TestParseBackend(t *testing.T) {
	const good = "id: vm-1\naddress: 10.0.0.7:7400\nzone: a\nrole: decode\nmodels: [portal]\n"
	b, err := ParseBackend("b.yaml", []byte(good))
	assert.NilError(t, err)
	out, err := b.Marshal()
	assert.NilError(t, err)
	again, err := ParseBackend("out.yaml", out)
	assert.NilError(t, err)
	assert.DeepEqual(t, b, again)
	for _, tc := range []struct{ old, new, want string }{
		{"10.0.0.7:7400", "host:7400", "b.yaml:2: address: "},
		{"10.0.0.7:7400", "10.0.0.7:0", "b.yaml:2: address: "},
		{"decode", "both", "b.yaml:4: role: "},
		{"[portal]", "[]", "b.yaml:5: models: "},
	} {
		_, err := ParseBackend("b.yaml", []byte(strings.Replace(good, tc.old, tc.new, 1)))
		assert.ErrorContains(t, err, tc.want)
	}
}
