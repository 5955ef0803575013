package customershare_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/policy/customershare"
)

func heldBy(customer string) customershare.Key {
	return customershare.Key{Pool: "llm", Customer: customer}
}

// TestLargest guards against messages that grow with the number of customers.
func TestLargest(t *testing.T) {
	f := customershare.Figures{}
	for i := range 340 {
		f[heldBy(fmt.Sprint(i))] = i
		f[customershare.Key{Pool: "llm", Customer: fmt.Sprint(i), Waiting: true}] = i
	}
	got := f.Largest()
	assert.Equal(t, len(got), 2*customershare.MaxFigures)
	assert.Equal(t, got[0], customershare.Figure{Key: heldBy("339"), Tokens: 339})
	assert.Assert(t, !got[customershare.MaxFigures-1].Waiting && got[customershare.MaxFigures].Waiting)
}

// TestReporter guards against a message for each request, and against a change that is never reported.
func TestReporter(t *testing.T) {
	var r customershare.Reporter
	waits := customershare.Key{Pool: "llm", Customer: "a", Waiting: true, Priority: 1}
	for _, c := range []struct {
		name         string
		key          customershare.Key
		tokens, want int
	}{
		{"first", heldBy("a"), 8000, 1},
		{"a little more", heldBy("a"), 8900, 0},
		{"enough in the sum", heldBy("a"), 9000, 1},
		{"less", heldBy("a"), 7000, 1},
		{"ended", heldBy("a"), 0, 1},
		{"still none", heldBy("a"), 0, 0},
		{"begins to wait", waits, 6000, 1},
		{"one more waits", waits, 8000, 0},
		{"doubled", waits, 12_000, 1},
		{"no longer waits", waits, 0, 1},
	} {
		now := customershare.Figures{c.key: c.tokens}
		got := r.Changes(now)
		assert.Equal(t, len(got), c.want, "%s: %v", c.name, got)
		if len(got) > 0 {
			assert.Equal(t, got[0], customershare.Figure{Key: c.key, Tokens: c.tokens}, c.name)
		}
	}
	many := customershare.Figures{}
	for i := range 40 {
		many[heldBy(fmt.Sprint(i))] = 1000
	}
	assert.Equal(t, len(r.Changes(many)), customershare.MaxFigures)
	assert.Equal(t, len(r.Changes(many)), 40-customershare.MaxFigures, "the rest with the next message")
}

func TestTagsDiffer(t *testing.T) {
	assert.Assert(t, customershare.TagOf("a", "b") != customershare.TagOf("b", "a"))
	assert.Assert(t, customershare.TagOf("ab", "c") != customershare.TagOf("a", "bc"))
}
