package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Phases are the phases of a run with a fault, as offsets from its start. Requests that
// were due up to Lookback before the fault may be in progress when it begins, so they
// count as during the fault.
type Phases struct {
	Warm, Begin, End, Length time.Duration
	Lookback                 time.Duration
}

// A class has recovered when its good share over recoveryWindow seconds is at least
// recoveryShare of its good share before the fault.
const (
	recoveryWindow = 3
	recoveryShare  = 0.95
)

// FaultRow is the goodput of one class before, during and after a fault.
type FaultRow struct {
	Class string `json:"class"`
	// Before, During and After are good requests as a share of those offered;
	// After is nil when the fault lasted for the whole run.
	Before float64  `json:"before"`
	During float64  `json:"during"`
	After  *float64 `json:"after,omitempty"`
	// Recovery is the time in seconds from the beginning of the fault until the good share
	// stays at 95 % of Before or more. It is negative when the class does not recover in
	// the run.
	Recovery *float64 `json:"back_s,omitempty"`
}

// FaultReport is the report of one fault scenario.
type FaultReport struct {
	Scenario string     `json:"scenario"`
	Seed     uint64     `json:"seed"`
	Lines    []FaultRow `json:"lines"`
	Run      *Report    `json:"run"`
}

// ByPhase reports on a run with a fault between p.Begin and p.End.
func (r *Report) ByPhase(scenario string, p Phases) *FaultReport {
	out := &FaultReport{Scenario: scenario, Seed: r.Seed, Run: r}
	affected := p.Begin - p.Lookback
	for _, c := range r.Classes {
		s := r.Seconds[c.Class]
		before := share(s, second(p.Warm), second(affected))
		after := share(s, second(p.End), len(s))
		recovery := recoveryTime(s, second(affected), second(p.Begin), before)
		out.Lines = append(out.Lines, FaultRow{
			Class: c.Class, Before: before, During: share(s, second(affected), second(p.End)),
			After: &after, Recovery: &recovery,
		})
	}
	return out
}

func second(d time.Duration) int { return int(d / time.Second) }

// share returns the good fraction of the requests due in the seconds [from, to).
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

func recoveryTime(s []Second, affected, begin int, before float64) float64 {
	bad := -1
	last := len(s) - recoveryWindow
	for i := affected; i <= last; i++ {
		if share(s, i, i+recoveryWindow) < recoveryShare*before {
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

// CompareWith reports on a run whose fault lasted throughout, compared with a run without
// it.
func (r *Report) CompareWith(scenario string, baseline *Report) *FaultReport {
	out := &FaultReport{Scenario: scenario, Seed: r.Seed, Run: r}
	for _, c := range r.Classes {
		out.Lines = append(out.Lines, FaultRow{Class: c.Class, Before: baseline.Class(c.Class).GoodShare, During: c.GoodShare})
	}
	return out
}

// WriteTable writes the report for a terminal.
func (f *FaultReport) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%s, load %.0f %%, seed %d\n", f.Scenario, 100*f.Run.Load, f.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tgood before\tduring\tafter\tback after s\t")
	for _, l := range f.Lines {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\t%s\t\n", l.Class, l.Before, l.During, orDash(l.After), recoveryText(l.Recovery))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	f.Run.writeDetails(out)
	return nil
}

func orDash(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.3f", *v)
}

func recoveryText(v *float64) string {
	if v != nil && *v < 0 {
		return "not in this run"
	}
	return orDash(v)
}
