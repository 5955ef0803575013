package pages_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// wireNames are names that the users' platform gives to headers and calls.
var wireNames = regexp.MustCompile(`Hibiscusspur-[A-Z]|Kv-Fetch|/api/(rows|order|report|kv|hold|ready|blob)`)

// TestPlatformNamesStayInTheAdapter: the users' platform's names stand in platform/ alone,
// and in the stand-ins that speak for it; tests take them from there.
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

// TestAdapterDecidesNothing: the adapter draws no chance, starts no goroutine and knows
// none of the policies.
func TestAdapterDecidesNothing(t *testing.T) {
	decides := regexp.MustCompile(`hibiscusspur/policy|math/rand|\bgo func|time\.Now\(`)
	files, err := filepath.Glob("../../platform/*.go")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 5)
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Check(t, !decides.Match(data), "%s: %s", path, decides.Find(data))
	}
}
