package knownred

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// event is one event of go test -json, as documented by "go doc test2json".
type event struct {
	Action, Package, Test, Output string
}

// Actions of events that are looked at. The others report that tests start, pause and continue.
const (
	actionOutput = "output"
	actionPass   = "pass"
	actionSkip   = "skip"
	actionFail   = "fail"
)

// packageResults are the tests of one package by name; those of subtests count as their test's.
type packageResults struct {
	failed bool
	tests  map[string]*testResult
}

type testResult struct {
	failed, ended bool
	reasons       []string
}

// EventFailures returns the failures in the output of go test -json, in which each line names its test, and copies the
// tests' own output to text. A reason that belongs to no failed test is one of its package, if that failed.
func EventFailures(events io.Reader, text io.Writer) ([]Failure, error) {
	packages := map[string]*packageResults{}
	for d := json.NewDecoder(events); ; {
		var e event
		if err := d.Decode(&e); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, merry.Prepend(err, "output of go test -json")
		}
		if _, err := io.WriteString(text, e.Output); err != nil {
			return nil, merry.Wrap(err)
		}
		p, ok := packages[e.Package]
		if !ok {
			p = &packageResults{tests: map[string]*testResult{}}
			packages[e.Package] = p
		}
		p.add(e)
	}
	var failures []Failure
	for _, name := range slices.Sorted(maps.Keys(packages)) {
		failures = append(failures, packages[name].failures(name)...)
	}
	return failures, nil
}

func (p *packageResults) add(e event) {
	test, _, isSubtest := strings.Cut(e.Test, "/")
	if e.Test == "" && e.Action == actionFail {
		p.failed = true
		return
	}
	t, ok := p.tests[test]
	if !ok {
		t = &testResult{}
		p.tests[test] = t
	}
	switch e.Action {
	case actionOutput:
		if isReason(e.Output) {
			t.reasons = append(t.reasons, strings.TrimSpace(e.Output))
		}
	case actionFail:
		t.failed, t.ended = true, true
	case actionPass, actionSkip:
		t.ended = t.ended || !isSubtest
	}
}

// failures returns the failed tests of a package, and one without a test for what belongs to none of them.
func (p *packageResults) failures(name string) (out []Failure) {
	if !p.failed {
		return nil
	}
	of := Failure{Package: name}
	for _, test := range slices.Sorted(maps.Keys(p.tests)) {
		t := p.tests[test]
		if test != "" && (t.failed || !t.ended) {
			out = append(out, Failure{Package: name, Test: test, Reasons: t.reasons})
			continue
		}
		of.Reasons = append(of.Reasons, t.reasons...)
	}
	if len(out) == 0 || len(of.Reasons) > 0 {
		out = append(out, of)
	}
	return out
}
