package event_test

import (
	"go/token"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/event"
	"github.com/hibiscusspur/hibiscusspur/internal/pages"
)

func TestPageEqualsCatalogue(t *testing.T) {
	var listed, want [][]string
	for _, row := range pages.Rows(t, "EVENTS.md", "Catalogue") {
		assert.Equal(t, len(row), 5, "%v", row)
		assert.Assert(t, row[3] != "" && row[4] != "", "%v: when and what to do", row)
		listed = append(listed, row[:3])
	}
	seen := make(map[int]bool)
	for _, e := range event.All() {
		assert.Assert(t, !seen[e.ID], "number %d is used twice", e.ID)
		seen[e.ID] = true
		want = append(want, []string{strconv.Itoa(e.ID), e.Level.String(), e.Text})
	}
	assert.DeepEqual(t, listed, want)
}

// TestEveryEventIsUsed guards against events of the catalogue that the code never logs.
func TestEveryEventIsUsed(t *testing.T) {
	used := pages.Uses(t, "event")
	declared := pages.Declared(t, "catalogue.go", token.VAR)
	for _, name := range declared {
		assert.Check(t, used[name], "%s is never logged", name)
	}
	assert.Equal(t, len(declared), len(event.All()), "All must list every event")
}
