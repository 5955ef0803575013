package config

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// position is the start of a token in a file.
type position struct{ line, column int }

// scanner checks the structure of a document against the type that it is decoded into
// and records the position of each field.
type scanner struct {
	file  string
	errs  Errors
	lines map[string]int
	paths map[position]string
}

func newScanner(file string) *scanner {
	return &scanner{file: file, lines: make(map[string]int), paths: make(map[position]string)}
}

func (s *scanner) fail(line int, field, format string, args ...any) {
	if field == "" {
		field = wholeDocument
	}
	s.errs = append(s.errs, &FieldError{File: s.file, Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (s *scanner) sortedErrors() Errors {
	sort.SliceStable(s.errs, func(i, j int) bool { return s.errs[i].Line < s.errs[j].Line })
	return s.errs
}

// lineOf returns the line of the field, or of its nearest parent in the document.
func (s *scanner) lineOf(field string) int {
	for field != "" {
		if line, ok := s.lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

// decodeError converts an error of the decoder to a FieldError, by its position.
func (s *scanner) decodeError(err error) *FieldError {
	fieldErr := &FieldError{File: s.file, Line: 1, Field: wholeDocument, Message: err.Error()}
	var ye yaml.Error
	if !errors.As(err, &ye) {
		return fieldErr
	}
	fieldErr.Message = ye.GetMessage()
	if t := ye.GetToken(); t != nil {
		fieldErr.Line = t.Position.Line
		if path, ok := s.paths[positionOf(t)]; ok {
			fieldErr.Field = path
		}
	}
	return fieldErr
}

func (s *scanner) recordPosition(path string, t *token.Token) {
	if _, known := s.lines[path]; !known {
		s.lines[path] = t.Position.Line
	}
	s.paths[positionOf(t)] = path
}

// checkNode checks the node n at path against the type t.
func (s *scanner) checkNode(n ast.Node, t reflect.Type, path string) {
	n = unwrap(n)
	if n == nil || n.Type() == ast.AliasType || n.Type() == ast.NullType {
		return // the decoder checks aliases; null keeps the default
	}
	s.recordPosition(path, n.GetToken())
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == durationType:
		s.checkDuration(n, path)
	case t.Kind() == reflect.Struct && n.Type() == ast.MappingType:
		s.checkMapping(n.(*ast.MappingNode), t, path)
	case reflect.PointerTo(t).Implements(textUnmarshalerType):
		s.checkText(n, t, path)
	case t.Kind() == reflect.Map && n.Type() == ast.MappingType:
		s.checkMapping(n.(*ast.MappingNode), t, path)
	case (t.Kind() == reflect.Slice || t.Kind() == reflect.Array) && n.Type() == ast.SequenceType:
		for i, e := range n.(*ast.SequenceNode).Values {
			s.checkNode(e, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	default:
		if want := mismatch(t, n); want != "" {
			s.fail(n.GetToken().Position.Line, path, "must be %s, is %s", want, kindOf(n))
		}
	}
}

func (s *scanner) checkMapping(m *ast.MappingNode, t reflect.Type, path string) {
	seen := make(map[string]int)
	for _, v := range m.Values {
		if v.Key.Type() == ast.MergeKeyType {
			s.checkNode(v.Value, t, path)
			continue
		}
		s.checkEntry(v, t, path, seen)
	}
}

func (s *scanner) checkEntry(v *ast.MappingValueNode, t reflect.Type, path string, seen map[string]int) {
	at := v.Key.GetToken()
	name := at.Value
	field := strings.TrimPrefix(path+"."+name, ".")
	if line, twice := seen[name]; twice {
		s.fail(at.Position.Line, field, "stands twice; first on line %d", line)
		return
	}
	seen[name] = at.Position.Line
	s.recordPosition(field, at)
	if t.Kind() == reflect.Map {
		s.checkNode(v.Value, t.Elem(), field)
		return
	}
	ft, known := fieldsOf(t)[name]
	if !known {
		s.fail(at.Position.Line, field, "unknown key")
		return
	}
	s.checkNode(v.Value, ft, field)
}

func (s *scanner) checkDuration(n ast.Node, path string) {
	text, ok := scalarText(n)
	if ok && n.Type() == ast.StringType {
		if _, err := time.ParseDuration(text); err == nil {
			return
		}
	}
	s.fail(n.GetToken().Position.Line, path, "must be a duration with a unit such as 800ms, 2s or 10m, is %q", n.String())
}

func (s *scanner) checkText(n ast.Node, t reflect.Type, path string) {
	text, ok := scalarText(n)
	if !ok {
		s.fail(n.GetToken().Position.Line, path, "must be text, is %s", kindOf(n))
		return
	}
	u := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(text)); err != nil {
		s.fail(n.GetToken().Position.Line, path, "%v", err)
	}
}

// fieldsOf returns the types of the fields of a struct by their YAML names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for f := range t.Fields() {
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "-" || !f.IsExported() {
			continue
		}
		if strings.Contains(options, "inline") {
			inner := f.Type
			if inner.Kind() == reflect.Pointer {
				inner = inner.Elem()
			}
			for n, ft := range fieldsOf(inner) {
				fields[n] = ft
			}
			continue
		}
		if name == "" {
			name = strings.ToLower(f.Name)
		}
		fields[name] = f.Type
	}
	return fields
}

// mismatch returns the description of the expected type if n cannot be decoded into
// t, or "".
func mismatch(t reflect.Type, n ast.Node) string {
	kind := n.Type()
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "a mapping"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.String:
		return expectedUnless(kind == ast.StringType || kind == ast.LiteralType, "text (put it in quotes)")
	case reflect.Bool:
		return expectedUnless(kind == ast.BoolType, "true or false")
	case reflect.Float32, reflect.Float64:
		return expectedUnless(isNumber(kind), "a number")
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return expectedUnless(kind == ast.IntegerType, "a whole number")
	default:
		return ""
	}
}

func expectedUnless(ok bool, want string) string {
	if ok {
		return ""
	}
	return want
}

func isNumber(kind ast.NodeType) bool {
	return kind == ast.IntegerType || kind == ast.FloatType || kind == ast.InfinityType || kind == ast.NanType
}

func kindOf(n ast.Node) string {
	switch n.Type() {
	case ast.MappingType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.StringType, ast.LiteralType:
		return "text"
	case ast.BoolType:
		return "true or false"
	default:
		return n.GetToken().Value
	}
}

func scalarText(n ast.Node) (string, bool) {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value, true
	case *ast.LiteralNode:
		return v.Value.Value, true
	case *ast.MappingNode, *ast.SequenceNode:
		return "", false
	default:
		return n.GetToken().Value, true
	}
}

func unwrap(n ast.Node) ast.Node {
	for {
		switch v := n.(type) {
		case *ast.AnchorNode:
			n = v.Value
		case *ast.TagNode:
			n = v.Value
		default:
			return n
		}
	}
}

func positionOf(t *token.Token) position {
	return position{t.Position.Line, t.Position.Column}
}
