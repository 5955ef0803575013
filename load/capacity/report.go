package capacity

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Series is one figure measured at several sizes, with its fitted line.
type Series struct {
	// Name is the measured quantity, Unit its unit, and Over the quantity of X.
	Name string    `json:"name"`
	Unit string    `json:"unit"`
	Over string    `json:"over"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
	Fit  Fit       `json:"fit"`
}

// Figure is a single measured value.
type Figure struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Section is the result of one measurement.
type Section struct {
	Title string `json:"title"`
	// LoadBefore and LoadAfter are the load average of the machine before and after the
	// measurement.
	LoadBefore float64   `json:"load_average_before"`
	LoadAfter  float64   `json:"load_average_after"`
	Series     []*Series `json:"series,omitempty"`
	Figures    []Figure  `json:"figures,omitempty"`
	Frames     []Frames  `json:"frames,omitempty"`
}

// Report holds the results of one run.
type Report struct {
	Started  string    `json:"started"`
	Quick    bool      `json:"quick"`
	Cores    int       `json:"cores"`
	Sections []Section `json:"sections"`
}

// add appends a point to the series with that name and x axis.
func (s *Section) add(name, unit, over string, x, y float64) {
	for _, series := range s.Series {
		if series.Name == name && series.Over == over {
			series.X, series.Y = append(series.X, x), append(series.Y, y)
			series.Fit = NewFit(series.X, series.Y)
			return
		}
	}
	s.Series = append(s.Series, &Series{Name: name, Unit: unit, Over: over, X: []float64{x}, Y: []float64{y}})
}

func (s *Section) figure(name, unit string, value float64) {
	s.Figures = append(s.Figures, Figure{name, unit, value})
}

// WriteTable prints every section with its raw figures and fitted lines.
func (r *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "started %s, %d cores\n", r.Started, r.Cores)
	for _, s := range r.Sections {
		s.write(tw)
	}
	return tw.Flush()
}

func (s *Section) write(w io.Writer) {
	fmt.Fprintf(w, "\n%s (load average %.1f before, %.1f after)\n", s.Title, s.LoadBefore, s.LoadAfter)
	if len(s.Series) > 0 {
		fmt.Fprintln(w, "figure\tunit\tover\tslope\tintercept\tresidual\tpoints")
	}
	for _, l := range s.Series {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", l.Name, l.Unit, l.Over,
			short(l.Fit.Slope), short(l.Fit.Intercept), short(l.Fit.Residual), l.points())
	}
	for _, f := range s.Figures {
		fmt.Fprintf(w, "%s\t%s\t\t%s\n", f.Name, f.Unit, short(f.Value))
	}
	if len(s.Frames) > 0 {
		fmt.Fprintln(w, "frame\tcount\tbytes each\tof them payload")
	}
	for _, f := range s.Frames {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\n", f.Kind, f.Count, f.mean(f.Bytes), f.mean(f.Payload))
	}
}

func (s *Series) points() string {
	var out []string
	for i := range s.X {
		out = append(out, short(s.X[i])+":"+short(s.Y[i]))
	}
	return strings.Join(out, " ")
}

func short(v float64) string { return fmt.Sprintf("%.4g", v) }
