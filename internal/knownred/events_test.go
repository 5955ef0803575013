package knownred_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/knownred"
)

const twoListed = `TestServed, go test ./proofs -run TestServed (no seed): 0.16 of 1.00, issue 1; fails with /served 0\.\d\d/
TestTaken, go test ./proofs -run TestTaken (no seed): none taken, issue 1; fails with /took none of/
`

// parallelTests fail side by side: each waits with its second assertion until the other has written its first one.
const parallelTests = `package proofs

import "testing"

var served, taken = make(chan struct{}), make(chan struct{})

func TestServed(t *testing.T) {
	t.Parallel()
	t.Error("assertion failed: served 0.16 of 1.00")
	close(served)
	<-taken
	t.Run("just started", func(t *testing.T) { t.Error("assertion failed: served 0.43 of 1.00") })
}

func TestTaken(t *testing.T) {
	t.Parallel()
	<-served
	t.Error("assertion failed: took none of 54 connections")
	close(taken)
}

func TestLast(t *testing.T) {}
`

// TestTwoListedTestsFailInOneRun guards against a check that gives the last failed test all assertions, as CI did: two
// listed tests of one run were not passed over.
func TestTwoListedTestsFailInOneRun(t *testing.T) {
	out := goTestEvents(t, parallelTests)
	ok, said := judgeEvents(t, out)
	assert.Assert(t, ok, said)
	assert.Equal(t, strings.Count(said, "known red: "), 2, said)
	assert.Assert(t, strings.Contains(said, "known red: TestServed, "), said)
}

// TestUnlistedReasonBesideListedTest: what passes for one test doesn't pass for another one of the run.
func TestUnlistedReasonBesideListedTest(t *testing.T) {
	for _, c := range []struct{ name, old, instead string }{
		{"reason of the other test", "served 0.43 of 1.00", "took none of 54 connections"},
		{"unknown reason", "took none of 54 connections", "answered twice"},
		{"no reason", "assertion failed: took none of 54 connections", "none"},
		{"panic of a test that is not listed", "func TestLast(t *testing.T) {}", `func TestLast(t *testing.T) { panic("nil map") }`},
		{"failed program", "func TestLast(t *testing.T) {}", "func TestMain(m *testing.M) { m.Run(); panic(1) }"},
		{"not built", "func TestLast(t *testing.T) {}", "func TestLast() int {}"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ok, said := judgeEvents(t, goTestEvents(t, strings.Replace(parallelTests, c.old, c.instead, 1)))
			assert.Assert(t, !ok, said)
			assert.Assert(t, strings.Contains(said, "failed: example.org/r/proofs"), said)
		})
	}
}

// TestReasonOutsideFailedTests: a reason under the name of a test that passed, or of none, is one of the package.
func TestReasonOutsideFailedTests(t *testing.T) {
	const failed = `{"Action":"output","Package":"example.org/r/proofs","Test":"TestTaken","Output":"assertion failed: took none of 5\n"}
{"Action":"fail","Package":"example.org/r/proofs","Test":"TestTaken"}
`
	const end = `{"Action":"fail","Package":"example.org/r/proofs"}` + "\n"
	ok, said := judgeEvents(t, failed+end)
	assert.Assert(t, ok, said)
	for _, other := range []string{
		`{"Action":"output","Package":"example.org/r/proofs","Output":"panic: late\n"}` + "\n",
		`{"Action":"pass","Package":"example.org/r/proofs","Test":"TestServed"}
{"Action":"output","Package":"example.org/r/proofs","Test":"TestServed","Output":"WARNING: DATA RACE\n"}
`,
	} {
		ok, said := judgeEvents(t, failed+other+end)
		assert.Assert(t, !ok, said)
	}
}

func TestEventsCutOff(t *testing.T) {
	var text strings.Builder
	_, err := knownred.EventFailures(strings.NewReader(`{"Action":"output","Outp`), &text)
	assert.ErrorContains(t, err, "go test -json")
}

// goTestEvents returns what go test -json prints of a package with some tests that fail.
func goTestEvents(t *testing.T, source string) string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range map[string]string{"go.mod": "module example.org/r\n\ngo 1.24\n", "proofs/p_test.go": source} {
		assert.NilError(t, os.MkdirAll(filepath.Join(dir, filepath.Dir(name)), 0o755))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o644))
	}
	run := exec.CommandContext(t.Context(), "go", "test", "-json", "-parallel", "2", "./proofs")
	run.Dir = dir
	out, err := run.Output()
	var failed *exec.ExitError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	return string(out)
}

func judgeEvents(t *testing.T, events string) (ok bool, said string) {
	t.Helper()
	entries, err := knownred.Parse(strings.NewReader(twoListed))
	assert.NilError(t, err)
	var text, out strings.Builder
	failures, err := knownred.EventFailures(strings.NewReader(events), &text)
	assert.NilError(t, err)
	ok = knownred.Judge(entries, failures, &out)
	return ok, out.String()
}
