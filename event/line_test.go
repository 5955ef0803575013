package event_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/event"
)

// TestNoValueSpoilsALine guards against a log line that panics, and with it the request whose end it reports, or that
// isn't JSON.
func TestNoValueSpoilsALine(t *testing.T) {
	for _, c := range []struct {
		name string
		add  func(l event.Line) event.Line
	}{
		{"least duration", func(l event.Line) event.Line { return l.Dur("f", math.MinInt64) }},
		{"greatest duration", func(l event.Line) event.Line { return l.Dur("f", math.MaxInt64) }},
		{"negative duration", func(l event.Line) event.Line { return l.Dur("f", -time.Nanosecond) }},
		{"least number", func(l event.Line) event.Line { return l.Int("f", math.MinInt64).Int64("g", math.MinInt64) }},
		{"no number", func(l event.Line) event.Line { return l.Float64("f", math.NaN()) }},
		{"infinite", func(l event.Line) event.Line { return l.Float64("f", math.Inf(1)).Float64("g", math.Inf(-1)) }},
		{"smallest", func(l event.Line) event.Line { return l.Float64("f", math.SmallestNonzeroFloat64) }},
		{"control characters", func(l event.Line) event.Line { return l.Str("f", "\x00\x1f\"\\\n\u2028") }},
		{"no UTF-8", func(l event.Line) event.Line { return l.Str("f", "\xff\xc0a").Strs("g", []string{"\xfe"}) }},
		{"long text", func(l event.Line) event.Line { return l.Str("f", strings.Repeat("\x01", 1<<17)) }},
		{"no list", func(l event.Line) event.Line { return l.Strs("f", nil) }},
		{"no error", func(l event.Line) event.Line { return l.Err(nil) }},
		{"error with a line break", func(l event.Line) event.Line { return l.Err(errors.New("a\nb\xff\"")) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			logger := &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: &out}}
			c.add(event.RequestAnswered.Log(logger)).Str("last", "x").Msg("")
			line := out.String()
			assert.Equal(t, strings.Count(line, "\n"), 1)
			var fields map[string]any
			assert.NilError(t, json.Unmarshal([]byte(line), &fields), "%.200q", line)
			assert.Equal(t, fields["last"], "x")
		})
	}
}
