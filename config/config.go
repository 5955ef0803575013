// Package config reads YAML settings strictly: unknown keys, wrong types and values
// out of range are rejected before startup, with file, line and field.
package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// wholeDocument is the Field of errors that concern no single field.
const wholeDocument = "document"

// FieldError is an error in a file. Field is a path such as "limits.burst" or
// "classes[1].ttft".
type FieldError struct {
	File    string
	Line    int
	Field   string
	Message string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Message)
}

// Errors are all errors found in one file.
type Errors []*FieldError

// Error implements error, with one FieldError per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by settings. Check calls fail once per invalid value, with
// the YAML path of the field in the document.
type Validator interface {
	Check(fail func(field, format string, args ...any))
}

// Load reads a document from path into out, which holds the defaults.
func Load(path string, out Validator) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(path, data, out)
}

// Parse decodes data and validates the result; file is the file name in errors. All
// structural errors are reported together; values are validated only if there are
// none. The error is of type Errors.
func Parse(file string, data []byte, out Validator) error {
	doc, fieldErr := parseDocument(file, data)
	if fieldErr != nil {
		return Errors{fieldErr}
	}
	s := newScanner(file)
	s.checkNode(doc, reflect.TypeOf(out), "")
	if len(s.errs) > 0 {
		return s.sortedErrors()
	}
	if err := yaml.UnmarshalWithOptions(data, out, yaml.Strict()); err != nil {
		return Errors{s.decodeError(err)}
	}
	out.Check(func(field, format string, args ...any) {
		s.fail(s.lineOf(field), field, format, args...)
	})
	if len(s.errs) > 0 {
		return s.sortedErrors()
	}
	return nil
}

// LineOf returns the line of a field in a document that Parse accepts into out, for
// errors that are found only by comparing several files.
func LineOf(data []byte, out Validator, field string) int {
	doc, fieldErr := parseDocument("", data)
	if fieldErr != nil {
		return fieldErr.Line
	}
	s := newScanner("")
	s.checkNode(doc, reflect.TypeOf(out), "")
	return s.lineOf(field)
}

// parseDocument returns the root of the document in data, which must be the only one.
func parseDocument(file string, data []byte) (ast.Node, *FieldError) {
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxError(file, err)
	}
	var roots []ast.Node
	for _, d := range parsed.Docs {
		if d.Body != nil && d.Body.Type() != ast.CommentType {
			roots = append(roots, d.Body)
		}
	}
	switch len(roots) {
	case 1:
		return roots[0], nil
	case 0:
		return nil, &FieldError{File: file, Line: 1, Field: wholeDocument, Message: "is empty"}
	default:
		line := roots[1].GetToken().Position.Line
		return nil, &FieldError{File: file, Line: line, Field: wholeDocument, Message: "a second document begins here; a file may contain only one"}
	}
}

// syntaxError converts an error of the YAML parser to a FieldError.
func syntaxError(file string, err error) *FieldError {
	fieldErr := &FieldError{File: file, Line: 1, Field: wholeDocument, Message: "is not YAML: " + err.Error()}
	var ye yaml.Error
	if !errors.As(err, &ye) {
		return fieldErr
	}
	fieldErr.Message = "is not YAML: " + ye.GetMessage()
	if t := ye.GetToken(); t != nil {
		fieldErr.Line = t.Position.Line
	}
	return fieldErr
}
