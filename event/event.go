// Package event defines the numbered kinds of log lines. docs/EVENTS.md documents
// them; a test checks that it matches the code.
package event

import (
	"os"
	"slices"
	"strings"

	"github.com/phuslu/log"
)

// Event is a numbered kind of log line.
type Event struct {
	ID    int
	Level log.Level
	Text  string
}

// Levels are the log levels accepted in settings, lowest first.
var Levels = []string{"debug", "info", "warn", "error"}

// CheckLevel calls fail if the value of a setting is not one of Levels.
func CheckLevel(field, level string, fail func(field, format string, args ...any)) {
	if !slices.Contains(Levels, level) {
		fail(field, "must be one of %s, got %q", strings.Join(Levels, ", "), level)
	}
}

// New returns a logger that writes JSON lines to standard error, each with the names
// of the program and the VM.
func New(program, vm string, level log.Level) *log.Logger {
	return &log.Logger{
		Level:   level,
		Context: log.NewContext(nil).Str("program", program).Str("vm", vm).Value(),
		Writer:  &log.IOWriter{Writer: os.Stderr},
	}
}

// Log begins a line for e. The caller adds fields and calls Msg(""); Emit writes a line without fields.
func (e Event) Log(l *log.Logger) Line {
	return Line{l.WithLevel(e.Level).Int("event", e.ID).Str("text", e.Text)}
}

// Emit writes a line for e without further fields.
func (e Event) Emit(l *log.Logger) {
	e.Log(l).Msg("")
}
