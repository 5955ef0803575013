package mechanism_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/pages"
	"github.com/hibiscusspur/hibiscusspur/policy/mechanism"
)

func TestParse(t *testing.T) {
	s, err := mechanism.Parse([]string{"turns", " hedges", "turns"})
	assert.NilError(t, err)
	assert.Assert(t, s.Has(mechanism.Stagger) && s.Has(mechanism.Hedges) && !s.Has(mechanism.Forecast))
	assert.Equal(t, s.Len(), 2)
	assert.Equal(t, s.String(), "turns, hedges")
	_, err = mechanism.Parse([]string{"turns", "luck"})
	assert.ErrorContains(t, err, `unknown mechanism "luck"`)
	none, err := mechanism.Parse(nil)
	assert.NilError(t, err)
	assert.Equal(t, none.Len(), 0)
}

// TestConfigPageListsMechanisms checks that docs/CONFIG.md lists exactly the mechanisms of the package, in their order.
func TestConfigPageListsMechanisms(t *testing.T) {
	var listed, want []string
	for _, row := range pages.Rows(t, "CONFIG.md", "Mechanisms that can be switched off") {
		assert.Assert(t, len(row) == 2 && row[1] != "", "%v", row)
		listed = append(listed, row[0])
	}
	for _, m := range mechanism.All() {
		want = append(want, m.String())
	}
	assert.DeepEqual(t, listed, want)
}
