// Package pages reads the tables of the pages in docs/, for the tests that compare them with the code.
package pages

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// root returns the root directory of the module, searched upwards from the directory of the test.
func root(t testing.TB) string {
	t.Helper()
	dir, err := os.Getwd()
	assert.NilError(t, err)
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		parent := filepath.Dir(dir)
		assert.Assert(t, parent != dir, "no go.mod above the test")
		dir = parent
	}
}

// Rows returns the cells of every table row under a heading of docs/page, up to the next heading. Header rows
// and separator rows are left out, and backquotes around a whole cell are removed.
func Rows(t testing.TB, page, heading string) [][]string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root(t), "docs", page))
	assert.NilError(t, err)
	var rows [][]string
	found, head := false, true
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "#"):
			found, head = strings.TrimLeft(line, "# ") == heading, true
		case !found || !strings.HasPrefix(line, "|"):
		case strings.HasPrefix(line, "|---"):
			head = false
		case !head:
			rows = append(rows, cells(line))
		}
	}
	assert.Assert(t, len(rows) > 0, "docs/%s has no table under %q", page, heading)
	return rows
}

func cells(line string) []string {
	parts := strings.Split(strings.Trim(line, "|"), "|")
	for i, p := range parts {
		p = strings.TrimSpace(p)
		if strings.Count(p, "`") == 2 {
			p = strings.TrimSuffix(strings.TrimPrefix(p, "`"), "`")
		}
		parts[i] = p
	}
	return parts
}
