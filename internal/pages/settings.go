package pages

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/config"
)

// Setting is one setting as defined by the code.
type Setting struct {
	Path, Type, Default string
	value               reflect.Value
}

// rangeForm matches a range with two bounds, such as "1 to 10".
var rangeForm = regexp.MustCompile(`^(.+) to ([^ ]+)$`)

// CheckSettings compares the table under a heading of docs/CONFIG.md with the settings and their defaults:
// names, types and defaults match, settings marked "required" are required, and ranges are enforced.
// newDefaults returns a pointer to a new value with the defaults.
func CheckSettings(t *testing.T, heading string, newDefaults func() config.Validator) {
	t.Helper()
	rows := Rows(t, "CONFIG.md", heading)
	settings := settingsOf(reflect.ValueOf(newDefaults()).Elem(), "")
	var documented, want [][]string
	for _, s := range settings {
		want = append(want, []string{s.Path, s.Type, s.Default})
	}
	for _, row := range rows {
		assert.Equal(t, len(row), 5, "%v", row)
		assert.Assert(t, row[4] != "", "%s has no meaning", row[0])
		documented = append(documented, withoutRequired(t, row, newDefaults()))
	}
	assert.DeepEqual(t, documented, want)
	for i, row := range rows {
		checkRange(t, row[0], row[3], i, newDefaults)
	}
}

// withoutRequired returns the row's name, type and default. For a default of "required" it checks that the
// setting can't be left out, and returns "none" in its place.
func withoutRequired(t *testing.T, row []string, defaults config.Validator) []string {
	t.Helper()
	if row[2] != "required" {
		return row[:3]
	}
	assert.Check(t, rejects(defaults, row[0]), "%s is documented as required, but may be left out", row[0])
	return []string{row[0], row[1], "none"}
}

// checkRange checks that the settings' Check enforces the documented range. A lower bound that depends on
// another setting is not tested.
func checkRange(t *testing.T, path, text string, index int, newDefaults func() config.Validator) {
	t.Helper()
	m := rangeForm.FindStringSubmatch(text)
	if m == nil {
		return
	}
	for i, end := range m[1:] {
		n, ok := number(end)
		if !ok {
			assert.Check(t, i == 0, "%s: upper bound %q is not a number", path, end)
			continue
		}
		outside := n + int64(2*i-1)
		for value, want := range map[int64]bool{n: false, outside: true} {
			v := newDefaults()
			settingsOf(reflect.ValueOf(v).Elem(), "")[index].value.SetInt(value)
			assert.Check(t, rejects(v, path) == want, "%s = %d: fault is %v", path, value, !want)
		}
	}
}

func number(s string) (int64, bool) {
	if n, err := strconv.ParseInt(s, 10, 64); err == nil {
		return n, true
	}
	d, err := time.ParseDuration(s)
	return int64(d), err == nil
}

func rejects(v config.Validator, path string) bool {
	found := false
	v.Check(func(field, _ string, _ ...any) { found = found || field == path })
	return found
}

// settingsOf lists the leaf fields of a settings struct by their YAML paths.
func settingsOf(v reflect.Value, prefix string) []Setting {
	var out []Setting
	for f, field := range v.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if field.Kind() == reflect.Struct {
			out = append(out, settingsOf(field, prefix+name+".")...)
			continue
		}
		out = append(out, Setting{Path: prefix + name, Type: typeName(f.Type), Default: defaultText(field), value: field})
	}
	return out
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "duration"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.String:
		return "list of text"
	case t.Kind() == reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

func defaultText(v reflect.Value) string {
	if v.Kind() != reflect.Bool && v.IsZero() {
		return "none"
	}
	return fmt.Sprint(v.Interface())
}
