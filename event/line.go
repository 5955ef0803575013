package event

import (
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/phuslu/log"

	"github.com/hibiscusspur/hibiscusspur/bounded"
)

// Line is a log line that is being written. No value of a field makes it fail.
type Line struct{ entry *log.Entry }

// Str adds a text.
func (l Line) Str(key, value string) Line { return Line{l.entry.Str(key, printable(value))} }

// Strs adds a list of texts.
func (l Line) Strs(key string, values []string) Line {
	if slices.ContainsFunc(values, func(s string) bool { return printable(s) != s }) {
		values = slices.Clone(values)
		for i, s := range values {
			values[i] = printable(s)
		}
	}
	return Line{l.entry.Strs(key, values)}
}

// Int adds a whole number.
func (l Line) Int(key string, value int) Line { return Line{l.entry.Int(key, value)} }

// Int64 adds a whole number.
func (l Line) Int64(key string, value int64) Line { return Line{l.entry.Int64(key, value)} }

// Uint32 adds a whole number.
func (l Line) Uint32(key string, value uint32) Line { return Line{l.entry.Uint32(key, value)} }

// Uint64 adds a whole number.
func (l Line) Uint64(key string, value uint64) Line { return Line{l.entry.Uint64(key, value)} }

// Ints adds a list of whole numbers.
func (l Line) Ints(key string, values []int) Line { return Line{l.entry.Ints(key, values)} }

// Float64 adds a number.
func (l Line) Float64(key string, value float64) Line { return Line{l.entry.Float64(key, value)} }

// Bool adds a truth value.
func (l Line) Bool(key string, value bool) Line { return Line{l.entry.Bool(key, value)} }

// Dur adds a duration, in milliseconds. The logger panics at the least one that a time.Duration holds.
func (l Line) Dur(key string, value time.Duration) Line {
	return Line{l.entry.Dur(key, min(max(value, -bounded.MaxDuration), bounded.MaxDuration))}
}

// Err adds an error.
func (l Line) Err(err error) Line {
	if err == nil {
		return Line{l.entry.Err(nil)}
	}
	return l.Str("error", err.Error())
}

// Msg ends the line and writes it.
func (l Line) Msg(text string) { l.entry.Msg(text) }

// printable replaces control characters, which the logger writes into its JSON as they are.
func printable(s string) string {
	if strings.IndexFunc(s, spoilsJSON) < 0 {
		return s
	}
	return strings.Map(func(r rune) rune {
		if spoilsJSON(r) {
			return unicode.ReplacementChar
		}
		return r
	}, s)
}

func spoilsJSON(r rune) bool { return r < ' ' && r != '\n' && r != '\r' && r != '\t' }
