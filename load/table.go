package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report for a terminal.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s  load %.0f %%  seed %d  window %.0f s\n", r.Name, 100*r.Load, r.Seed, r.Window)
	fmt.Fprintln(w, "class\toffered/s\tgood/s\tgood %\tlate\tslow\tnot run\tfailed\tunknown\tbroken\twrong\tTTFT p50\tp95\tTBT p50\tp95\t")
	for _, c := range r.Classes {
		v := c.Verdicts
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			c.Class, c.OfferedRate, c.Goodput, 100*c.GoodShare, v[LateFirstToken], v[SlowTokens], v[NotRun], v[Failed], v[Unknown], v[Broken], v[Wrong],
			c.TTFT.P50, c.TTFT.P95, c.TBT.P50, c.TBT.P95)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	r.writeDetails(out)
	return nil
}

func (r *Report) writeDetails(out io.Writer) {
	for _, c := range r.Classes {
		if len(c.Reasons) > 0 {
			fmt.Fprintf(out, "  %s: %s\n", c.Class, byCount(c.Reasons))
		}
	}
	for _, i := range r.Internal {
		if len(i.Reasons) > 0 {
			fmt.Fprintf(out, "  %s: %s\n", i.Where, byCount(i.Reasons))
		}
	}
	for _, p := range r.Prefill {
		fmt.Fprintf(out, "  prefill %s: %d tokens done, %d from the cache, %d wasted (%.2f %%): %d discarded, %d expired, %d released; %d transfers lost\n",
			p.Group, p.Done, p.Cached, p.Wasted, 100*p.Share(), p.Discarded, p.Expired, p.Released, p.ImportsLost)
	}
	fmt.Fprintf(out, "  generator behind its schedule by %.1f ms in half of all cases, %.1f ms in 99 of 100, %.1f ms at most\n", r.Late.P50, r.Late.P99, r.Late.Max)
	for _, s := range r.Wrong {
		fmt.Fprintln(out, "  WRONG ANSWER", s)
	}
}
