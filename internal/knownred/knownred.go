// Package knownred compares the output of go test with KNOWN-RED.txt, the list of tests that fail for a known
// fault. A failure passes only if its entry names the same package and test, and if each of its failed
// assertions is one that the entry expects.
package knownred

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Entry is one listed test.
type Entry struct {
	// Test is its name, Package the import path or a suffix of it, Text the whole entry.
	Test, Package, Text string
	// Expected matches the assertions that are known to fail.
	Expected *regexp.Regexp
}

// entryPattern is "NAME, go test ./PACKAGE ...: what was seen; fails with /REGEXP/".
var entryPattern = regexp.MustCompile(`^((?:Test|Fuzz)\w+), go test \./(\S+).*fails with /(.+)/`)

// Parse reads the list. Lines that begin with # are comments. Entries of other runs than go test are skipped;
// one of a test that does not name its package and its failures is an error.
func Parse(r io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := lines.Text()
		if !strings.HasPrefix(line, "Test") && !strings.HasPrefix(line, "Fuzz") {
			continue
		}
		m := entryPattern.FindStringSubmatch(line)
		if m == nil {
			return nil, merry.Errorf("line %d: not \"NAME, go test ./PACKAGE ...: ...; fails with /REGEXP/\"", n)
		}
		expected, err := regexp.Compile(m[3])
		if err != nil {
			return nil, merry.Prependf(err, "line %d", n)
		}
		entries = append(entries, Entry{Test: m[1], Package: m[2], Text: line, Expected: expected})
	}
	return entries, merry.Wrap(lines.Err())
}

// Failure is a failed test, or a package that failed without naming a test, whose Test is empty.
type Failure struct {
	Package, Test string
	// Reasons are the lines that state failed assertions and panics.
	Reasons []string
}

var (
	failedTest    = regexp.MustCompile(`^--- FAIL: (\S+)`)
	packageResult = regexp.MustCompile(`^(ok|FAIL)\s+(\S*/\S+)`)
	reason        = regexp.MustCompile(`assertion failed|^panic:|^fatal error:|DATA RACE`)
)

// Failures returns the failures in the output of go test without -v.
func Failures(output io.Reader) ([]Failure, error) {
	var failures []Failure
	var current []Failure
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Text()
		if m := failedTest.FindStringSubmatch(line); m != nil {
			current = append(current, Failure{Test: m[1]})
		}
		if isReason(line) {
			if len(current) == 0 {
				current = append(current, Failure{})
			}
			last := &current[len(current)-1]
			last.Reasons = append(last.Reasons, strings.TrimSpace(line))
		}
		m := packageResult.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		if m[1] == "FAIL" && len(current) == 0 {
			current = append(current, Failure{})
		}
		for _, f := range current {
			f.Package = m[2]
			if m[1] == "FAIL" {
				failures = append(failures, f)
			}
		}
		current = nil
	}
	return failures, merry.Wrap(lines.Err())
}

// maxLine is the maximum length of a line of output, in bytes.
const maxLine = 1 << 20

// isReason reports whether a line states a failed assertion or a panic.
func isReason(line string) bool { return reason.MatchString(line) }

// expects reports whether the entry covers a failure with all of its reasons.
func (e *Entry) expects(f Failure) bool {
	if e.Test != f.Test || f.Package != e.Package && !strings.HasSuffix(f.Package, "/"+e.Package) {
		return false
	}
	for _, r := range f.Reasons {
		if !e.Expected.MatchString(r) {
			return false
		}
	}
	return len(f.Reasons) > 0
}

// Judge writes each failure with its own reasons, and each listed test that did not fail, and reports whether all failures
// are listed.
func Judge(entries []Entry, failures []Failure, out io.Writer) bool {
	ok, failed := true, map[string]bool{}
	for _, f := range failures {
		text, listed := find(entries, f)
		if listed {
			failed[text] = true
			_, _ = fmt.Fprintf(out, "known red: %s\n    %s\n", text, strings.Join(f.Reasons, "\n    "))
			continue
		}
		ok = false
		_, _ = fmt.Fprintf(out, "failed: %s %s %s\n", f.Package, f.Test, strings.Join(f.Reasons, "; "))
	}
	for _, e := range entries {
		if !failed[e.Text] {
			_, _ = fmt.Fprintf(out, "listed as known red, but did not fail so: %s in %s\n", e.Test, e.Package)
		}
	}
	return ok
}

func find(entries []Entry, f Failure) (text string, ok bool) {
	for _, e := range entries {
		if e.expects(f) {
			return e.Text, true
		}
	}
	return "", false
}
