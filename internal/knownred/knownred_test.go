package knownred_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/knownred"
)

const list = `# comment
TestLong, go test ./policy/memory -run TestLong (seed 0): 0.03 of 0.50, issue 23; fails with /summary, fifth [345]: /
sweep-300 (no test of ours), fleetbench sweep: once
`

// TestJudge: a listed test passes by its package and its known assertions only. By its name alone, a test of the
// same name in another package passed too, and so did a listed one that failed for a new reason.
func TestJudge(t *testing.T) {
	const known = "--- FAIL: TestLong (0.3s)\n    a_test.go:9: assertion failed: x is less than y: summary, fifth 4: 0.1 of 0.5\nFAIL\n"
	for _, c := range []struct {
		name, output string
		want         bool
		says         string
	}{
		{"all pass", "ok  \texample.org/r/policy/memory\t0.1s\n", true, "did not fail so: TestLong"},
		{"known failure", known + "FAIL\texample.org/r/policy/memory\t0.4s\n", true, "known red: TestLong"},
		{"in another package", known + "FAIL\texample.org/r/policy/other\t0.4s\n", false, "failed: example.org/r/policy/other TestLong"},
		{"for a new reason", strings.Replace(known, "fifth 4", "fifth 1", 1) + "FAIL\texample.org/r/policy/memory\t0.4s\n", false, "failed: "},
		{"for a known and a new reason", strings.Replace(known, "FAIL\n", "panic: nil map\n", 1) + "FAIL\texample.org/r/policy/memory\t0.4s\n", false, "failed: "},
		{"without a reason", "--- FAIL: TestLong (0.3s)\nFAIL\nFAIL\texample.org/r/policy/memory\t0.4s\n", false, "failed: "},
		{"beside another test", known + "--- FAIL: TestOther (0.3s)\nFAIL\nFAIL\texample.org/r/policy/memory\t0.4s\n", false, "TestOther"},
		{"of a package after one with a known failure", known + "FAIL\texample.org/r/policy/memory\t0.4s\nFAIL\texample.org/r/peer [build failed]\n", false, "failed: example.org/r/peer"},
		{"of a package with passing tests only", "ok  \texample.org/r/policy/memory\t0.1s\nFAIL\texample.org/r/peer\t0.2s\n", false, "example.org/r/peer"},
	} {
		t.Run(c.name, func(t *testing.T) {
			entries, err := knownred.Parse(strings.NewReader(list))
			assert.NilError(t, err)
			assert.Equal(t, len(entries), 1)
			failures, err := knownred.Failures(strings.NewReader(c.output))
			assert.NilError(t, err)
			var out strings.Builder
			assert.Equal(t, knownred.Judge(entries, failures, &out), c.want, out.String())
			assert.Check(t, strings.Contains(out.String(), c.says), out.String())
		})
	}
}

// TestParseErrors: an entry that would cover more than it says is refused, with its line.
func TestParseErrors(t *testing.T) {
	for _, line := range []string{
		"TestLong: no package",
		"TestLong, go test ./policy/memory (seed 0): no failures named",
		"TestLong, go test ./policy/memory: fails with /(/",
	} {
		_, err := knownred.Parse(strings.NewReader("# comment\n" + line + "\n"))
		assert.ErrorContains(t, err, "line 2", line)
	}
}
