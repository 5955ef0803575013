package metrics_test

import (
	"go/token"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/internal/pages"
	"github.com/hibiscusspur/hibiscusspur/metrics"
)

func TestPageEqualsCatalogue(t *testing.T) {
	var listed, want [][]string
	for _, row := range pages.Rows(t, "METRICS.md", "Catalogue") {
		assert.Equal(t, len(row), 5, "%v", row)
		assert.Assert(t, row[2] != "" && row[3] != "" && row[4] != "", "%v", row)
		listed = append(listed, row[:2])
	}
	for _, m := range metrics.All() {
		want = append(want, []string{m.Name, string(m.Type)})
	}
	assert.DeepEqual(t, listed, want)
}

// TestNamesAreConstants guards against metrics whose names are not declared in this package.
func TestNamesAreConstants(t *testing.T) {
	for _, call := range pages.CallsWithout(t, "metrics", "Counter", "Gauge", "GaugeFunc", "Timer") {
		t.Error("name of a metric is not a constant of package metrics:", call)
	}
}

// TestEveryMetricIsUsed guards against declared metrics that are never set or not in the catalogue.
func TestEveryMetricIsUsed(t *testing.T) {
	used := pages.Uses(t, "metrics")
	names := pages.Declared(t, "names.go", token.CONST)
	for _, name := range names {
		assert.Check(t, used[name], "%s is never set", name)
	}
	listed := slices.DeleteFunc(metrics.All(), func(m metrics.Metric) bool { return strings.HasSuffix(m.Name, ".") })
	assert.Equal(t, len(names), len(listed), "All must list every metric")
}
