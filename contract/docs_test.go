package contract

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// documentedRanges holds the defaults and ranges on the page that follow from
// constants.
var documentedRanges = map[string]string{
	"brand":                      fmt.Sprintf("required | 1 to %d bytes, printable", maxBrandBytes),
	"keys":                       fmt.Sprintf("required | 1 to %d entries", maxKeys),
	"limits.requests_per_second": fmt.Sprintf("required | above 0, at most %d", maxRequests),
	"limits.burst":               fmt.Sprintf("`requests_per_second`, rounded up | 1 to %d", maxBurst),
	"limits.concurrent":          fmt.Sprintf("required | 1 to %d", maxConcurrent),
	"limits.max_prompt_tokens":   fmt.Sprintf("required | 1 to %d", maxPromptTokens),
	"limits.max_output_tokens":   fmt.Sprintf("required | 1 to %d", maxOutputTokens),
	"limits.max_body_bytes":      fmt.Sprintf("%d | 1 to %d", DefaultMaxBodyBytes, maxBodyBytes),
	"classes":                    fmt.Sprintf("empty | at most %d entries", maxClasses),
	"classes[].models":           fmt.Sprintf("required | 1 to %d entries", maxModels),
	"classes[].urgency":          fmt.Sprintf("required | %v, %v, %v", Interactive, Prompt, Deferred),
	"classes[].ttft":             fmt.Sprintf("required | %v to %v", minTTFT, maxTTFT),
	"classes[].tbt":              fmt.Sprintf("required | %v to %v", minTBT, maxTBT),
	"classes[].deadline":         fmt.Sprintf("required | `ttft` to %v", maxDeadline),
	"services":                   fmt.Sprintf("empty | at most %d entries", maxServices),
	"services[].unrepeatable":    fmt.Sprintf("empty | at most %d entries", maxCalls),
	"services[].timeout":         fmt.Sprintf("%v | %v to %v", DefaultServiceTimeout, minTimeout, maxTimeout),
	"models":                     fmt.Sprintf("required | 1 to %d entries", maxModels),
}

func fieldPaths(t reflect.Type, prefix string) []string {
	var paths []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		path := prefix + name
		paths = append(paths, path)
		switch {
		case f.Type.Kind() == reflect.Struct:
			paths = append(paths, fieldPaths(f.Type, path+".")...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			paths = append(paths, fieldPaths(f.Type.Elem(), path+"[].")...)
		}
	}
	return paths
}

func TestPageListsEveryFieldWithItsRange(t *testing.T) {
	page, err := os.ReadFile("../docs/CONTRACTS.md")
	assert.NilError(t, err)
	rows := regexp.MustCompile("(?m)^\\| `([a-z0-9_.\\[\\]]+)` \\| [^|]+ \\| (.*)$").FindAllStringSubmatch(string(page), -1)
	var listed []string
	for _, row := range rows {
		listed = append(listed, row[1])
		assert.Assert(t, strings.HasPrefix(row[2], documentedRanges[row[1]]), "%s: page says %q, code says %q", row[1], row[2], documentedRanges[row[1]])
	}
	want := fieldPaths(reflect.TypeFor[Contract](), "")
	want = append(want, fieldPaths(reflect.TypeFor[Backend](), "")...)
	assert.DeepEqual(t, listed, want)
}

// TestRangesAreEnforced checks that Parse enforces the bounds given on the page.
func TestRangesAreEnforced(t *testing.T) {
	for _, tc := range []struct {
		field    string
		set      func(c *Contract, value int)
		maxValue int
	}{
		{"limits.burst", func(c *Contract, n int) { c.Limits.Burst = n }, maxBurst},
		{"limits.concurrent", func(c *Contract, n int) { c.Limits.Concurrent = n }, maxConcurrent},
		{"limits.max_prompt_tokens", func(c *Contract, n int) { c.Limits.MaxPromptTokens = n }, maxPromptTokens},
		{"limits.max_output_tokens", func(c *Contract, n int) { c.Limits.MaxOutputTokens = n }, maxOutputTokens},
		{"limits.max_body_bytes", func(c *Contract, n int) { c.Limits.MaxBodyBytes = n }, maxBodyBytes},
		{"classes[0].ttft", func(c *Contract, n int) { c.Classes[0].TTFT = time.Duration(n); c.Classes[0].Deadline = maxDeadline }, int(maxTTFT)},
		{"classes[0].tbt", func(c *Contract, n int) { c.Classes[0].TBT = time.Duration(n) }, int(maxTBT)},
		{"classes[0].deadline", func(c *Contract, n int) { c.Classes[0].Deadline = time.Duration(n) }, int(maxDeadline)},
		{"services[0].timeout", func(c *Contract, n int) { c.Services[0].Timeout = time.Duration(n) }, int(maxTimeout)},
	} {
		for step, want := range []string{"", tc.field, tc.field} {
			value := []int{tc.maxValue, tc.maxValue + 1, -1}[step]
			c, err := Parse("shop.yaml", []byte(sample))
			assert.NilError(t, err)
			tc.set(c, value)
			got := ""
			c.Check(func(field, _ string, _ ...any) { got += field })
			assert.Equal(t, got, want, "%s = %d", tc.field, value)
		}
	}
}
