package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/outcome"
)

// TestPrefillLedger guards against prefills that are counted twice or not at all: of all prefills of a request one is
// useful at most, and each other one has one cause.
func TestPrefillLedger(t *testing.T) {
	for _, c := range []struct {
		name   string
		steps  func(l *prefillLedger)
		tokens int
		causes []string
	}{
		{"answered", func(l *prefillLedger) {
			l.prefilled(100)
			l.attemptEnded("", true, false)
		}, 0, nil},
		{"the deadline passes before the first event", func(l *prefillLedger) {
			l.prefilled(100)
			l.attemptEnded(outcome.DeadlineExceeded, false, false)
		}, 100, []string{"deadline"}},
		{"the client disconnects after an event", func(l *prefillLedger) {
			l.prefilled(100)
			l.attemptEnded(outcome.CallerGone, true, false)
		}, 0, nil},
		{"lost before the first event, then answered", func(l *prefillLedger) {
			l.prefilled(100)
			l.attemptEnded(outcome.EngineLost, false, false)
			l.prefilled(40)
			l.attemptEnded("", true, false)
		}, 100, []string{"engine_lost"}},
		{"lost after an event, prefilled again", func(l *prefillLedger) {
			l.prefilled(100)
			l.attemptEnded(outcome.EngineLost, true, false)
			l.prefilled(40)
			l.attemptEnded("", true, false)
		}, 40, []string{"engine_lost"}},
		{"prefilled again in vain", func(l *prefillLedger) {
			l.prefilled(100)
			l.attemptEnded(outcome.EngineLost, true, false)
			l.prefilled(40)
			l.attemptEnded(outcome.DeadlineExceeded, false, false)
		}, 40, []string{"engine_lost"}},
		{"kept for the next attempt", func(l *prefillLedger) {
			l.prefilled(100)
			l.attemptEnded(outcome.ServerCooldown, false, true)
			l.attemptEnded("", true, false)
		}, 0, nil},
		{"kept, and prefilled again", func(l *prefillLedger) {
			l.prefilled(100)
			l.attemptEnded(outcome.ServerCooldown, false, true)
			l.prefilled(100)
			l.attemptEnded("", true, false)
		}, 100, []string{"another_attempt"}},
		{"not fetched, the decode engine prefills", func(l *prefillLedger) {
			l.prefilled(100)
			l.discard(wasteNoMemory)
			l.prefilled(90)
			l.attemptEnded("", true, false)
		}, 100, []string{"no_memory"}},
		{"two causes", func(l *prefillLedger) {
			l.prefilled(100)
			l.attemptEnded(outcome.NoDecodeSlot, false, false)
			l.prefilled(50)
			l.attemptEnded(outcome.DeadlineExceeded, false, false)
		}, 150, []string{"deadline", "no_memory"}},
	} {
		var l prefillLedger
		c.steps(&l)
		tokens, causes := l.total()
		assert.Equal(t, tokens, c.tokens, c.name)
		assert.DeepEqual(t, causes, c.causes)
		assert.Equal(t, l.open, 0, c.name)
	}
}
