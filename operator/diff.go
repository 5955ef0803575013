package operator

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
)

// FieldChange is the change of one field; an absent value is empty.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

type fieldValue struct{ field, value string }

// diffBodies compares two YAML records field by field; an empty record has no fields.
// List items are matched by their name.
func diffBodies(before, after string) []FieldChange {
	oldFields, newFields := flatten(before), flatten(after)
	oldValues, newValues := valuesOf(oldFields), valuesOf(newFields)
	var changes []FieldChange
	for _, n := range newFields {
		if old, ok := oldValues[n.field]; !ok || old != n.value {
			changes = append(changes, FieldChange{Field: n.field, Old: old, New: n.value})
		}
	}
	for _, o := range oldFields {
		if _, ok := newValues[o.field]; !ok {
			changes = append(changes, FieldChange{Field: o.field, Old: o.value})
		}
	}
	return changes
}

func valuesOf(fields []fieldValue) map[string]string {
	m := make(map[string]string, len(fields))
	for _, f := range fields {
		m[f.field] = f.value
	}
	return m
}

// flatten returns the fields of a record in order. A body that is not YAML becomes one field.
func flatten(body string) []fieldValue {
	if body == "" {
		return nil
	}
	var v any
	if err := yaml.UnmarshalWithOptions([]byte(body), &v, yaml.UseOrderedMap()); err != nil {
		return []fieldValue{{"document", body}}
	}
	return appendFields(nil, "", v)
}

func appendFields(fields []fieldValue, path string, v any) []fieldValue {
	switch v := v.(type) {
	case yaml.MapSlice:
		for _, item := range v {
			field := strings.TrimPrefix(path+"."+fmt.Sprint(item.Key), ".")
			fields = appendFields(fields, field, item.Value)
		}
		return fields
	case []any:
		return appendList(fields, path, v)
	default:
		return append(fields, fieldValue{path, fmt.Sprint(v)})
	}
}

// appendList appends the fields of each mapping item, and all plain values as one field.
func appendList(fields []fieldValue, path string, list []any) []fieldValue {
	var plain []string
	for i, v := range list {
		m, ok := v.(yaml.MapSlice)
		if !ok {
			plain = append(plain, fmt.Sprint(v))
			continue
		}
		fields = appendFields(fields, fmt.Sprintf("%s[%s]", path, itemName(m, i)), m)
	}
	if len(plain) > 0 {
		fields = append(fields, fieldValue{path, strings.Join(plain, ", ")})
	}
	return fields
}

func itemName(m yaml.MapSlice, i int) string {
	for _, item := range m {
		if item.Key == "name" {
			return fmt.Sprint(item.Value)
		}
	}
	return fmt.Sprint(i)
}
