package pages_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// wireNames matches the names of headers and calls of the users' platform.
var wireNames = regexp.MustCompile(`Hibiscusspur-[A-Z]|Kv-Fetch|/api/(rows|order|report|kv|hold|ready|blob)`)

// TestPlatformNamesStayInTheAdapter: names of the users' platform occur only in platform/ and in the
// stand-ins of standin/ that simulate that platform; tests import them from there.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	err := filepath.WalkDir("../..", func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		rel := strings.TrimPrefix(filepath.ToSlash(path), "../../")
		if strings.HasPrefix(rel, "platform/") || strings.HasPrefix(rel, "standin/") || rel == "internal/pages/names_test.go" {
			return nil
		}
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Check(t, !wireNames.Match(data), "%s: %s", rel, wireNames.Find(data))
		return nil
	})
	assert.NilError(t, err)
}

// TestPlatformAdapterContainsNoPolicy: the platform adapter draws no random numbers, starts no goroutine,
// reads no clock and imports no policy.
func TestPlatformAdapterContainsNoPolicy(t *testing.T) {
	forbidden := regexp.MustCompile(`hibiscusspur/policy|math/rand|\bgo func|time\.Now\(`)
	files, err := filepath.Glob("../../platform/*.go")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 5)
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Check(t, !forbidden.Match(data), "%s: %s", path, forbidden.Find(data))
	}
}
