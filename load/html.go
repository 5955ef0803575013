package load

import (
	"html/template"
	"io"
)

var reportPage = template.Must(template.New("report").Parse(pageHead + `
<h1>{{.Report.Name}}, load {{printf "%.0f" .Percent}} %, seed {{.Report.Seed}}</h1>
<p>Window of {{.Report.Window}} s. Generator behind its schedule: {{printf "%.1f" .Report.Late.P50}} ms in half of all cases,
{{printf "%.1f" .Report.Late.P99}} ms in 99 of 100, {{printf "%.1f" .Report.Late.Max}} ms at most.</p>
<table><tr><th>class<th>offered/s<th>goodput/s<th>good %<th>TTFT p50 ms<th>p95<th>p99<th>TBT p50 ms<th>p95<th>p99</tr>
{{range .Report.Classes}}<tr><td>{{.Class}}<td>{{printf "%.2f" .OfferedRate}}<td>{{printf "%.2f" .Goodput}}<td>{{printf "%.3f" .GoodShare}}
<td>{{printf "%.0f" .TTFT.P50}}<td>{{printf "%.0f" .TTFT.P95}}<td>{{printf "%.0f" .TTFT.P99}}
<td>{{printf "%.0f" .TBT.P50}}<td>{{printf "%.0f" .TBT.P95}}<td>{{printf "%.0f" .TBT.P99}}</tr>{{end}}</table>
<h2>Not good, by reason</h2>
<table><tr><th>class<th>reason<th>requests</tr>
{{range $c := .Report.Classes}}{{range $r, $n := $c.Reasons}}<tr><td>{{$c.Class}}<td>{{$r}}<td>{{$n}}</tr>{{end}}{{end}}</table>
<h2>Prefill</h2>
<table><tr><th>model<th>tokens done<th>cached<th>wasted<th>wasted part</tr>
{{range .Report.Prefill}}<tr><td>{{.Group}}<td>{{.Done}}<td>{{.Cached}}<td>{{.Wasted}}<td>{{printf "%.4f" .Share}}</tr>{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
</body></html>
`))

const pageHead = `<!doctype html><html><head><meta charset="utf-8"><title>hsload</title><style>
body{font:14px sans-serif;max-width:70em;margin:2em auto}table{border-collapse:collapse}
td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}td:first-child,th:first-child{text-align:left}
svg text{font:11px sans-serif}</style></head><body>
`

// WriteHTML writes the report as one self-contained page.
func (r *Report) WriteHTML(out io.Writer) error {
	var plots []Plot
	for _, c := range r.Classes {
		plots = append(plots, secondsPlot(c.Class, r.Seconds[c.Class]))
	}
	return reportPage.Execute(out, struct {
		Report  *Report
		Percent float64
		Plots   []Plot
	}{r, 100 * r.Load, plots})
}

func secondsPlot(class string, s []Second) Plot {
	offered, good := Line{Name: "offered"}, Line{Name: "good"}
	for i, x := range s {
		offered.Points = append(offered.Points, Point{float64(i), float64(x.Offered)})
		good.Points = append(good.Points, Point{float64(i), float64(x.Good)})
	}
	return Plot{Title: class, X: "second in which the request was due", Y: "requests", Lines: []Line{offered, good}}
}
