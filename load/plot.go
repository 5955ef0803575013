package load

import (
	"fmt"
	"html/template"
	"strings"
)

// Plot is a line chart, drawn as inline SVG.
type Plot struct {
	Title, X, Y string
	Lines       []Line
}

// Line is one line of a plot.
type Line struct {
	Name   string
	Points []Point
}

// Point is one point of a line.
type Point struct{ X, Y float64 }

// The drawing area in pixels.
const (
	plotWidth, plotHeight   = 640.0, 240.0
	plotLeft, plotBottom    = 50.0, 30.0
	plotTop, plotLegend     = 10.0, 150.0
	plotTicks               = 5
	legendLine, legendInset = 14.0, 10.0
)

var plotColours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#555", "#e69f00", "#56b4e9", "#000"}

// SVG returns the drawing.
func (p Plot) SVG() template.HTML {
	var b strings.Builder
	maxX, maxY := p.bounds()
	x := func(v float64) float64 { return plotLeft + v/maxX*(plotWidth-plotLeft-plotLegend) }
	y := func(v float64) float64 { return plotHeight - plotBottom - v/maxY*(plotHeight-plotBottom-plotTop) }
	fmt.Fprintf(&b, `<svg width="%.0f" height="%.0f" role="img">`, plotWidth, plotHeight)
	for i := 0; i <= plotTicks; i++ {
		part := float64(i) / plotTicks
		fmt.Fprintf(&b, `<line x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f" stroke="#ddd"/>`, x(0), x(maxX), y(maxY*part), y(maxY*part))
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" text-anchor="end">%.3g</text>`, x(0)-4, y(maxY*part)+4, maxY*part)
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" text-anchor="middle">%.3g</text>`, x(maxX*part), plotHeight-plotBottom+14, maxX*part)
	}
	fmt.Fprintf(&b, `<text x="%.1f" y="%.1f">%s by %s</text>`, plotLeft, plotHeight-2, template.HTMLEscapeString(p.Y), template.HTMLEscapeString(p.X))
	for i, l := range p.Lines {
		colour := plotColours[i%len(plotColours)]
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`, colour, l.path(x, y))
		at := plotTop + legendLine*float64(i+1)
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f" fill="%s">%s</text>`, plotWidth-plotLegend+legendInset, at, colour, template.HTMLEscapeString(l.Name))
	}
	b.WriteString("</svg>")
	return template.HTML(b.String())
}

func (l Line) path(x, y func(float64) float64) string {
	var parts []string
	for _, pt := range l.Points {
		parts = append(parts, fmt.Sprintf("%.1f,%.1f", x(pt.X), y(pt.Y)))
	}
	return strings.Join(parts, " ")
}

func (p Plot) bounds() (maxX, maxY float64) {
	for _, l := range p.Lines {
		for _, pt := range l.Points {
			maxX, maxY = max(maxX, pt.X), max(maxY, pt.Y)
		}
	}
	if maxX == 0 {
		maxX = 1
	}
	if maxY == 0 {
		maxY = 1
	}
	return maxX, maxY
}
