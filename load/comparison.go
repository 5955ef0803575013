package load

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Comparison holds the reports of several variants at several loads and seeds.
type Comparison struct {
	// Variants are in table order; the first is compared with the Baselines.
	Variants  []string  `json:"variants"`
	Baselines []string  `json:"baselines"`
	Loads     []float64 `json:"loads"`
	Seeds     []uint64  `json:"seeds"`
	Reports   []*Report `json:"reports"`
}

// Spread is the mean and the range of a measure over the seeds.
type Spread struct{ Mean, Low, High float64 }

// String returns the mean and the bounds, or a dash when there is no value.
func (s Spread) String() string {
	if !s.hasValue() {
		return "-"
	}
	return fmt.Sprintf("%.3f [%.3f, %.3f]", s.Mean, s.Low, s.High)
}

// hasValue reports whether the spread has a value.
func (s Spread) hasValue() bool { return !math.IsNaN(s.Mean) }

func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{math.NaN(), math.NaN(), math.NaN()}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return Spread{Mean: sum / float64(len(values)), Low: slices.Min(values), High: slices.Max(values)}
}

// Measure extracts one figure from a report.
type Measure struct {
	Name          string
	Value         func(*Report) float64
	LowerIsBetter bool
}

// Measures returns the figures that variants are compared by: the goodput of each class as
// a share of its offered load, the total goodput, and the wasted prefill.
func (c *Comparison) Measures() []Measure {
	var out []Measure
	for _, cl := range c.Reports[0].Classes {
		out = append(out, Measure{Name: "good " + cl.Class, Value: func(r *Report) float64 { return r.Class(cl.Class).GoodShare }})
	}
	out = append(out, Measure{Name: "goodput/s of all", Value: (*Report).goodput})
	for _, p := range c.Reports[0].Prefill {
		out = append(out, Measure{Name: "wasted " + p.Group, LowerIsBetter: true, Value: func(r *Report) float64 { return r.wastedShare(p.Group) }})
	}
	return out
}

func (r *Report) goodput() float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += c.Goodput
	}
	return sum
}

func (r *Report) wastedShare(group string) float64 {
	for _, p := range r.Prefill {
		if p.Group == group {
			return p.Share()
		}
	}
	return 0
}

// find returns the report of a variant at a load and seed, or nil.
func (c *Comparison) find(variant string, load float64, seed uint64) *Report {
	for _, r := range c.Reports {
		if r.Name == variant && r.Load == load && r.Seed == seed {
			return r
		}
	}
	return nil
}

// Spread returns a measure of a variant at a load over the seeds.
func (c *Comparison) Spread(m Measure, variant string, load float64) Spread {
	var values []float64
	for _, seed := range c.Seeds {
		if r := c.find(variant, load, seed); r != nil {
			values = append(values, m.Value(r))
		}
	}
	return spreadOf(values)
}

// Ratio returns a measure of the first variant divided by that of another, paired by seed.
// Pairs with a missing or zero divisor are skipped.
func (c *Comparison) Ratio(m Measure, other string, load float64) Spread {
	var values []float64
	for _, seed := range c.Seeds {
		ours, theirs := c.find(c.Variants[0], load, seed), c.find(other, load, seed)
		if ours != nil && theirs != nil && m.Value(theirs) > 0 {
			values = append(values, m.Value(ours)/m.Value(theirs))
		}
	}
	return spreadOf(values)
}

// Best returns the baseline with the best mean of a measure at a load.
func (c *Comparison) Best(m Measure, load float64) string {
	best := ""
	for _, b := range c.Baselines {
		if best == "" || better(m, c.Spread(m, b, load).Mean, c.Spread(m, best, load).Mean) {
			best = b
		}
	}
	return best
}

func better(m Measure, a, b float64) bool {
	if m.LowerIsBetter {
		return a < b
	}
	return a > b
}

// WriteTable writes every measure by load and variant, and the ratio of the
// first variant to the best baseline, as Markdown.
func (c *Comparison) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "Seeds %v. Mean [least, most] over the seeds; the ratio is of %s to the best baseline, seed by seed.\n", c.Seeds, c.Variants[0])
	for _, m := range c.Measures() {
		fmt.Fprintf(out, "\n**%s**\n\n", m.Name)
		w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
		c.writeRows(w, m)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Comparison) writeRows(w io.Writer, m Measure) {
	fmt.Fprint(w, "| load\t")
	for _, v := range c.Variants {
		fmt.Fprintf(w, "| %s\t", v)
	}
	fmt.Fprint(w, "| best baseline\t| ratio to it\t|\n|---\t")
	for range len(c.Variants) + 2 {
		fmt.Fprint(w, "|---\t")
	}
	fmt.Fprintln(w, "|")
	for _, l := range c.Loads {
		fmt.Fprintf(w, "| %.0f %%\t", 100*l)
		for _, v := range c.Variants {
			fmt.Fprintf(w, "| %v\t", c.Spread(m, v, l))
		}
		best := c.Best(m, l)
		fmt.Fprintf(w, "| %s\t| %v\t|\n", best, c.Ratio(m, best, l))
	}
}

// Plots returns one plot for each measure: a line for each variant over the load.
func (c *Comparison) Plots() []Plot {
	var out []Plot
	for _, m := range c.Measures() {
		p := Plot{Title: m.Name, X: "load in % of the capacity", Y: m.Name}
		for _, v := range c.Variants {
			line := Line{Name: v}
			for _, l := range c.Loads {
				if s := c.Spread(m, v, l); !math.IsNaN(s.Mean) {
					line.Points = append(line.Points, Point{100 * l, s.Mean})
				}
			}
			p.Lines = append(p.Lines, line)
		}
		out = append(out, p)
	}
	return out
}

var comparisonPage = template.Must(template.New("comparison").Parse(pageHead + `
<h1>Comparison of variants, seeds {{.Seeds}}</h1>
<p>Lines are means over the seeds; the tables give mean [least, most].</p>
{{$c := .}}{{range $i, $m := .Measures}}<h2>{{$m.Name}}</h2>{{(index $c.Plots $i).SVG}}
<table><tr><th>load{{range $c.Variants}}<th>{{.}}{{end}}</tr>
{{range $l := $c.Loads}}<tr><td>{{$l}}{{range $c.Variants}}<td>{{($c.Spread $m . $l).String}}{{end}}</tr>{{end}}</table>{{end}}
</body></html>
`))

// WriteHTML writes the comparison as one self-contained page.
func (c *Comparison) WriteHTML(out io.Writer) error { return comparisonPage.Execute(out, c) }
