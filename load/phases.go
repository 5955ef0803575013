package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Phases divide a run with a fault, in times from its start. Requests that were
// due up to Lookback before the fault may be in progress when it begins, so they
// count as during it.
type Phases struct {
	Warm, Begin, End, Length time.Duration
	Lookback                    time.Duration
}

// A class is back when its good share over backWindow is backShare of that before.
const (
	backWindow = 3
	backShare  = 0.95
)

// FaultLine is how one class fared under a fault.
type FaultLine struct {
	Class string `json:"class"`
	// Before, During and After are good requests as a share of those offered;
	// After is nil when the fault lasted for the whole run.
	Before float64  `json:"before"`
	During float64  `json:"during"`
	After  *float64 `json:"after,omitempty"`
	// Back is the time in seconds from the begin of the fault until the share
	// stays at 95 % of before. It is negative when that is not seen in the run.
	Back *float64 `json:"back_s,omitempty"`
}

// FaultReport is that of one scenario.
type FaultReport struct {
	Scenario string      `json:"scenario"`
	Seed     uint64      `json:"seed"`
	Lines    []FaultLine `json:"lines"`
	Run      *Report     `json:"run"`
}

// ByPhase reports on a run with a fault in the middle.
func (r *Report) ByPhase(scenario string, p Phases) *FaultReport {
	out := &FaultReport{Scenario: scenario, Seed: r.Seed, Run: r}
	hit := p.Begin - p.Lookback
	for _, c := range r.Classes {
		s := r.Seconds[c.Class]
		before := share(s, second(p.Warm), second(hit))
		after := share(s, second(p.End), len(s))
		recovery := back(s, second(hit), second(p.Begin), before)
		out.Lines = append(out.Lines, FaultLine{
			Class: c.Class, Before: before, During: share(s, second(hit), second(p.End)),
			After: &after, Back: &recovery,
		})
	}
	return out
}

func second(d time.Duration) int { return int(d / time.Second) }

// share is the good part of the requests due in seconds from to to.
func share(s []Second, from, to int) float64 {
	offered, good := 0, 0
	for i := max(from, 0); i < min(to, len(s)); i++ {
		offered += s[i].Offered
		good += s[i].Good
	}
	if offered == 0 {
		return 0
	}
	return float64(good) / float64(offered)
}

func back(s []Second, hit, begin int, before float64) float64 {
	bad := -1
	last := len(s) - backWindow
	for i := hit; i <= last; i++ {
		if share(s, i, i+backWindow) < backShare*before {
			bad = i
		}
	}
	switch {
	case bad < 0:
		return 0
	case bad == last:
		return -1
	default:
		return float64(max(bad+1-begin, 0))
	}
}

// Against reports on a run whose fault lasted throughout, next to one without.
func (r *Report) Against(scenario string, without *Report) *FaultReport {
	out := &FaultReport{Scenario: scenario, Seed: r.Seed, Run: r}
	for _, c := range r.Classes {
		out.Lines = append(out.Lines, FaultLine{Class: c.Class, Before: without.Class(c.Class).GoodShare, During: c.GoodShare})
	}
	return out
}

// WriteTable writes the report for a terminal.
func (f *FaultReport) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%s, load %.0f %%, seed %d\n", f.Scenario, 100*f.Run.Load, f.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tgood before\tduring\tafter\tback after s\t")
	for _, l := range f.Lines {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\t%s\t\n", l.Class, l.Before, l.During, orDash(l.After), backText(l.Back))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	f.Run.writeNotes(out)
	return nil
}

func orDash(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.3f", *v)
}

func backText(v *float64) string {
	if v != nil && *v < 0 {
		return "not in this run"
	}
	return orDash(v)
}
