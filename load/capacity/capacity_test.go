package capacity

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscusspur/hibiscusspur/wire"
)

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name string
		x, y []float64
		want Fit
	}{
		{"line", []float64{1, 2, 3, 4}, []float64{5, 7, 9, 11}, Fit{2, 3, 0}},
		{"about a line", []float64{0, 0, 2, 2}, []float64{-1, 1, 3, 5}, Fit{2, 0, math.Sqrt2}},
		{"one size", []float64{3, 3}, []float64{1, 2}, Fit{0, 1.5, 0}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, NewFit(c.x, c.y), c.want) })
	}
}

func TestSectionKeepsOneSeriesForEachFigure(t *testing.T) {
	var s Section
	for x := 1.0; x <= 4; x++ {
		s.add("a", "B", "links", x, 10*x)
		s.add("b", "B", "links", x, 1)
	}
	assert.Equal(t, len(s.Series), 2)
	assert.Equal(t, s.Series[0].Fit.Slope, 10.0)
	assert.Equal(t, s.Series[1].Fit, Fit{Intercept: 1})
}

func TestParseStat(t *testing.T) {
	cpu, err := parseStat([]byte("17 (a name) of ) it) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20"))
	assert.NilError(t, err)
	assert.Equal(t, cpu, 3*time.Second)
	_, err = parseStat([]byte("17 (x) S 1"))
	assert.ErrorContains(t, err, "short")
}

func TestStatusBytes(t *testing.T) {
	status := []byte("Name:\tx\nVmRSS:\t  2048 kB\nRssAnon:\t    512 kB\n")
	assert.Equal(t, statusBytes(status, "VmRSS:"), 2048.0*1024)
	assert.Equal(t, statusBytes(status, "RssAnon:"), 512.0*1024)
	assert.Equal(t, statusBytes(status, "VmSwap:"), 0.0)
}

func TestKindOfFrame(t *testing.T) {
	assert.Equal(t, kind("entry", (&wire.EntryFrame{Body: &wire.EntryFrame_Reserve{}}).GetBody()), "entry reserve")
	assert.Equal(t, kind("sidecar", (&wire.SidecarFrame{Body: &wire.SidecarFrame_Chunk{}}).GetBody()), "sidecar chunk")
}

func TestOnlyNamedMeasurementsRun(t *testing.T) {
	assert.Assert(t, Options{}.wants("state"))
	o := Options{Only: []string{"state"}}
	assert.Assert(t, o.wants("state") && !o.wants("whole"))
}

func TestIdleMeasurementsRunTogether(t *testing.T) {
	all := []measurement{{name: "a"}, {name: "b", idle: true}, {name: "x"}, {name: "c", idle: true}, {name: "d"}, {name: "e"}}
	var got []string
	for _, stage := range stages(all, func(name string) bool { return name != "x" }) {
		var names string
		for _, m := range stage {
			names += m.name
		}
		got = append(got, names)
	}
	assert.DeepEqual(t, got, []string{"a", "bc", "d", "e"})
}
